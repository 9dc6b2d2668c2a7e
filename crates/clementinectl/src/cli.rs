//! The tool's command line.

use std::net::SocketAddr;

use gumdrop::Options;

/// Submits jobs to clementinedock and operates it.
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
    /// Address where the daemon serves callers.
    #[options(no_short, default_expr = "([127, 0, 0, 1], 7000).into()", meta = "IP:PORT")]
    pub entry: SocketAddr,
    /// Address where the daemon serves operators.
    #[options(no_short, default_expr = "([127, 0, 0, 1], 7001).into()", meta = "IP:PORT")]
    pub operators: SocketAddr,
    /// Prints JSON.
    #[options(no_short)]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug)]
#[derive(Options)]
pub enum Command {
    /// Submits a job from a JSON file and waits for its answer.
    Submit(SubmitArgs),
    /// Tells how a job stands.
    Status(TicketArgs),
    /// Cancels a job.
    Cancel(TicketArgs),
    /// Draws tickets.
    Tickets(TicketsArgs),
    /// Shows and changes the catalogue: list, show, edit, history, outcome, status.
    Catalogue(CatalogueArgs),
    /// Prints the state of a daemon.
    State(NoArgs),
    /// Tells what is known of a ticket.
    Explain(TicketArgs),
}

/// No options.
#[derive(Debug)]
#[derive(Options)]
pub struct NoArgs {
    /// Prints this help.
    pub help: bool,
}

/// Options of a submission.
#[derive(Debug)]
#[derive(Options)]
pub struct SubmitArgs {
    /// Prints this help.
    pub help: bool,
    /// JSON file: {"kind": "...", "tasks": [{"input": "..."}]}.
    #[options(free, required)]
    pub file: String,
    /// Ticket to submit under; one is drawn without it.
    #[options(no_short)]
    pub ticket: Option<String>,
    /// Longest wait for the answer in milliseconds.
    #[options(no_short, default = "600000")]
    pub wait_ms: u64,
}

/// One ticket.
#[derive(Debug)]
#[derive(Options)]
pub struct TicketArgs {
    /// Prints this help.
    pub help: bool,
    /// The ticket.
    #[options(free, required)]
    pub ticket: String,
}

/// How many tickets.
#[derive(Debug)]
#[derive(Options)]
pub struct TicketsArgs {
    /// Prints this help.
    pub help: bool,
    /// How many to draw.
    #[options(default = "1")]
    pub count: usize,
}

/// What to do with the catalogue.
#[derive(Debug)]
#[derive(Options)]
pub struct CatalogueArgs {
    /// Prints this help.
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<CatalogueCommand>,
}

/// What to do with the catalogue.
#[derive(Debug)]
#[derive(Options)]
pub enum CatalogueCommand {
    /// Lists the entries.
    List(NoArgs),
    /// Shows one entry.
    Show(NameArgs),
    /// Shows how a file differs, and with --yes puts it in force.
    Edit(EditArgs),
    /// Lists the last changes.
    History(NoArgs),
    /// Tells what became of an edit.
    Outcome(NameArgs),
    /// Tells which daemon has which offset.
    Status(StatusArgs),
}

/// One name.
#[derive(Debug)]
#[derive(Options)]
pub struct NameArgs {
    /// Prints this help.
    pub help: bool,
    /// The name.
    #[options(free, required)]
    pub name: String,
}

/// Options of an edit.
#[derive(Debug)]
#[derive(Options)]
pub struct EditArgs {
    /// Prints this help.
    pub help: bool,
    /// JSON file: {"NAME": {"kind": {...}}, "NAME": {"team": {...}}, "NAME": null}.
    #[options(free, required)]
    pub file: String,
    /// Who makes the edit.
    #[options(no_short, default = "operator")]
    pub by: String,
    /// Puts the edit in force; without it only the differences are shown.
    pub yes: bool,
    /// Waits until the edit is in force on every reachable daemon.
    pub wait: bool,
}

/// Options of the status.
#[derive(Debug)]
#[derive(Options)]
pub struct StatusArgs {
    /// Prints this help.
    pub help: bool,
    /// Waits until every reachable daemon has the asked daemon's offset.
    pub wait: bool,
}
