//! Runs a trace against daemons and records the result of each job.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::answer::Verdict;
use httpedge::client::Caller;

use crate::calls::{coverage_job, has_valid_digests, submit};
use crate::trace::TraceJob;

/// Result of a job of a trace.
#[derive(Clone, Debug)]
pub struct JobResult {
    /// Index of the job in the trace.
    pub job_index: usize,
    /// Verdict of the answer; `None` if no answer was received.
    pub verdict: Option<Verdict>,
    /// `false` if no answer was received, or if a complete answer lacks digests or holds those of
    /// another job.
    pub valid: bool,
    /// Time from the submission to the answer, in milliseconds.
    pub response_ms: f64,
    /// Ticket in the answer (the idempotency key that a daemon issued); empty without an answer.
    pub ticket: String,
}

/// Distribution of the submissions over the daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EntryDistribution {
    /// Uniform at random.
    Uniform,
    /// This fraction goes to the first daemon, the rest uniformly to the others.
    Skewed(f64),
}

/// Submits each job at its arrival time and waits for all answers. The results are in the order of
/// the trace.
pub async fn run_trace(
    jobs: &[TraceJob],
    entries: &[SocketAddr],
    distribution: EntryDistribution,
) -> Vec<JobResult> {
    let caller = Caller::new();
    let results = Rc::new(RefCell::new(Vec::with_capacity(jobs.len())));
    let started_at = Instant::now();
    let mut handles = Vec::with_capacity(jobs.len());
    for (job_index, job) in jobs.iter().enumerate() {
        let submit_at = started_at + Duration::from_micros((job.at_ms * 1_000.0) as u64);
        actix_rt::time::sleep(submit_at.saturating_duration_since(Instant::now())).await;
        let entry = entries[daemon_index(job.entry_fraction, entries.len(), distribution)];
        let (caller, job, results) = (caller.clone(), job.clone(), Rc::clone(&results));
        handles.push(actix_rt::spawn(async move {
            let result = run_job(&caller, entry, job_index, &job).await;
            results.borrow_mut().push(result);
        }));
    }
    for handle in handles {
        let _ = handle.await;
    }
    let mut results = results.take();
    results.sort_by_key(|result| result.job_index);
    results
}

async fn run_job(
    caller: &Caller,
    entry: SocketAddr,
    job_index: usize,
    job: &TraceJob,
) -> JobResult {
    let request = coverage_job(job.kind, &job.work_ms, &job.declared_ms, job_index as u64);
    let started_at = Instant::now();
    let reply = submit(caller, entry, None, &request, 100_000).await;
    let response_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    match reply {
        Ok((_, Some(answer))) => JobResult {
            job_index,
            verdict: Some(answer.verdict),
            valid: answer.verdict != Verdict::Complete || has_valid_digests(&request, &answer),
            response_ms,
            ticket: answer.ticket,
        },
        Ok((_, None)) | Err(_) => {
            JobResult { job_index, verdict: None, valid: false, response_ms, ticket: String::new() }
        }
    }
}

fn daemon_index(share: f64, entries: usize, distribution: EntryDistribution) -> usize {
    match distribution {
        EntryDistribution::Uniform => ((share * entries as f64) as usize).min(entries - 1),
        EntryDistribution::Skewed(first) if share < first => 0,
        EntryDistribution::Skewed(first) => {
            let rest = (share - first) / (1.0 - first);
            1 + ((rest * (entries - 1) as f64) as usize).min(entries - 2)
        }
    }
}
