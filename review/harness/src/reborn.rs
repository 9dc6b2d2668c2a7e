//! A worker crashes and starts again under its id and address, as one of another kind.

use std::rc::Rc;

use crate::record::Record;
use crate::setup::{Deployment, JobBody, job_id, kind, send_once, sleep};

/// Time from the crash to the start of the next process, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// Time from the start of a process to its first entry in the store, in milliseconds: less than
/// `heartbeatMs` of the settings, 1,500.
const ENTRY_AFTER_MS: u64 = 1_000;
const ROUNDS: usize = 3;

/// `is_limit`: the second kind has less room and does not guard it; otherwise, it lacks a label.
pub async fn run(record: &Record, has_trouble: bool, is_limit: bool) -> std::io::Result<i32> {
    let guards = !is_limit;
    let mut deployment = Deployment::new(record, guards, &["zone-a"]).await?;
    let first = crate::worker::Kind { guards, ..kind("a", 64) };
    let second = crate::worker::Kind { guards, ..kind("b", if is_limit { 32 } else { 64 }) };
    for _ in 0..6 {
        deployment.add_worker("zone-a", first.clone(), 0).await?;
    }
    for _ in 0..2 {
        deployment.add_worker("zone-a", second.clone(), 0).await?;
    }
    deployment.add_daemon("zone-a")?;
    deployment.add_daemon("zone-a")?;
    if !deployment.settle().await {
        return Ok(2);
    }
    let front = deployment.daemons[0].front;
    let label = (!is_limit).then_some("a");
    let record_of_calls = record.clone();
    let calls = actix_rt::spawn(async move {
        for _ in 0..ROUNDS * 120 {
            let body = JobBody { count: 2, cpu: 27_000, estimated_ms: 200, runs_ms: 200, label };
            let record = record_of_calls.clone();
            actix_rt::spawn(async move {
                send_once(&record, front, &job_id(), &body, 1_500).await;
            });
            sleep(70).await;
        }
    });
    for round in 0..ROUNDS {
        sleep(2_000).await;
        if has_trouble {
            let worker = Rc::clone(&deployment.workers[round]);
            worker.kill();
            sleep(DOWN_MS).await;
            worker.start_again(second.clone()).await?;
            sleep(ENTRY_AFTER_MS).await;
            worker.publish(pool::catalogue::WorkerState::Ready);
        }
        sleep(3_000).await;
    }
    let _ = calls.await;
    sleep(1_600).await;
    let runs = deployment.runs.borrow();
    let mut broken = 0;
    for run in runs.iter() {
        let lacks_label = label.is_some_and(|label| !run.labels.iter().any(|known| known == label));
        let is_over = !guards && run.used > run.capacity;
        if lacks_label || is_over {
            broken += 1;
            record.show(&format!(
                "BROKEN at={} task={} run={} worker={} labels={} used={} capacity={}",
                run.from_ms,
                run.task,
                run.run,
                run.worker,
                run.labels.join("+"),
                run.used,
                run.capacity,
            ));
        }
    }
    record.show(&format!("RESULT runs={} broken={broken}", runs.len()));
    Ok(i32::from(broken > 0))
}
