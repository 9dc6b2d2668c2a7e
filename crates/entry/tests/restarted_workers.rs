//! End-to-end tests of workers that start again under their id and address.

use std::path::Path;
use std::time::Duration;

use pool::catalogue::WorkerState;
use soak::cluster::{Cluster, Layout, Publication, job};

/// A publication that comes after the end of the test.
const NEVER: Publication = Publication { after_ms: 60_000, repeats_previous: false };

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

fn count_polls(cluster: &Cluster) -> Vec<u64> {
    cluster.workers.iter().map(|worker| worker.polls.get()).collect()
}

fn started_at_ms(cluster: &Cluster) -> Vec<u64> {
    cluster.workers.iter().map(|worker| worker.started_at_ms()).collect()
}

/// Runs tasks on all workers at once.
async fn fill_workers(cluster: &Cluster, id: u64) {
    let answer = cluster.submit(0, &job(id, 4, 100, "100")).await.unwrap();
    assert_eq!(answer.0, 200, "{}", answer.1);
}

/// Guards against issue 28: the entry of a process ended the runs that this process had started,
/// and they were started elsewhere while they ran on. An entry of the process before may be read
/// after it.
#[actix_rt::test]
async fn a_task_on_a_new_process_runs_once_when_entries_are_read_after_its_start() {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    let cluster = Cluster::start(program, Layout { zones: 1, daemons: 1, workers: 2 }).await;
    fill_workers(&cluster, 1).await;
    let previous_ms = started_at_ms(&cluster);
    for site in &cluster.sites {
        site.end_process();
        site.start_process(NEVER);
    }
    let polls_before = count_polls(&cluster);
    fill_workers(&cluster, 2).await;
    let is_polled = count_polls(&cluster).into_iter().zip(polls_before).all(|(now, old)| now > old);
    assert!(is_polled, "the owner does not know both new processes by their reports");
    let current_ms = started_at_ms(&cluster);
    for (id, processes) in [(3, &current_ms), (4, &previous_ms), (5, &current_ms)] {
        let task = job(id, 1, 800, "800");
        let publish = async {
            pause(300).await;
            assert_eq!(cluster.count_starts(&task), 1);
            for (site, started_at_ms) in cluster.sites.iter().zip(processes) {
                site.publish(WorkerState::Ready, *started_at_ms);
            }
        };
        let (answer, ()) = futures_util::future::join(cluster.submit(0, &task), publish).await;
        let (status, body) = answer.unwrap();
        assert_eq!((status, body.contains("completed")), (200, true), "job {id}: {body}");
        assert_eq!(cluster.count_starts(&task), 1, "job {id}: its task ran more than once");
    }
}
