//! End-to-end tests with real daemon processes, simulated workers and a simulated store.

use std::path::Path;
use std::time::{Duration, Instant};

use adapter::config::write_config;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC, WORKER_TOPIC};
use futures_util::future::join_all;
use pool::catalogue::WorkerState;
use rustix::process::Signal;
use soak::cluster::{Cluster, HOST, Layout, PATH_PREFIX, catalogue, job};
use standins::metastore::StoreBehaviour;
use standins::pool_worker_server::Behaviour;

/// Maximum duration of a shutdown: the users' `graceS`.
const GRACE: Duration = Duration::from_secs(6);

async fn start(zones: usize, daemons: usize, workers: usize) -> Cluster {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    Cluster::start(program, Layout { zones, daemons, workers }).await
}

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Submits `jobs` jobs at once to the daemon `at` and returns how many completed.
async fn count_completed(cluster: &Cluster, at: usize, first_id: u64, jobs: u64) -> usize {
    let jobs: Vec<_> = (first_id..first_id + jobs).map(|id| job(id, 1, 20, "20")).collect();
    let answers = join_all(jobs.iter().map(|job| cluster.submit(at, job))).await;
    answers.iter().filter(|answer| matches!(answer, Ok((200, _)))).count()
}

#[actix_rt::test]
async fn every_daemon_completes_jobs_and_starts_each_task_once() {
    let cluster = start(2, 2, 3).await;
    for at in 0..4 {
        let job = job(at as u64 + 1, 5, 40, "40");
        let answer = cluster.submit(at, &job).await.unwrap();
        assert_eq!(answer.0, 200, "{}", answer.1);
        assert!(answer.1.contains("completed"), "{}", answer.1);
        assert_eq!(cluster.count_starts(&job), 5);
    }
}

