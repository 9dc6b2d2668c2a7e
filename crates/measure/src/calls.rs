//! Calls that measurements make as callers and operators.

use std::net::SocketAddr;

use callers::render::AnswerBody;
use dispatch::answer::TaskEnd;
use dispatch::catalogue::{Change, Edit, Outcome};
use dispatch::jobs::{JobRequest, TaskSpec};
use dispatch::workers::Needs;
use httpedge::client::{CallError, HttpClient, RawRequest};
use operators::wire::EditBody;
use serde_json::{Value, json};
use upstreams::wire::input_digest;

const CALL_TIMEOUT_MS: u64 = 120_000;
const OPERATOR_TIMEOUT_MS: u64 = 10_000;

/// Builds a job of coverage checks that need the given times.
pub fn coverage_job(kind: &str, work_ms: &[u64], declared_ms: &[u64], salt: u64) -> JobRequest {
    let repairs = ["feed-horn", "azimuth-motor", "lnb", "radome", "tracking-unit"];
    let tasks = work_ms.iter().zip(declared_ms).enumerate().map(|(place, (work, declared))| {
        let number = (salt as usize + place) % 40;
        let repair = repairs[place % repairs.len()];
        let input = json!({
            "work_ms": work,
            "contract": format!("C{number:03}"),
            "repair": repair,
            "salt": salt,
            "place": place,
        });
        let input = input.to_string();
        TaskSpec { input, declared_ms: Some(*declared), needs: Needs::default() }
    });
    JobRequest { kind: kind.to_owned(), tasks: tasks.collect() }
}

/// Submits a job and gives the answer.
///
/// # Errors
/// Fails where no whole answer came.
pub async fn submit(
    caller: &HttpClient,
    addr: SocketAddr,
    header: Option<(&'static str, String)>,
    job: &JobRequest,
    wait_ms: u64,
) -> Result<(u16, Option<AnswerBody>), CallError> {
    let headers: Vec<(&'static str, String)> = header.into_iter().collect();
    let path = format!("/v1/jobs?wait_ms={wait_ms}&next_tickets=1");
    let call = RawRequest {
        addr,
        method: "POST",
        path: &path,
        headers: &headers,
        body: serde_json::to_vec(job).unwrap_or_default(),
        timeout_ms: CALL_TIMEOUT_MS,
    };
    let (status, body) = caller.send_raw(call).await?;
    Ok((status, serde_json::from_slice(&body).ok()))
}

/// Asks for the answer of a ticket or cancels it, by method.
///
/// # Errors
/// Fails where no whole answer came.
pub async fn by_ticket(
    caller: &HttpClient,
    addr: SocketAddr,
    method: &str,
    ticket: &str,
    wait_ms: u64,
) -> Result<(u16, Option<AnswerBody>), CallError> {
    let path = format!("/v1/jobs/{ticket}?wait_ms={wait_ms}");
    let call = RawRequest {
        addr,
        method,
        path: &path,
        headers: &[],
        body: Vec::new(),
        timeout_ms: CALL_TIMEOUT_MS,
    };
    let (status, body) = caller.send_raw(call).await?;
    Ok((status, serde_json::from_slice(&body).ok()))
}

/// Tells whether a complete answer has one right digest for each task of the job.
pub fn is_whole(job: &JobRequest, answer: &AnswerBody) -> bool {
    let right = |(task, end): (&TaskSpec, &TaskEnd)| match end {
        TaskEnd::Done { digest, .. } => *digest == input_digest(&task.input),
        TaskEnd::Failed { .. } | TaskEnd::Stopped | TaskEnd::InDoubt | TaskEnd::NotStarted => false,
    };
    answer.tasks.len() == job.tasks.len() && job.tasks.iter().zip(&answer.tasks).all(right)
}

/// Makes one edit through a daemon.
///
/// # Errors
/// Fails where the edit is not in force, with the reason.
pub async fn edit(
    caller: &HttpClient,
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

/// Gets a daemon's state dump.
///
/// # Errors
/// Fails where the daemon gives no answer.
pub async fn state(caller: &HttpClient, operators: SocketAddr) -> Result<Value, CallError> {
    caller.get(operators, "/v1/state", OPERATOR_TIMEOUT_MS).await
}

/// Waits until the given daemons have the catalogue.
///
/// # Errors
/// Fails where that takes more than some seconds.
pub async fn await_catalogue(
    caller: &HttpClient,
    operators: &[SocketAddr],
    offset: u64,
) -> Result<(), String> {
    for _ in 0..400 {
        let mut ready = 0;
        for addr in operators {
            let state = state(caller, *addr).await;
            let at = state.ok().and_then(|state| state["catalogue_offset"].as_u64());
            ready += usize::from(at >= Some(offset));
        }
        if ready == operators.len() {
            return Ok(());
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    Err("the catalogue did not come".to_owned())
}

/// Waits until every daemon has the catalogue and hears every other.
///
/// # Errors
/// Fails where that takes more than some seconds.
pub async fn await_ready(
    caller: &HttpClient,
    operators: &[SocketAddr],
    offset: u64,
) -> Result<(), String> {
    for _ in 0..400 {
        let mut ready = 0;
        for addr in operators {
            let Ok(state) = state(caller, *addr).await else {
                continue;
            };
            let lines = state["fleet"]["daemons"].as_array().cloned().unwrap_or_default();
            let live = lines.iter().filter(|l| l["state"] == "live" || l["state"] == "self");
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
    Err("the fleet did not become ready".to_owned())
}
