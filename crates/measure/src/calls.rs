//! HTTP calls that the benchmarks and tests make to daemons as callers and operators.

use std::net::SocketAddr;

use callers::render::AnswerBody;
use dispatch::answer::TaskEnd;
use dispatch::catalogue::{Change, Edit, Outcome};
use dispatch::jobs::{JobRequest, TaskSpec};
use dispatch::workers::Needs;
use httpedge::client::{CallError, Caller, RawCall};
use operators::wire::EditBody;
use serde_json::{Value, json};
use upstreams::wire::input_digest;

const CALL_TIMEOUT_MS: u64 = 120_000;
const OPERATOR_TIMEOUT_MS: u64 = 10_000;

/// Builds a job with one coverage check for each run time in `work_ms`; `salt` makes the inputs
/// distinct between jobs.
pub fn coverage_job(kind: &str, work_ms: &[u64], declared_ms: &[u64], salt: u64) -> JobRequest {
    let repairs = ["feed-horn", "azimuth-motor", "lnb", "radome", "tracking-unit"];
    let tasks = work_ms.iter().zip(declared_ms).enumerate().map(|(index, (work, declared))| {
        let number = (salt as usize + index) % 40;
        let repair = repairs[index % repairs.len()];
        let input = json!({
            "work_ms": work,
            "contract": format!("C{number:03}"),
            "repair": repair,
            "salt": salt,
            "place": index,
        });
        let input = input.to_string();
        TaskSpec { input, declared_ms: Some(*declared), needs: Needs::default() }
    });
    JobRequest { kind: kind.to_owned(), tasks: tasks.collect() }
}

/// Submits a job and returns the HTTP status and the answer. The answer is `None` if the body
/// cannot be parsed.
///
/// # Errors
/// Returns an error if no complete HTTP response was received.
pub async fn submit(
    caller: &Caller,
    addr: SocketAddr,
    header: Option<(&'static str, String)>,
    job: &JobRequest,
    wait_ms: u64,
) -> Result<(u16, Option<AnswerBody>), CallError> {
    let headers: Vec<(&'static str, String)> = header.into_iter().collect();
    let path = format!("/v1/jobs?wait_ms={wait_ms}&next_tickets=1");
    let call = RawCall {
        addr,
        method: "POST",
        path: &path,
        headers: &headers,
        body: serde_json::to_vec(job).unwrap_or_default(),
        timeout_ms: CALL_TIMEOUT_MS,
    };
    let (status, body) = caller.raw(call).await?;
    Ok((status, serde_json::from_slice(&body).ok()))
}

/// Reads the answer for a ticket (`GET`) or cancels its job (`DELETE`), depending on `method`.
///
/// # Errors
/// Returns an error if no complete HTTP response was received.
pub async fn request_by_ticket(
    caller: &Caller,
    addr: SocketAddr,
    method: &str,
    ticket: &str,
    wait_ms: u64,
) -> Result<(u16, Option<AnswerBody>), CallError> {
    let path = format!("/v1/jobs/{ticket}?wait_ms={wait_ms}");
    let call = RawCall {
        addr,
        method,
        path: &path,
        headers: &[],
        body: Vec::new(),
        timeout_ms: CALL_TIMEOUT_MS,
    };
    let (status, body) = caller.raw(call).await?;
    Ok((status, serde_json::from_slice(&body).ok()))
}

/// Returns whether the answer holds the expected digest for every task of the job.
pub fn has_valid_digests(job: &JobRequest, answer: &AnswerBody) -> bool {
    let is_correct = |(task, end): (&TaskSpec, &TaskEnd)| match end {
        TaskEnd::Done { digest, .. } => *digest == input_digest(&task.input),
        TaskEnd::Failed { .. } | TaskEnd::Stopped | TaskEnd::InDoubt | TaskEnd::NotStarted => false,
    };
    answer.tasks.len() == job.tasks.len() && job.tasks.iter().zip(&answer.tasks).all(is_correct)
}

/// Submits a catalogue edit through a daemon and returns the revision that it produced.
///
/// # Errors
/// Returns the daemon's reply or the call error if the edit was not applied.
pub async fn edit(
    caller: &Caller,
    operators: SocketAddr,
    id: &str,
    changes: Vec<Change>,
) -> Result<u64, String> {
    let edit = Edit { id: id.to_owned(), by: "measure".to_owned(), changes };
    let path = "/v1/catalogue/edits";
    let body: Result<EditBody, CallError> =
        caller.post(operators, path, &edit, OPERATOR_TIMEOUT_MS).await;
    match body {
        Ok(EditBody::Known { outcome: Outcome::Applied { revision } }) => Ok(revision),
        other => Err(format!("{other:?}")),
    }
}

/// Fetches a daemon's state dump.
///
/// # Errors
/// Returns an error if the daemon does not answer or the reply is not valid JSON.
pub async fn state(caller: &Caller, operators: SocketAddr) -> Result<Value, CallError> {
    caller.get(operators, "/v1/state", OPERATOR_TIMEOUT_MS).await
}

/// Waits until every given daemon has applied the catalogue up to `offset`.
///
/// # Errors
/// Returns an error after 400 checks, 50 ms apart.
pub async fn await_catalogue(
    caller: &Caller,
    operators: &[SocketAddr],
    offset: u64,
) -> Result<(), String> {
    for _ in 0..400 {
        let mut ready = 0;
        for addr in operators {
            let state = state(caller, *addr).await;
            let applied = state.ok().and_then(|state| state["catalogue_offset"].as_u64());
            ready += usize::from(applied >= Some(offset));
        }
        if ready == operators.len() {
            return Ok(());
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    Err("daemons did not apply the catalogue within 400 checks".to_owned())
}

/// Waits until every daemon has applied the catalogue up to `offset`, knows workers and sees every
/// other daemon as live.
///
/// # Errors
/// Returns an error after 400 checks, 50 ms apart.
pub async fn await_ready(
    caller: &Caller,
    operators: &[SocketAddr],
    offset: u64,
) -> Result<(), String> {
    for _ in 0..400 {
        let mut ready = 0;
        for addr in operators {
            let Ok(state) = state(caller, *addr).await else {
                continue;
            };
            let daemons = state["fleet"]["daemons"].as_array().cloned().unwrap_or_default();
            let live = daemons
                .iter()
                .filter(|daemon| daemon["state"] == "live" || daemon["state"] == "self");
            let has_catalogue = state["catalogue_offset"].as_u64() >= Some(offset);
            let has_workers = state["engine"]["workers"].as_array().is_some_and(|w| !w.is_empty());
            if has_catalogue && has_workers && live.count() == operators.len() {
                ready += 1;
            }
        }
        if ready == operators.len() {
            return Ok(());
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    Err("daemons did not become ready within 400 checks".to_owned())
}
