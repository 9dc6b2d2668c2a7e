//! Renders answers for callers: status, headers and body.

use dispatch::answer::{Answer, Reason, TaskEnd, Verdict};
use httpedge::server::Response;
use serde::{Deserialize, Serialize};

use crate::parse::CallProblem;

/// The body of an answer.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AnswerBody {
    /// The ticket that the answer belongs to.
    pub ticket: String,
    /// The kind of the answer.
    pub verdict: Verdict,
    /// Why it is so.
    pub reason: Reason,
    /// What to do.
    pub remedy: String,
    /// When a new attempt is worth its while.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The end of each task, in the order of the request.
    #[serde(default)]
    pub tasks: Vec<TaskEnd>,
    /// Tickets for the next submissions.
    #[serde(default)]
    pub next_tickets: Vec<String>,
}

/// The body of a list of tickets.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct TicketsBody {
    /// The tickets.
    pub tickets: Vec<String>,
    /// How long they are valid.
    pub valid_ms: u64,
}

/// The body of an error.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// What was wrong, with the remedy.
    pub error: String,
}

/// Gives the HTTP status of an answer.
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

/// Renders an answer.
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
        Some(ms) => response.with("retry-after", ms.div_ceil(1_000).to_string()),
        None => response,
    }
}

/// Renders a problem with the call itself.
pub fn render_problem(problem: &CallProblem) -> Response {
    Response::json(problem.status(), &ErrorBody { error: problem.to_string() })
}
