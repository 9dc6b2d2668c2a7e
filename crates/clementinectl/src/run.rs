//! Runs the command that the command line asks for.

use std::net::SocketAddr;

use gumdrop::Options as _;
use httpedge::client::HttpClient;

use crate::cli::{Args, CatalogueArgs, CatalogueCommand, Command};
use crate::error::CtlError;

/// How long a daemon may take to answer an operator, in milliseconds.
pub const OPERATOR_TIMEOUT_MS: u64 = 10_000;

/// What every command needs.
#[derive(Debug)]
pub struct Tool {
    /// Where the daemon serves callers.
    pub entry: SocketAddr,
    /// Where the daemon serves operators.
    pub operators: SocketAddr,
    /// Whether JSON is printed.
    pub json: bool,
    /// The connections.
    pub caller: HttpClient,
}

/// Runs a command and gives its exit status.
///
/// # Errors
/// Fails with what went wrong and the remedy.
pub fn run(args: Args) -> Result<u8, CtlError> {
    let Some(command) = args.command else {
        return Err(CtlError::Usage(format!("name a command\n{}", Args::usage())));
    };
    actix_rt::System::new().block_on(async move {
        let (entry, operators, json) = (args.entry, args.operators, args.json);
        let tool = Tool { entry, operators, json, caller: HttpClient::new() };
        match command {
            Command::Submit(args) => tool.submit(&args).await,
            Command::Status(args) => tool.status(&args).await,
            Command::Cancel(args) => tool.cancel(&args).await,
            Command::Tickets(args) => tool.tickets(&args).await,
            Command::Catalogue(args) => run_catalogue(&tool, args).await,
            Command::State(_) => tool.state().await,
            Command::Explain(args) => tool.explain(&args).await,
        }
    })
}

async fn run_catalogue(tool: &Tool, args: CatalogueArgs) -> Result<u8, CtlError> {
    match args.command {
        Some(CatalogueCommand::List(_)) => tool.list().await,
        Some(CatalogueCommand::Show(args)) => tool.show(&args).await,
        Some(CatalogueCommand::Edit(args)) => tool.edit(&args).await,
        Some(CatalogueCommand::History(_)) => tool.history().await,
        Some(CatalogueCommand::Outcome(args)) => tool.outcome(&args).await,
        Some(CatalogueCommand::Status(args)) => tool.catalogue_status(&args).await,
        None => Err(CtlError::Usage("name a catalogue command".to_owned())),
    }
}
