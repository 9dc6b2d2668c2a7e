//! Dispatches the command line to the function that implements the command.

use std::net::SocketAddr;

use gumdrop::Options as _;
use httpedge::client::Caller;

use crate::cli::{Args, CatalogueArgs, CatalogueCommand, Command};
use crate::error::CtlError;

/// Timeout of a call to the operators' address of a daemon, in milliseconds.
pub const OPERATOR_TIMEOUT_MS: u64 = 10_000;

/// Addresses, output format and HTTP client, shared by all commands.
#[derive(Debug)]
pub struct Tool {
    /// Address on which the daemon serves callers.
    pub entry: SocketAddr,
    /// Address on which the daemon serves operators.
    pub operators: SocketAddr,
    /// Whether results are printed as JSON.
    pub json: bool,
    /// HTTP client with its connection pool.
    pub caller: Caller,
}

/// Runs the command and returns its exit status.
///
/// # Errors
/// Returns an error if the command line is incomplete or the command fails.
pub fn run(args: Args) -> Result<u8, CtlError> {
    let Some(command) = args.command else {
        return Err(CtlError::Usage(format!("no command given\n{}", Args::usage())));
    };
    actix_rt::System::new().block_on(async move {
        let (entry, operators, json) = (args.entry, args.operators, args.json);
        let tool = Tool { entry, operators, json, caller: Caller::new() };
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
        None => Err(CtlError::Usage("no catalogue command given".to_owned())),
    }
}
