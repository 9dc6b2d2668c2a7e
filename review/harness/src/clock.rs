//! A worker with a slow clock that was idle for some seconds is cut off just after it has begun a
//! task, and runs on.

use std::cell::Cell;
use std::rc::Rc;

use crate::record::Record;
use crate::setup::{Deployment, JobBody, job_id, kind, send_once, sleep};

/// The pages allow that a worker's clock is 2% slow.
const SLOW_PERMILLE: u64 = 20;
const IDLE_MS: u64 = 8_000;
/// Duration of a cut, in milliseconds: the sites cut workers off for 5,500.
const CUT_MS: u64 = 5_000;
/// Time limit of the sheets, in milliseconds.
const LIMIT_MS: u64 = 1_500;
const ROUNDS: usize = 4;
/// Overlaps below this, in milliseconds, may be due to the resolution of the record.
const RESOLUTION_MS: u64 = 5;

pub async fn run(record: &Record, has_trouble: bool) -> std::io::Result<i32> {
    let mut deployment = Deployment::new(record, true, &["zone-a"]).await?;
    for _ in 0..8 {
        deployment.add_worker("zone-a", kind("a", 64), SLOW_PERMILLE).await?;
    }
    deployment.add_daemon("zone-a")?;
    if !deployment.settle().await {
        return Ok(2);
    }
    let front = deployment.daemons[0].front;
    let is_over = Rc::new(Cell::new(false));
    let short_calls = actix_rt::spawn(send_short_jobs(record.clone(), front, Rc::clone(&is_over)));
    for _ in 0..ROUNDS {
        sleep(IDLE_MS).await;
        // The short jobs keep to one or two workers; the others have been idle.
        let now_ms = record.now_ms();
        let idle: Vec<_> = deployment
            .workers
            .iter()
            .filter(|worker| {
                let runs = deployment.runs.borrow();
                runs.iter().all(|run| run.worker != worker.id || run.from_ms + IDLE_MS < now_ms)
            })
            .map(Rc::clone)
            .collect();
        for worker in &idle {
            let (others, record) = (idle.clone(), record.clone());
            worker.set_on_start(Box::new(move |id| {
                let is_any_cut = others.iter().any(|worker| worker.is_cut.get());
                if has_trouble && !is_any_cut {
                    record.show(&format!("CUT worker={id}"));
                    if let Some(worker) = others.iter().find(|worker| worker.id == id) {
                        worker.is_cut.set(true);
                    }
                }
            }));
        }
        // The estimate is rough: these tasks take longer than most of their kind.
        let body = JobBody { count: 2, cpu: 40_000, estimated_ms: 60, runs_ms: 1_300, label: None };
        let sent_ms = record.now_ms();
        send_once(record, front, &job_id(), &body, LIMIT_MS).await;
        for worker in &idle {
            worker.set_on_start(Box::new(|_| {}));
        }
        sleep((sent_ms + CUT_MS).saturating_sub(record.now_ms())).await;
        for worker in &idle {
            worker.is_cut.set(false);
        }
        record.line("HEALED");
    }
    is_over.set(true);
    let _ = short_calls.await;
    sleep(1_000).await;
    let broken = deployment.overlaps(RESOLUTION_MS);
    for overlap in &broken {
        record.show(&format!("BROKEN {overlap}"));
    }
    let runs = deployment.runs.borrow().len();
    record.show(&format!("RESULT runs={runs} broken={}", broken.len()));
    Ok(i32::from(!broken.is_empty()))
}

/// Sends jobs of one short task, one after the other, as the light traffic of the queue.
async fn send_short_jobs(record: Record, front: std::net::SocketAddr, is_over: Rc<Cell<bool>>) {
    while !is_over.get() {
        let body = JobBody { count: 1, cpu: 27_000, estimated_ms: 60, runs_ms: 60, label: None };
        send_once(&record, front, &job_id(), &body, LIMIT_MS).await;
        sleep(20).await;
    }
}
