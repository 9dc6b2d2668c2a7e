//! Turns HTTP requests into calls, with errors that name the remedy.

use actix_http::Method;
use dispatch::jobs::JobRequest;
use httpedge::server::Request;

/// Longest wait for an answer that a caller may ask for.
pub const LONGEST_WAIT_MS: u64 = 600_000;
/// Wait for an answer where the caller names none.
pub const DEFAULT_WAIT_MS: u64 = 30_000;
/// The most tickets drawn at once.
pub const MOST_TICKETS: usize = 1_000;
const LONGEST_KEY: usize = 200;

/// One call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Submit a job.
    Submit {
        /// Under which identity.
        under: Under,
        /// How long to wait for the final answer.
        wait_ms: u64,
        /// How many tickets to give with the answer.
        next_tickets: usize,
        /// The job.
        request: JobRequest,
    },
    /// Wait for the answer of a ticket.
    Wait {
        /// The ticket.
        ticket: String,
        /// How long.
        wait_ms: u64,
    },
    /// Cancel what runs under a ticket.
    Cancel {
        /// The ticket.
        ticket: String,
    },
    /// Draw tickets.
    Tickets {
        /// How many.
        count: usize,
    },
    /// Tell whether the daemon serves.
    Health,
}

/// The identity under which a job is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Under {
    /// A ticket drawn before.
    Ticket(String),
    /// A key of the caller's own, with the time in milliseconds at its beginning.
    Key {
        /// The whole key.
        key: String,
        /// The time written in it.
        key_ms: u64,
    },
    /// None: the daemon draws a ticket, and a resubmission is another job.
    Nothing,
}

/// Why a call cannot be read. Nothing was started and no ticket was used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallProblem {
    /// The path or the method is not known.
    #[error("no such call; see POST /v1/jobs, GET and DELETE /v1/jobs/TICKET, GET /v1/tickets")]
    NoSuchCall,
    /// The body is larger than the settings allow.
    #[error("the body is too large or was cut off; split the job or raise callers.max_body_bytes")]
    Body,
    /// The body is not a job in JSON.
    #[error("the body is no job ({0}); send {{\"kind\": ..., \"tasks\": [{{\"input\": ...}}]}}")]
    Json(String),
    /// The job has no tasks.
    #[error("the job has no tasks; send at least one")]
    NoTasks,
    /// The job has more tasks than the settings allow.
    #[error("the job has {0} tasks; send at most {1}")]
    TooManyTasks(usize, usize),
    /// A number in the query cannot be read or is out of range.
    #[error("{0} must be a whole number up to {1}")]
    Number(&'static str, u64),
    /// Both a ticket and a bare key were sent.
    #[error("send either Ticket or Idempotency-Key, not both")]
    TwoIdentities,
    /// The key has no time in front or is too long.
    #[error(
        "begin Idempotency-Key with the current Unix time in seconds and '-', 200 characters at most"
    )]
    Key,
}

impl CallProblem {
    /// Gives the HTTP status that fits.
    pub const fn status(&self) -> u16 {
        match self {
            Self::NoSuchCall => 404,
            Self::Body => 413,
            Self::Json(_)
            | Self::NoTasks
            | Self::TooManyTasks(..)
            | Self::Number(..)
            | Self::TwoIdentities
            | Self::Key => 400,
        }
    }
}

/// Reads a call.
///
/// # Errors
/// Fails with what the caller should change.
pub fn parse(request: &Request, max_tasks: usize) -> Result<Call, CallProblem> {
    let segments = request.segments();
    match (&request.method, segments.as_slice()) {
        (&Method::POST, ["v1", "jobs"]) => parse_submit(request, max_tasks),
        (&Method::GET, ["v1", "jobs", ticket]) => Ok(Call::Wait {
            ticket: (*ticket).to_owned(),
            wait_ms: number(request, "wait_ms", 0, LONGEST_WAIT_MS)?,
        }),
        (&Method::DELETE, ["v1", "jobs", ticket]) => {
            Ok(Call::Cancel { ticket: (*ticket).to_owned() })
        }
        (&Method::GET, ["v1", "tickets"]) => {
            let count = number(request, "count", 1, MOST_TICKETS as u64)?;
            Ok(Call::Tickets { count: count as usize })
        }
        (&Method::GET, ["healthz"]) => Ok(Call::Health),
        _ => Err(CallProblem::NoSuchCall),
    }
}

fn parse_submit(request: &Request, max_tasks: usize) -> Result<Call, CallProblem> {
    let under = identity(request)?;
    let wait_ms = number(request, "wait_ms", DEFAULT_WAIT_MS, LONGEST_WAIT_MS)?;
    let next_tickets = number(request, "next_tickets", 1, MOST_TICKETS as u64)? as usize;
    let body = request.body.as_ref().ok_or(CallProblem::Body)?;
    let job: JobRequest =
        serde_json::from_slice(body).map_err(|error| CallProblem::Json(error.to_string()))?;
    if job.tasks.is_empty() {
        return Err(CallProblem::NoTasks);
    }
    if job.tasks.len() > max_tasks {
        return Err(CallProblem::TooManyTasks(job.tasks.len(), max_tasks));
    }
    Ok(Call::Submit { under, wait_ms, next_tickets, request: job })
}

fn identity(request: &Request) -> Result<Under, CallProblem> {
    match (request.header("ticket"), request.header("idempotency-key")) {
        (Some(_), Some(_)) => Err(CallProblem::TwoIdentities),
        (Some(ticket), None) => Ok(Under::Ticket(ticket.to_owned())),
        (None, Some(key)) => bare_key(key),
        (None, None) => Ok(Under::Nothing),
    }
}

fn bare_key(key: &str) -> Result<Under, CallProblem> {
    let (seconds, _) = key.split_once('-').ok_or(CallProblem::Key)?;
    let seconds: u64 = seconds.parse().map_err(|_| CallProblem::Key)?;
    let key_ms = seconds.checked_mul(1_000).ok_or(CallProblem::Key)?;
    if key.len() > LONGEST_KEY {
        return Err(CallProblem::Key);
    }
    Ok(Under::Key { key: key.to_owned(), key_ms })
}

fn number(
    request: &Request,
    name: &'static str,
    default: u64,
    most: u64,
) -> Result<u64, CallProblem> {
    let Some(text) = request.param(name) else {
        return Ok(default);
    };
    let value = text.parse().ok().filter(|value| *value <= most);
    value.ok_or(CallProblem::Number(name, most))
}
