//! Plays a trace against daemons and notes each answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::answer::Verdict;
use httpedge::client::HttpClient;

use crate::calls::{coverage_job, is_whole, submit};
use crate::trace::TraceJob;

/// What one job came to.
#[derive(Clone, Debug)]
pub struct Played {
    /// The job's place in the trace.
    pub place: usize,
    /// The answer's kind; none where no answer came.
    pub verdict: Option<Verdict>,
    /// Whether a complete answer was whole and its own.
    pub whole: bool,
    /// From the caller's call to its answer, in milliseconds.
    pub response_ms: f64,
    /// The ticket of the answer.
    pub ticket: String,
}

/// How callers reach daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Balance {
    /// Evenly, at random.
    Even,
    /// This share goes to the first daemon.
    Skewed(f64),
}

/// Plays a trace and waits for every answer.
pub async fn play(jobs: &[TraceJob], entries: &[SocketAddr], balance: Balance) -> Vec<Played> {
    let caller = HttpClient::new();
    let results = Rc::new(RefCell::new(Vec::with_capacity(jobs.len())));
    let began = Instant::now();
    let mut handles = Vec::with_capacity(jobs.len());
    for (place, job) in jobs.iter().enumerate() {
        let due = began + Duration::from_micros((job.at_ms * 1_000.0) as u64);
        actix_rt::time::sleep(due.saturating_duration_since(Instant::now())).await;
        let entry = entries[entry_of(job.entry, entries.len(), balance)];
        let (caller, job, results) = (caller.clone(), job.clone(), Rc::clone(&results));
        handles.push(actix_rt::spawn(async move {
            let played = play_one(&caller, entry, place, &job).await;
            results.borrow_mut().push(played);
        }));
    }
    for handle in handles {
        let _ = handle.await;
    }
    let mut played = results.take();
    played.sort_by_key(|played| played.place);
    played
}

async fn play_one(caller: &HttpClient, entry: SocketAddr, place: usize, job: &TraceJob) -> Played {
    let request = coverage_job(job.kind, &job.work_ms, &job.declared_ms, place as u64);
    let began = Instant::now();
    let answered = submit(caller, entry, None, &request, 100_000).await;
    let response_ms = began.elapsed().as_secs_f64() * 1_000.0;
    match answered {
        Ok((_, Some(answer))) => Played {
            place,
            verdict: Some(answer.verdict),
            whole: answer.verdict != Verdict::Complete || is_whole(&request, &answer),
            response_ms,
            ticket: answer.ticket,
        },
        Ok((_, None)) | Err(_) => {
            Played { place, verdict: None, whole: false, response_ms, ticket: String::new() }
        }
    }
}

fn entry_of(share: f64, entries: usize, balance: Balance) -> usize {
    match balance {
        Balance::Even => ((share * entries as f64) as usize).min(entries - 1),
        Balance::Skewed(first) if share < first => 0,
        Balance::Skewed(first) => {
            let rest = (share - first) / (1.0 - first);
            1 + ((rest * (entries - 1) as f64) as usize).min(entries - 2)
        }
    }
}
