//! Parses callers' HTTP requests, with errors that say how to correct the request.

use actix_http::Method;
use dispatch::jobs::JobRequest;
use httpedge::server::Request;

/// Maximum wait for an answer that a caller may request, in milliseconds.
pub const MAX_WAIT_MS: u64 = 600_000;
/// Wait for an answer if the caller specifies none, in milliseconds.
pub const DEFAULT_WAIT_MS: u64 = 30_000;
/// Maximum number of tickets issued in one response.
pub const MAX_TICKETS: usize = 1_000;
const MAX_KEY_BYTES: usize = 200;

/// A parsed request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Submits a job.
    Submit {
        /// Identity of the submission, by which resubmissions are recognized.
        identity: Identity,
        /// Maximum wait for the final answer, in milliseconds.
        wait_ms: u64,
        /// Number of new tickets to return with the answer.
        next_tickets: usize,
        /// The job to run.
        request: JobRequest,
    },
    /// Waits for the answer to the job of a ticket.
    Wait {
        /// Ticket of the job.
        ticket: String,
        /// Maximum wait for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Cancels the job of a ticket.
    Cancel {
        /// Ticket of the job.
        ticket: String,
    },
    /// Issues new tickets.
    Tickets {
        /// Number of tickets.
        count: usize,
    },
    /// Health check: whether the daemon serves requests.
    Health,
}

/// The identity of a submission. Submissions with the same identity are the same job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// A ticket (idempotency key issued by a daemon).
    Ticket(String),
    /// An idempotency key chosen by the caller, which begins with the Unix time in seconds.
    Key {
        /// The complete key.
        key: String,
        /// The time at its beginning, converted to milliseconds.
        key_ms: u64,
    },
    /// Neither: the daemon issues a ticket, and a resubmission is a new job.
    Unspecified,
}

/// The reason why a request is invalid. No task was started and no ticket was used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RequestError {
    /// The path or the method is unknown.
    #[error("no such call; see POST /v1/jobs, GET and DELETE /v1/jobs/TICKET, GET /v1/tickets")]
    NoSuchCall,
    /// The body is truncated or larger than the settings allow.
    #[error("the body is too large or was cut off; split the job or raise callers.max_body_bytes")]
    Body,
    /// The body is not a valid job in JSON.
    #[error("the body is no job ({0}); send {{\"kind\": ..., \"tasks\": [{{\"input\": ...}}]}}")]
    Json(String),
    /// The job has no tasks.
    #[error("the job has no tasks; send at least one")]
    NoTasks,
    /// The job has more tasks (first number) than the settings allow (second number).
    #[error("the job has {0} tasks; send at most {1}")]
    TooManyTasks(usize, usize),
    /// A number in the query is malformed or out of range; with the parameter's name and maximum.
    #[error("{0} must be a whole number up to {1}")]
    Number(&'static str, u64),
    /// Both a ticket and an idempotency key were sent.
    #[error("send either Ticket or Idempotency-Key, not both")]
    TwoIdentities,
    /// The idempotency key does not begin with a time or is too long.
    #[error(
        "begin Idempotency-Key with the current Unix time in seconds and '-', 200 characters at most"
    )]
    Key,
}

impl RequestError {
    /// Returns the HTTP status for this error.
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

/// Parses a request. A job may have at most `max_tasks` tasks.
///
/// # Errors
/// Returns [`RequestError`], whose text says what the caller should change.
pub fn parse(request: &Request, max_tasks: usize) -> Result<Call, RequestError> {
    let segments = request.segments();
    match (&request.method, segments.as_slice()) {
        (&Method::POST, ["v1", "jobs"]) => parse_submit(request, max_tasks),
        (&Method::GET, ["v1", "jobs", ticket]) => Ok(Call::Wait {
            ticket: (*ticket).to_owned(),
            wait_ms: parse_number(request, "wait_ms", 0, MAX_WAIT_MS)?,
        }),
        (&Method::DELETE, ["v1", "jobs", ticket]) => {
            Ok(Call::Cancel { ticket: (*ticket).to_owned() })
        }
        (&Method::GET, ["v1", "tickets"]) => {
            let count = parse_number(request, "count", 1, MAX_TICKETS as u64)?;
            Ok(Call::Tickets { count: count as usize })
        }
        (&Method::GET, ["healthz"]) => Ok(Call::Health),
        _ => Err(RequestError::NoSuchCall),
    }
}

fn parse_submit(request: &Request, max_tasks: usize) -> Result<Call, RequestError> {
    let identity = parse_identity(request)?;
    let wait_ms = parse_number(request, "wait_ms", DEFAULT_WAIT_MS, MAX_WAIT_MS)?;
    let next_tickets = parse_number(request, "next_tickets", 1, MAX_TICKETS as u64)? as usize;
    let body = request.body.as_ref().ok_or(RequestError::Body)?;
    let job: JobRequest =
        serde_json::from_slice(body).map_err(|error| RequestError::Json(error.to_string()))?;
    if job.tasks.is_empty() {
        return Err(RequestError::NoTasks);
    }
    if job.tasks.len() > max_tasks {
        return Err(RequestError::TooManyTasks(job.tasks.len(), max_tasks));
    }
    Ok(Call::Submit { identity, wait_ms, next_tickets, request: job })
}

fn parse_identity(request: &Request) -> Result<Identity, RequestError> {
    match (request.header("ticket"), request.header("idempotency-key")) {
        (Some(_), Some(_)) => Err(RequestError::TwoIdentities),
        (Some(ticket), None) => Ok(Identity::Ticket(ticket.to_owned())),
        (None, Some(key)) => parse_idempotency_key(key),
        (None, None) => Ok(Identity::Unspecified),
    }
}

fn parse_idempotency_key(key: &str) -> Result<Identity, RequestError> {
    let (seconds, _) = key.split_once('-').ok_or(RequestError::Key)?;
    let seconds: u64 = seconds.parse().map_err(|_| RequestError::Key)?;
    let key_ms = seconds.checked_mul(1_000).ok_or(RequestError::Key)?;
    if key.len() > MAX_KEY_BYTES {
        return Err(RequestError::Key);
    }
    Ok(Identity::Key { key: key.to_owned(), key_ms })
}

fn parse_number(
    request: &Request,
    name: &'static str,
    default: u64,
    max: u64,
) -> Result<u64, RequestError> {
    let Some(text) = request.param(name) else {
        return Ok(default);
    };
    let value = text.parse().ok().filter(|value| *value <= max);
    value.ok_or(RequestError::Number(name, max))
}
