//! Renders answers to callers as HTTP responses.

use dispatch::answer::{Answer, Reason, TaskEnd, Verdict};
use httpedge::server::Response;
use serde::{Deserialize, Serialize};

use crate::parse::RequestError;

/// JSON body of an answer.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AnswerBody {
    /// Ticket of the job.
    pub ticket: String,
    /// State or outcome of the job.
    pub verdict: Verdict,
    /// Reason for the verdict.
    pub reason: Reason,
    /// Advice to the caller on what to do next.
    pub remedy: String,
    /// Time in milliseconds after which the caller should retry; `None` if no time is recommended.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Result of each task, in the order of the request.
    #[serde(default)]
    pub tasks: Vec<TaskEnd>,
    /// New tickets for the caller's next submissions.
    #[serde(default)]
    pub next_tickets: Vec<String>,
}

/// JSON body of a list of new tickets.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct TicketsBody {
    /// New, unused tickets.
    pub tickets: Vec<String>,
    /// Validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// JSON body of an error.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong with the request and how to correct it.
    pub error: String,
}

/// Returns the HTTP status of an answer.
pub const fn status_of(answer: &Answer) -> u16 {
    match (answer.verdict, answer.reason) {
        (Verdict::Complete, _) => 200,
        (Verdict::Running, _) => 202,
        (Verdict::Failed, _) => 502,
        (Verdict::NotRun, Reason::UnknownKind | Reason::TooManyTasks | Reason::Impossible) => 422,
        (Verdict::NotRun, Reason::Overloaded | Reason::OwnerOverLimit) => 429,
        (Verdict::NotRun, _) => 503,
        (Verdict::Unknown, Reason::OtherRequest) => 409,
        (Verdict::Unknown, Reason::NoLongerHeld | Reason::TicketExpired) => 410,
        (Verdict::Unknown, Reason::NotSubmitted) => 404,
        (Verdict::Unknown, _) => 504,
    }
}

/// Renders an answer, with a `retry-after` header if the answer recommends a retry time.
pub fn render(ticket: &str, answer: &Answer, next_tickets: Vec<String>) -> Response {
    let body = AnswerBody {
        ticket: ticket.to_owned(),
        verdict: answer.verdict,
        reason: answer.reason,
        remedy: answer.reason.remedy().to_owned(),
        retry_after_ms: answer.retry_after_ms,
        tasks: answer.tasks.clone(),
        next_tickets,
    };
    let response = Response::json(status_of(answer), &body);
    match answer.retry_after_ms {
        Some(ms) => response.with_header("retry-after", ms.div_ceil(1_000).to_string()),
        None => response,
    }
}

/// Renders the error for an invalid request.
pub fn render_error(error: &RequestError) -> Response {
    Response::json(error.status(), &ErrorBody { error: error.to_string() })
}
