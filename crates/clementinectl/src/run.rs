//! Dispatches the command line to the function that implements the command.

use std::net::SocketAddr;

use gumdrop::Options as _;
use httpedge::client::HttpClient;

use crate::cli::{Args, CatalogueArgs, CatalogueCommand, Command};
use crate::error::CtlError;

/// Timeout of a call to the operators' address of a daemon, in milliseconds.
pub const OPERATOR_TIMEOUT_MS: u64 = 10_000;

/// Addresses, output format and HTTP client, shared by all commands.
#[derive(Debug)]
pub struct CommandContext {
    /// Address on which the daemon serves callers.
    pub entry_addr: SocketAddr,
    /// Address on which the daemon serves operators.
    pub operator_addr: SocketAddr,
    /// Whether results are printed as JSON.
    pub json: bool,
    /// HTTP client with its connection pool.
    pub client: HttpClient,
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
        let (entry_addr, operator_addr, json) = (args.entry, args.operators, args.json);
        let context = CommandContext { entry_addr, operator_addr, json, client: HttpClient::new() };
        match command {
            Command::Submit(args) => context.submit(&args).await,
            Command::Status(args) => context.status(&args).await,
            Command::Cancel(args) => context.cancel(&args).await,
            Command::Tickets(args) => context.tickets(&args).await,
            Command::Catalogue(args) => run_catalogue(&context, args).await,
            Command::State(_) => context.state().await,
            Command::Explain(args) => context.explain(&args).await,
        }
    })
}

async fn run_catalogue(context: &CommandContext, args: CatalogueArgs) -> Result<u8, CtlError> {
    match args.command {
        Some(CatalogueCommand::List(_)) => context.list().await,
        Some(CatalogueCommand::Show(args)) => context.show(&args).await,
        Some(CatalogueCommand::Edit(args)) => context.edit(&args).await,
        Some(CatalogueCommand::History(_)) => context.history().await,
        Some(CatalogueCommand::Outcome(args)) => context.outcome(&args).await,
        Some(CatalogueCommand::Status(args)) => context.catalogue_status(&args).await,
        None => Err(CtlError::Usage("no catalogue command given".to_owned())),
    }
}