#[actix_rt::test]
async fn invalid_requests_are_rejected_without_starting_a_task() {
    let cluster = start(1, 1, 1).await;
    let addr = cluster.daemons[0].callers_addr;
    let id = "00000000000000aa";
    let stored = br#"{"spec":"5","steps":[{"count":1,"cpu":1000,"estimatedMs":5}]}"#;
    let gang = br#"{"spec":"5","bestEffort":true,"steps":[{"count":2,"cpu":1,"gang":true}]}"#;
    let after = br#"{"bestEffort":true,"steps":[{"count":1,"after":[0]}]}"#;
    let huge = br#"{"bestEffort":true,"steps":[{"count":1,"cpu":900000}]}"#;
    let cases: [(&str, String, &[u8], u16, &str); 10] = [
        ("POST", format!("{PATH_PREFIX}{id}"), b"{\"spec\":", 400, "no job"),
        ("POST", format!("{PATH_PREFIX}{id}"), b"[]", 400, "no job"),
        (
            "POST",
            format!("{PATH_PREFIX}{id}"),
            br#"{"bestEffort":true,"steps":[]}"#,
            400,
            "no tasks",
        ),
        ("POST", format!("{PATH_PREFIX}{id}"), after, 400, "later one"),
        ("POST", format!("{PATH_PREFIX}{id}"), stored, 503, "stored state"),
        ("POST", format!("{PATH_PREFIX}{id}"), gang, 503, "gangs"),
        ("POST", format!("{PATH_PREFIX}{id}"), huge, 429, "no_worker"),
        ("POST", format!("{PATH_PREFIX}no-id"), b"{}", 404, "job's id"),
        ("POST", format!("/nowhere/{id}"), b"{}", 404, "no such route"),
        ("GET", format!("{PATH_PREFIX}{id}"), b"", 410, "no such job"),
    ];
    for (method, path, body, status, words) in cases {
        let answer = cluster.send(addr, method, &path, body.to_vec(), 2_000).await.unwrap();
        let text = String::from_utf8_lossy(&answer.1).into_owned();
        assert_eq!(answer.0, status, "{method} {path}: {text}");
        assert!(text.contains(words), "{method} {path}: {text}");
    }
    let count = cluster.get(addr, PATH_PREFIX).await.unwrap();
    assert_eq!(count, (200, br#"{"pendingJobs":0}"#.to_vec()));
    assert!(cluster.workers[0].started_runs.borrow().is_empty());
}

#[actix_rt::test]
async fn cancelling_at_any_daemon_stops_the_job_and_its_runs() {
    let cluster = start(1, 2, 3).await;
    for (number, cancelled_at) in [0, 1].into_iter().enumerate() {
        let job = job(number as u64 + 1, 2, 1_500, "1500");
        let path = format!("{PATH_PREFIX}{}", job.id);
        let cancel = async {
            pause(300).await;
            let running = cluster.get(cluster.daemons[0].callers_addr, &path).await.unwrap();
            assert_eq!(running, (200, br#"{"state":"running"}"#.to_vec()));
            let addr = cluster.daemons[cancelled_at].callers_addr;
            cluster.send(addr, "DELETE", &path, Vec::new(), 2_000).await.unwrap().0
        };
        let began = Instant::now();
        let (answer, status) = futures_util::future::join(cluster.submit(0, &job), cancel).await;
        let (answered, body) = answer.unwrap();
        assert_eq!((answered, status), (200, 200), "{body}");
        assert!(body.contains("cancelled"), "{body}");
        assert!(
            began.elapsed() < Duration::from_millis(1_300),
            "the answer to a cancelled job waited for its runs"
        );
        pause(200).await;
        assert!(
            cluster.workers.iter().all(|worker| worker.active_count() == 0),
            "runs of the cancelled job are still active"
        );
        let again =
            cluster.send(cluster.daemons[0].callers_addr, "DELETE", &path, Vec::new(), 2_000).await;
        assert_eq!(again.unwrap().0, 410);
    }
}

#[actix_rt::test]
async fn a_job_fails_after_its_maximum_number_of_attempts() {
    let cluster = start(1, 1, 2).await;
    let job = job(7, 1, 10, "10 fail");
    let answer = cluster.submit(0, &job).await.unwrap();
    assert_eq!((answer.0, answer.1.contains("failed")), (200, true), "{}", answer.1);
    assert_eq!(cluster.count_starts(&job), 2);
}

/// Guards against issue 25: the second daemon is asked while it lives, and again when its next
/// process knows only the crashes that it has read from the first one.
#[actix_rt::test]
async fn a_job_that_crashes_its_workers_is_given_up_at_every_daemon() {
    let mut cluster = start(2, 1, 3).await;
    let job = job(9, 1, 20, "20 crash");
    let answer = cluster.submit(0, &job).await.unwrap();
    assert_eq!((answer.0, answer.1.contains("failed")), (200, true), "{}", answer.1);
    assert_eq!(cluster.count_starts(&job), 2, "two crashes convict a task that runs alone");
    for is_restarted in [false, true] {
        // Callers resend no sooner than this.
        pause(1_300).await;
        if is_restarted {
            cluster.restart(1);
            cluster.wait_until_ready(1).await;
        }
        let began = Instant::now();
        let answer = cluster.submit(1, &job).await.unwrap();
        assert_eq!((answer.0, answer.1.contains("failed")), (200, true), "{}", answer.1);
        assert!(began.elapsed() < Duration::from_millis(500), "the answer was not known");
        assert_eq!(cluster.count_starts(&job), 2);
    }
    assert_eq!(count_completed(&cluster, 0, 100, 4).await, 4);
}

#[actix_rt::test]
async fn jobs_complete_when_their_owner_shuts_down() {
    let mut cluster = start(1, 2, 4).await;
    let owner = cluster.find_owner(0).await;
    let jobs: Vec<_> = (1..=4).map(|id| job(id, 2, 600, "600")).collect();
    let signal = async {
        pause(150).await;
        cluster.daemons[owner].signal(Signal::TERM);
    };
    let answers = join_all(jobs.iter().enumerate().map(|(at, job)| cluster.submit(at % 2, job)));
    let (answers, ()) = futures_util::future::join(answers, signal).await;
    for (answer, job) in answers.iter().zip(&jobs) {
        assert_eq!(answer.as_ref().map(|answer| answer.0), Ok(200), "{answer:?}");
        assert_eq!(
            cluster.count_starts(job),
            2,
            "each task is started once, and the next owner adopts its run"
        );
    }
    let ended = cluster.daemons[owner].child.wait().unwrap();
    assert!(ended.success());
}

/// Guards against a new owner that learns from scratch which workers are slow.
#[actix_rt::test]
async fn the_next_owner_gets_the_speeds_of_the_workers() {
    let cluster = start(1, 2, 4).await;
    let owner = cluster.find_owner(0).await;
    // Of each worker at least three runs have to be known.
    for batch in 0..4 {
        assert_eq!(count_completed(&cluster, owner, 1 + 8 * batch, 8).await, 8);
    }
    cluster.daemons[owner].signal(Signal::TERM);
    let has_speeds = async || {
        let reply = cluster.get(cluster.daemons[1 - owner].metrics_addr, "/metrics").await;
        let text = String::from_utf8_lossy(&reply.unwrap().1).into_owned();
        let line = text.lines().find(|line| line.starts_with("entry_speeds_taken_over_total"));
        line.and_then(|line| line.split(' ').nth(1)?.parse::<u64>().ok()).unwrap_or(0) > 0
    };
    for _ in 0..50 {
        if has_speeds().await {
            return;
        }
        pause(100).await;
    }
    panic!("no speeds have been taken over");
}

/// Guards against overload of the store: the cost of reading the workers' entries grows with
/// workers times readers, and with hundreds of daemons the store could no longer serve reads of
/// the configuration.
#[actix_rt::test]
async fn daemons_without_cells_serve_jobs_without_reading_worker_entries() {
    // The store assigns 32 partitions in turn, of which 8 can be cells: two daemons get none.
    let cluster = start(1, 10, 4).await;
    for at in 0..cluster.daemons.len() {
        assert_eq!(count_completed(&cluster, at, 100 * (at as u64 + 1), 2).await, 2, "at {at}");
    }
    let count_readers = async || {
        let mut readers = 0;
        for daemon in &cluster.daemons {
            let dump = cluster.get(daemon.metrics_addr, "/state").await.unwrap().1;
            let dump = String::from_utf8_lossy(&dump).into_owned();
            readers += usize::from(dump.contains("\"knows_workers\":true"));
        }
        readers
    };
    // A daemon that was assigned a cell while the others started keeps reading for a while.
    let began = Instant::now();
    while count_readers().await != 8 {
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "the number of daemons that read worker entries did not settle at 8"
        );
        pause(50).await;
    }
}

/// Guards against a worker with two owners: a daemon that restarts in a zone of several cells does
/// not know the number of cells until it has read the worker counts, and must not claim the workers
/// of other cells meanwhile.
#[actix_rt::test]
async fn a_restarted_daemon_does_not_claim_workers_of_other_cells() {
    const WORKERS: usize = 44;
    let mut cluster = start(1, 2, WORKERS).await;
    for restarted in 0..2 {
        // The daemon regains its cells with its first call to the store, before it has read the
        // workers' entries.
        cluster.daemons[restarted].signal(Signal::KILL);
        cluster.restart(restarted);
        pause(1_500).await;
        let mut owned = 0;
        for daemon in &cluster.daemons {
            let dump = cluster.get(daemon.metrics_addr, "/state").await.unwrap().1;
            owned += String::from_utf8_lossy(&dump).matches("takes_work").count();
        }
        assert_eq!(
            owned, WORKERS,
            "not every worker has exactly one owner after daemon {restarted} restarted"
        );
    }
}

/// Guards against a shutdown that exceeds its grace period: the store is unreachable and all other
/// daemons are suspended, so no handover and no call is answered.
#[actix_rt::test]
async fn a_shutdown_without_store_and_peers_ends_within_the_grace_period() {
    let mut cluster = start(1, 21, 2).await;
    let owner = cluster.find_owner(0).await;
    cluster.store.behaviour.set(StoreBehaviour::Silent);
    pause(2_000).await;
    for at in (0..cluster.daemons.len()).filter(|at| *at != owner) {
        cluster.daemons[at].signal(Signal::STOP);
    }
    cluster.daemons[owner].signal(Signal::TERM);
    let began = Instant::now();
    while cluster.daemons[owner].child.try_wait().unwrap().is_none() {
        assert!(began.elapsed() < GRACE, "the daemon still runs after its grace period");
        pause(50).await;
    }
    for at in (0..cluster.daemons.len()).filter(|at| *at != owner) {
        cluster.daemons[at].signal(Signal::CONT);
    }
}

#[actix_rt::test]
async fn another_daemon_takes_over_the_cells_of_a_killed_owner() {
    let cluster = start(1, 2, 3).await;
    let owner = cluster.find_owner(0).await;
    cluster.daemons[owner].signal(Signal::KILL);
    let began = Instant::now();
    let other = 1 - owner;
    let mut id = 100;
    while count_completed(&cluster, other, id, 1).await == 0 {
        id += 1;
        assert!(began.elapsed() < Duration::from_millis(2_500), "no daemon took over within 2.5 s");
        pause(50).await;
    }
}

#[actix_rt::test]
async fn jobs_complete_while_the_store_is_unavailable() {
    let cluster = start(1, 2, 3).await;
    for behaviour in [StoreBehaviour::Busy, StoreBehaviour::Silent, StoreBehaviour::LosesReplies] {
        cluster.store.behaviour.set(behaviour);
        pause(1_500).await;
        for at in 0..2 {
            let first_id = 1_000 * (at as u64 + 1) + behaviour as u64 * 10_000;
            assert_eq!(
                count_completed(&cluster, at, first_id, 4).await,
                4,
                "{behaviour:?} at {at}"
            );
        }
        cluster.store.behaviour.set(StoreBehaviour::Normal);
        pause(1_500).await;
    }
}

#[actix_rt::test]
async fn jobs_complete_across_a_rebalance_and_a_trimmed_history() {
    let cluster = start(1, 2, 3).await;
    let long: Vec<_> = (1..=2).map(|id| job(id, 1, 900, "900")).collect();
    let disruption = async {
        pause(100).await;
        cluster.store.rebalance();
        cluster.store.compact();
    };
    let answers = join_all(long.iter().enumerate().map(|(at, job)| cluster.submit(at, job)));
    let (answers, ()) = futures_util::future::join(answers, disruption).await;
    for answer in answers {
        assert_eq!(answer.as_ref().map(|answer| answer.0), Ok(200), "{answer:?}");
    }
    assert_eq!(count_completed(&cluster, 0, 50, 3).await, 3);
}

#[actix_rt::test]
async fn jobs_submitted_during_rebalances_are_not_refused() {
    let cluster = start(1, 2, 4).await;
    let senders = (0..20).map(|number| {
        let cluster = &cluster;
        async move {
            pause(number * 60).await;
            let job = job(200 + number, 1, 20, "20");
            cluster.submit(number as usize % 2, &job).await.map(|answer| answer.0)
        }
    });
    let disruption = async {
        for _ in 0..3 {
            pause(300).await;
            cluster.store.rebalance();
        }
    };
    let (answers, ()) = futures_util::future::join(join_all(senders), disruption).await;
    assert!(answers.iter().all(|answer| *answer == Ok(200)), "{answers:?}");
}

#[actix_rt::test]
async fn runs_are_stopped_when_their_caller_disconnects() {
    let cluster = start(1, 2, 2).await;
    let other = 1 - cluster.find_owner(0).await;
    for (id, at) in [(1, other), (2, 1 - other)] {
        let job = job(id, 2, 4_000, "4000");
        let path = format!("{PATH_PREFIX}{}", job.id);
        let body = adapter::callers::write_job(&job);
        let left = cluster.send(cluster.daemons[at].callers_addr, "POST", &path, body, 400).await;
        assert!(left.is_err(), "the job was answered before the caller disconnected: {left:?}");
        assert_eq!(cluster.count_starts(&job), 2);
        pause(400).await;
        let running: usize = cluster.workers.iter().map(|worker| worker.active_count()).sum();
        assert_eq!(running, 0, "runs of a disconnected caller are still active");
    }
}

/// Guards against a second run of a task, in another cell, for a request whose first caller's closing
/// has not been seen.
#[actix_rt::test]
async fn requests_for_an_open_job_share_its_runs() {
    let cluster = start(2, 1, 1).await;
    // Leaves no room for the same job in the cell.
    let job = job(1, 2, 900, "900");
    let path = format!("{PATH_PREFIX}{}", job.id);
    let body = adapter::callers::write_job(&job);
    let first = cluster.send(cluster.daemons[0].callers_addr, "POST", &path, body, 500);
    let second = async {
        pause(200).await;
        cluster.submit(0, &job).await
    };
    let (first, second) = futures_util::join!(first, second);
    assert!(first.is_err(), "the job was answered before the first caller disconnected");
    assert_eq!(second.map(|(status, _)| status), Ok(200));
    assert_eq!(cluster.count_starts(&job), 2);
}

/// Guards against a second run of a task for a request that another daemon sends to another cell of the
/// same owner.
#[actix_rt::test]
async fn a_job_that_is_sent_again_runs_in_one_cell_of_its_owner() {
    let mut cluster = start(2, 1, 1).await;
    for _ in 1..44 {
        cluster.add_worker(0).await;
    }
    // The zone has two cells from now on.
    pause(4_000).await;
    for id in 1..5 {
        // Leaves no room for the same job in the cell, and fits the other one.
        let job = job(id, 30, 500, "500");
        let again = async {
            pause(200).await;
            cluster.submit(1, &job).await
        };
        let (first, again) = futures_util::join!(cluster.submit(0, &job), again);
        let statuses = [first, again].map(|answer| answer.map(|(status, _)| status));
        assert_eq!(statuses, [Ok(200), Ok(200)]);
        assert_eq!(cluster.count_starts(&job), 30);
    }
    // The cancellation has to name the cell that got the job.
    let job = job(9, 30, 1_500, "1500");
    let (path, body) = (format!("{PATH_PREFIX}{}", job.id), adapter::callers::write_job(&job));
    let leave = async |at: usize, after_ms| {
        pause(200 * at as u64).await;
        let addr = cluster.daemons[at].callers_addr;
        cluster.send(addr, "POST", &path, body.clone(), after_ms).await.unwrap_err();
    };
    futures_util::join!(leave(0, 400), leave(1, 400));
    pause(400).await;
    assert_eq!(cluster.count_starts(&job), 30);
    assert!(cluster.workers.iter().all(|worker| worker.active_count() == 0));
}

#[actix_rt::test]
async fn draining_and_unhealthy_workers_get_no_tasks() {
    let cluster = start(1, 1, 3).await;
    cluster.publish_worker(0, WorkerState::Draining);
    cluster.workers[1].behaviour.set(Behaviour::Unhealthy);
    pause(800).await;
    let before = cluster.workers[0].started_runs.borrow().len();
    assert_eq!(count_completed(&cluster, 0, 1, 2).await, 2);
    assert_eq!(cluster.workers[0].started_runs.borrow().len(), before);
}

#[actix_rt::test]
async fn invalid_records_and_older_versions_are_ignored() {
    let cluster = start(1, 1, 2).await;
    let garbage: [&[u8]; 4] = [b"{", b"null", b"{\"version\":\"x\"}", &[0xff, 0xfe]];
    for bytes in garbage {
        cluster.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(bytes.to_vec()));
        cluster.store.put(WORKER_TOPIC, "foreign", Some(bytes.to_vec()));
        cluster.store.put(WORKER_TOPIC, "w0", Some(bytes.to_vec()));
    }
    let mut older = catalogue(2);
    older.routes.clear();
    cluster.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&older)));
    pause(900).await;
    assert_eq!(count_completed(&cluster, 0, 1, 3).await, 3);
    let mut newer = catalogue(9);
    newer.routes[0].path_prefix = "/other/".to_owned();
    cluster.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&newer)));
    let began = Instant::now();
    let addr = cluster.daemons[0].callers_addr;
    while cluster.get(addr, PATH_PREFIX).await.unwrap().0 != 404 {
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{HOST}: a change of the configuration took over 2 s"
        );
        pause(20).await;
    }
}
