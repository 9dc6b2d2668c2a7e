//! Evacuated zones with real daemon processes, simulated workers and a simulated store.

use std::path::Path;
use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};
use pool::job::JobSpec;
use rustix::process::Signal;
use soak::cluster::{Cluster, Layout, job};

/// Time within which the last task starts in an evacuated zone: the users' `evacuateMs`.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

async fn start(zones: usize, daemons: usize, workers: usize) -> Cluster {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    Cluster::start(program, Layout { zones, daemons, workers }).await
}

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Waits until the states of all daemons contain `text`.
async fn wait_for_state(cluster: &Cluster, text: &str) {
    let began = Instant::now();
    for daemon in &cluster.daemons {
        loop {
            let state = cluster.get(daemon.metrics_addr, "/state").await.unwrap_or_default();
            if String::from_utf8_lossy(&state.1).contains(text) {
                break;
            }
            assert!(began.elapsed() < EVACUATION_BOUND, "a daemon does not show {text}");
            pause(20).await;
        }
    }
}

/// Submits `jobs` jobs at once to the daemon `at`, and fails unless all complete.
async fn complete_jobs(cluster: &Cluster, at: usize, first_id: u64, jobs: u64) {
    let jobs: Vec<_> = (first_id..first_id + jobs).map(|id| job(id, 1, 20, "20")).collect();
    let answers = join_all(jobs.iter().map(|job| cluster.submit(at, job))).await;
    assert!(answers.iter().all(|answer| matches!(answer, Ok((200, _)))), "{answers:?}");
}

// Guards against jobs that are lost with the zone: those that wait there when the record arrives, and
// those that arrive later at its daemons. Runs of the zone complete meanwhile.
#[actix_rt::test]
async fn an_evacuated_zone_starts_nothing_and_its_callers_are_served() {
    let cluster = start(2, 2, 2).await;
    // The workers are full: four tasks fit into each zone. Zone 1 is free first.
    let fillers = |first_id, text: &'static str| -> Vec<JobSpec> {
        (first_id..first_id + 4).map(|id| job(id, 1, 300, text)).collect()
    };
    let (long, short) = (fillers(1, "2500"), fillers(11, "900"));
    let waiting = job(21, 1, 300, "20");
    let run_fillers = join(
        join_all(long.iter().map(|job| cluster.submit(0, job))),
        join_all(short.iter().map(|job| cluster.submit(2, job))),
    );
    let evacuate = async {
        pause(150).await;
        let submit = cluster.submit(0, &waiting);
        let put = async {
            pause(150).await;
            cluster.set_evacuated(0, true);
        };
        join(submit, put).await.0
    };
    let (fillers, answer) = join(run_fillers, evacuate).await;
    let completed = fillers.0.iter().chain(&fillers.1).all(|answer| matches!(answer, Ok((200, _))));
    assert!(completed, "{fillers:?}");
    assert_eq!(answer.map(|(status, _)| status), Ok(200), "the waiting job was lost");
    assert_eq!(cluster.starts_in(0), 4, "the waiting job started in the evacuated zone");

    wait_for_state(&cluster, "\"evacuated_zones\":[\"z0\"]").await;
    complete_jobs(&cluster, 0, 100, 4).await;
    assert_eq!(cluster.starts_in(0), 4);
    let metrics = cluster.get(cluster.daemons[0].metrics_addr, "/metrics").await.unwrap();
    let metrics = String::from_utf8_lossy(&metrics.1).into_owned();
    assert!(metrics.contains("entry_zone_evacuated{zone=\"z0\"} 1"), "{metrics}");
    assert!(metrics.contains("entry_zone_evacuated{zone=\"z1\"} 0"), "{metrics}");

    // Without any zone left, callers are refused at once.
    cluster.set_evacuated(1, true);
    wait_for_state(&cluster, "\"evacuated_zones\":[\"z0\",\"z1\"]").await;
    let began = Instant::now();
    let (status, body) = cluster.submit(2, &job(200, 1, 20, "20")).await.unwrap();
    assert_eq!(status, 429, "{body}");
    assert!(body.contains("evacuated"), "{body}");
    assert!(began.elapsed() < Duration::from_millis(200), "the refusal was not immediate");

    // A listing without the keys ends the evacuations too.
    cluster.set_evacuated(0, false);
    cluster.set_evacuated(1, false);
    cluster.store.compact();
    wait_for_state(&cluster, "\"evacuated_zones\":[]").await;
    complete_jobs(&cluster, 0, 300, 4).await;
    assert!(cluster.starts_in(0) > 4, "the zone stays out of use");
}

// Guards against a daemon that starts after the record, or takes over a cell of the zone, and knows
// nothing of the evacuation.
#[actix_rt::test]
async fn new_owners_of_an_evacuated_zone_start_nothing() {
    let mut cluster = start(2, 2, 2).await;
    cluster.set_evacuated(0, true);
    wait_for_state(&cluster, "\"evacuated_zones\":[\"z0\"]").await;
    cluster.store.compact();
    for at in [0, 1] {
        cluster.daemons[at].signal(Signal::KILL);
        cluster.restart(at);
    }
    for at in [0, 1] {
        cluster.wait_until_ready(at).await;
    }
    cluster.find_owner(0).await;
    complete_jobs(&cluster, 0, 1, 4).await;
    complete_jobs(&cluster, 2, 11, 4).await;
    assert_eq!(cluster.starts_in(0), 0);
}

// Guards against a new owner that starts tasks of the jobs that moved to it, long after the record: here
// one whose worker is lost.
#[actix_rt::test]
async fn a_moved_job_is_not_started_again_in_an_evacuated_zone() {
    let cluster = start(2, 2, 2).await;
    let owner = cluster.find_owner(0).await;
    let job = job(1, 1, 3_000, "3000");
    let disturb = async {
        pause(200).await;
        cluster.set_evacuated(0, true);
        pause(1_200).await;
        cluster.daemons[owner].signal(Signal::TERM);
        pause(500).await;
        let busy = cluster.workers.iter().position(|worker| worker.active_count() == 1);
        cluster.sites[busy.expect("the run continues")].end_process();
    };
    let (answer, ()) = join(cluster.submit(1 - owner, &job), disturb).await;
    let (status, body) = answer.unwrap();
    assert_eq!((status, cluster.count_starts(&job)), (504, 1), "{body}");
    assert!(body.contains("evacuated"), "{body}");
}

// Guards against a paused daemon that wakes after the evacuation and starts the jobs that reach it
// before it has read the record.
#[actix_rt::test]
async fn a_paused_owner_starts_nothing_when_it_wakes() {
    let cluster = start(2, 1, 2).await;
    complete_jobs(&cluster, 0, 1, 2).await;
    let before = cluster.starts_in(0);
    cluster.daemons[0].signal(Signal::STOP);
    pause(450).await;
    cluster.set_evacuated(0, true);
    pause(50).await;
    let jobs: Vec<JobSpec> = (11..15).map(|id| job(id, 1, 20, "20")).collect();
    let send = join_all(jobs.iter().map(|job| cluster.submit(0, job)));
    let wake = async {
        pause(50).await;
        cluster.daemons[0].signal(Signal::CONT);
    };
    join(send, wake).await;
    assert_eq!(cluster.starts_in(0), before);
}
