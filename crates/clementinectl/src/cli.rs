//! Command-line options.

use std::net::SocketAddr;

use gumdrop::Options;

/// Submits jobs to clementinedock and operates its daemons.
///
/// Examples:
///
///   clementinectl submit job.json
///
///   clementinectl --entry 10.1.0.4:7000 status TICKET
///
///   clementinectl catalogue edit entries.json --by anna --yes --wait
///
///   clementinectl --json state
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Address on which the daemon serves callers.
    #[options(no_short, default_expr = "([127, 0, 0, 1], 7000).into()", meta = "IP:PORT")]
    pub entry: SocketAddr,
    /// Address on which the daemon serves operators.
    #[options(no_short, default_expr = "([127, 0, 0, 1], 7001).into()", meta = "IP:PORT")]
    pub operators: SocketAddr,
    /// Prints the result as JSON.
    #[options(no_short)]
    pub json: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the tool.
#[derive(Debug)]
#[derive(Options)]
pub enum Command {
    /// Submits a job from a JSON file and waits for its answer.
    Submit(SubmitArgs),
    /// Prints the current answer for a job.
    Status(TicketArgs),
    /// Cancels a job.
    Cancel(TicketArgs),
    /// Requests new tickets.
    Tickets(TicketsArgs),
    /// Shows and changes the catalogue: list, show, edit, history, outcome, status.
    Catalogue(CatalogueArgs),
    /// Prints the state of the daemon.
    State(NoArgs),
    /// Prints what the daemon knows about a ticket.
    Explain(TicketArgs),
}

/// Takes no further options.
#[derive(Debug)]
#[derive(Options)]
pub struct NoArgs {
    /// Prints this help.
    pub help: bool,
}

/// Submits a job and waits for its answer.
#[derive(Debug)]
#[derive(Options)]
pub struct SubmitArgs {
    /// Prints this help.
    pub help: bool,
    /// JSON file with the job: {"kind": "...", "tasks": [{"input": "..."}]}.
    #[options(free, required)]
    pub file: String,
    /// Ticket to submit under; by default a new one is requested.
    #[options(no_short)]
    pub ticket: Option<String>,
    /// Maximum time to wait for the final answer, in milliseconds.
    #[options(no_short, default = "600000")]
    pub wait_ms: u64,
}

/// Takes the ticket of one job.
#[derive(Debug)]
#[derive(Options)]
pub struct TicketArgs {
    /// Prints this help.
    pub help: bool,
    /// Ticket of the job: the idempotency key that a daemon issued for it.
    #[options(free, required)]
    pub ticket: String,
}

/// Requests new tickets from the daemon.
#[derive(Debug)]
#[derive(Options)]
pub struct TicketsArgs {
    /// Prints this help.
    pub help: bool,
    /// Number of tickets.
    #[options(default = "1")]
    pub count: usize,
}

/// Shows and changes the catalogue of job kinds and teams.
#[derive(Debug)]
#[derive(Options)]
pub struct CatalogueArgs {
    /// Prints this help.
    pub help: bool,
    /// Catalogue command to run.
    #[options(command, required)]
    pub command: Option<CatalogueCommand>,
}

/// Commands on the catalogue.
#[derive(Debug)]
#[derive(Options)]
pub enum CatalogueCommand {
    /// Lists the entries.
    List(NoArgs),
    /// Shows one entry.
    Show(NameArgs),
    /// Shows the differences between a file and the catalogue; with --yes, applies them.
    Edit(EditArgs),
    /// Lists the most recent edits.
    History(NoArgs),
    /// Prints the outcome of an edit.
    Outcome(NameArgs),
    /// Lists the daemons with their catalogue offsets.
    Status(CatalogueStatusArgs),
}

/// Takes the name of an entry or the id of an edit.
#[derive(Debug)]
#[derive(Options)]
pub struct NameArgs {
    /// Prints this help.
    pub help: bool,
    /// Name of the entry (show) or id of the edit (outcome).
    #[options(free, required)]
    pub name: String,
}

/// Shows the differences between a file and the catalogue; with --yes, applies them.
#[derive(Debug)]
#[derive(Options)]
pub struct EditArgs {
    /// Prints this help.
    pub help: bool,
    /// JSON file of entries: {"NAME": {"kind": {...}}, "NAME": {"team": {...}}, "NAME": null}.
    #[options(free, required)]
    pub file: String,
    /// Name of the operator who makes the edit.
    #[options(no_short, default = "operator")]
    pub by: String,
    /// Applies the edit; without this option only the differences are shown.
    pub yes: bool,
    /// Waits until every reachable daemon has applied the edit.
    pub wait: bool,
}

/// Lists the daemons with their catalogue offsets.
#[derive(Debug)]
#[derive(Options)]
pub struct CatalogueStatusArgs {
    /// Prints this help.
    pub help: bool,
    /// Waits until every reachable daemon is at the queried daemon's current offset.
    pub wait: bool,
}
