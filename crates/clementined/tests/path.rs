//! End-to-end tests through daemon processes: resubmissions, drains, crashes and network cuts.

mod support;

use std::net::SocketAddr;

use dispatch::answer::{Reason, TaskEnd, Verdict};
use measure::calls::{coverage_job, has_valid_digests, request_by_ticket, submit};
use platform::wire::StoredRecord;
use serde_json::{Value, json};
use standins::log::LogFaults;
use standins::worker::Faults;
use support::TestEnv;

/// Maximum age of a snapshot that still has most of the log's retention time left, in milliseconds.
const MAX_SNAPSHOT_AGE_MS: u64 = 1_000;

fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

fn fresh_key(name: &str) -> (&'static str, String) {
    ("idempotency-key", format!("{}-{name}", clementined::logging::unix_ms() / 1_000))
}

#[test]
fn a_job_completes_and_a_resubmission_to_any_daemon_gets_the_same_answer() {
    run_test(async {
        let env = TestEnv::start(&["bergamo", "sondrio"], 3, 4).await;
        let ticket = env.ticket(0).await;
        let job = coverage_job("coverage-check", &[40; 12], &[40; 12], 1);
        let (first, second) =
            futures_util::future::join(env.submit(0, &ticket, &job), env.submit(1, &ticket, &job))
                .await;
        let third = env.submit(2, &ticket, &job).await;
        for answer in [&first, &second, &third] {
            assert_eq!(answer.verdict, Verdict::Complete);
            assert!(has_valid_digests(&job, answer));
        }
        let other = coverage_job("coverage-check", &[41], &[41], 2);
        let answer = env.submit(1, &ticket, &other).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::OtherRequest));
        assert_eq!(env.starts().await, (1, 12));
    });
}

#[test]
fn invalid_and_refused_requests_start_no_task() {
    run_test(async {
        let env = TestEnv::start(&["bergamo"], 1, 1).await;
        let mut job = coverage_job("nothing-like-it", &[10], &[10], 1);
        let ticket = env.ticket(0).await;
        let answer = env.submit(0, &ticket, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::UnknownKind));
        job.kind = "coverage-check".into();
        job.tasks[0].needs.accelerators = 4;
        let answer = env.submit(0, &env.ticket(0).await, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::Impossible));
        let first = if ticket.starts_with('A') { "B" } else { "A" };
        let forged = ("ticket", format!("{first}{}", &ticket[1..]));
        let addr = env.callers(0);
        let (status, _) = submit(&env.caller, addr, Some(forged), &job, 1_000).await.unwrap();
        assert_eq!(status, 400);
        assert_eq!(env.starts().await, (0, 0));
    });
}

#[test]
fn a_drain_completes_work_in_flight_and_the_successor_answers_for_its_tickets() {
    run_test(async {
        let mut env = TestEnv::start(&["bergamo"], 3, 3).await;
        let done = env.ticket(0).await;
        let unused = env.ticket(0).await;
        let running = env.ticket(0).await;
        let short = coverage_job("coverage-check", &[30; 4], &[30; 4], 1);
        let long = coverage_job("coverage-check", &[1_200; 4], &[1_200; 4], 2);
        assert_eq!(env.submit(0, &done, &short).await.verdict, Verdict::Complete);
        let addr = env.callers(0);
        let (caller, header) = (env.caller.clone(), ("ticket", running.clone()));
        let job = long.clone();
        let in_flight =
            actix_rt::spawn(async move { submit(&caller, addr, Some(header), &job, 20_000).await });
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        env.terminate(0);
        let answer = in_flight.await.unwrap().unwrap().1.unwrap();
        assert_eq!(answer.verdict, Verdict::Complete);
        assert!(has_valid_digests(&long, &answer));
        assert_eq!(env.await_exit(0).await, Some(0));
        for (ticket, job) in [(&done, &short), (&running, &long)] {
            let answer = env.submit(1, ticket, job).await;
            assert_eq!(answer.verdict, Verdict::Complete, "{:?}", answer.reason);
        }
        let answer = env.submit(2, &unused, &coverage_job("coverage-check", &[20], &[20], 3)).await;
        assert_eq!(answer.verdict, Verdict::Complete, "an unused ticket must run on the successor");
        assert_eq!(env.starts().await, (1, 9));
    });
}

#[test]
fn two_daemons_that_drain_concurrently_lose_no_ticket() {
    run_test(async {
        let mut env = TestEnv::start(&["bergamo"], 3, 2).await;
        let job = coverage_job("coverage-check", &[20; 2], &[20; 2], 1);
        let tickets = [env.ticket(0).await, env.ticket(1).await];
        for (index, ticket) in tickets.iter().enumerate() {
            assert_eq!(env.submit(index, ticket, &job).await.verdict, Verdict::Complete);
        }
        env.terminate(0);
        env.terminate(1);
        assert_eq!(env.await_exit(0).await, Some(0));
        assert_eq!(env.await_exit(1).await, Some(0));
        for ticket in &tickets {
            assert_eq!(env.submit(2, ticket, &job).await.verdict, Verdict::Complete);
        }
        assert_eq!(env.starts().await, (1, 4));
    });
}

#[test]
fn after_a_crash_of_the_home_journal_and_workers_prove_what_became_of_its_tickets() {
    run_test(async {
        let mut env = TestEnv::start(&["bergamo"], 2, 2).await;
        let (done, unused) = (env.ticket(0).await, env.ticket(0).await);
        let (unused_invoice, used_invoice) = (env.ticket(0).await, env.ticket(0).await);
        let check = coverage_job("coverage-check", &[20; 5], &[20; 5], 1);
        let invoice = coverage_job("invoice", &[20], &[20], 2);
        assert_eq!(env.submit(0, &done, &check).await.verdict, Verdict::Complete);
        assert_eq!(env.submit(0, &used_invoice, &invoice).await.verdict, Verdict::Complete);
        env.kill(0);
        let answer = env.submit(1, &done, &check).await;
        let silent = (Verdict::Unknown, Reason::HomeUnreachable);
        assert_eq!((answer.verdict, answer.reason), silent, "a silent home may still be running");
        let answer = env.submit(1, &unused_invoice, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::Voided));
        let answer = env.submit(1, &used_invoice, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::MayHaveStarted));
        env.start_daemon(0);
        measure::calls::await_ready(&env.caller, &env.operators(), 1).await.unwrap();
        for index in [0, 1] {
            let answer = env.submit(index, &done, &check).await;
            assert_eq!(answer.verdict, Verdict::Complete, "{:?}", answer.reason);
            assert!(has_valid_digests(&check, &answer));
            let answer = env.submit(index, &unused, &check).await;
            let unknown = (Verdict::Unknown, Reason::HomeGone);
            assert_eq!(
                (answer.verdict, answer.reason),
                unknown,
                "the workers cannot prove that a task has not run"
            );
        }
        let answer = env.submit(1, &used_invoice, &invoice).await;
        assert_eq!(answer.verdict, Verdict::Complete, "the worker still holds the result");
        let answer =
            env.submit(1, &done, &coverage_job("coverage-check", &[9; 5], &[9; 5], 7)).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::OtherRequest));
        assert_eq!(env.starts().await, (1, 6));
    });
}

#[test]
fn a_ticket_voided_through_another_daemon_is_never_started_by_its_running_home() {
    run_test(async {
        let env = TestEnv::start(&["bergamo"], 2, 2).await;
        let (used_ticket, ticket) = (env.ticket(0).await, env.ticket(0).await);
        let invoice = coverage_job("invoice", &[20; 2], &[20; 2], 1);
        assert_eq!(env.submit(0, &used_ticket, &invoice).await.verdict, Verdict::Complete);
        set_cut(&env, 1, &[env.fleet.daemons[0].peers]).await;
        for index in [1, 0, 1] {
            let answer = env.submit(index, &ticket, &invoice).await;
            assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::Voided));
        }
        let answer = env.submit(1, &used_ticket, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::MayHaveStarted));
        assert_eq!(env.starts().await, (1, 2));
    });
}

#[test]
fn the_journal_proves_nothing_for_a_kind_whose_journalling_was_recently_off() {
    run_test(async {
        let mut env = TestEnv::start(&["bergamo"], 2, 2).await;
        let ticket = env.ticket(0).await;
        let mut edits = measure::fleet::sample_catalogue();
        edits.retain(|change| change.name == "invoice");
        for (round, journal) in [false, true].into_iter().enumerate() {
            let mut change = edits[0].clone();
            change.base = Some(env.revision("invoice").await);
            if let Some(dispatch::catalogue::Item::Kind(kind)) = change.item.as_mut() {
                kind.journal = journal;
            }
            let id = format!("loose-{round}");
            let operators = env.operators()[1];
            measure::calls::edit(&env.caller, operators, &id, vec![change]).await.unwrap();
        }
        env.kill(0);
        let invoice = coverage_job("invoice", &[20], &[20], 2);
        let answer = env.submit(1, &ticket, &invoice).await;
        assert_eq!(answer.verdict, Verdict::Unknown, "a start may have skipped the journal");
    });
}

#[test]
fn a_daemon_that_starts_during_a_log_outage_loads_the_catalogue_from_a_peer() {
    run_test(async {
        let mut env = TestEnv::start(&["bergamo", "sondrio"], 2, 2).await;
        let down = LogFaults { down: true, ..LogFaults::default() };
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &down, 2_000).await.unwrap();
        env.kill(0);
        env.start_daemon(0);
        measure::calls::await_ready(&env.caller, &env.operators(), 1).await.unwrap();
        let job = coverage_job("coverage-check", &[20], &[20], 1);
        assert_eq!(env.submit(0, &env.ticket(0).await, &job).await.verdict, Verdict::Complete);
    });
}

#[test]
fn a_daemon_starts_from_a_snapshot_after_the_first_records_have_expired() {
    run_test(async {
        let mut env = TestEnv::start(&["bergamo"], 1, 1).await;
        let faults = LogFaults { retention_ms: 3_000, ..LogFaults::default() };
        let _: Value =
            env.caller.post(env.fleet.log_addr, "/faults", &faults, 2_000).await.unwrap();
        let log = platform::client::LogClient::new(env.fleet.log_addr, env.caller.clone());
        let mut replaced = false;
        for _ in 0..200 {
            let page = log.read("catalogue", 0, 0).await.unwrap();
            // The first snapshot is as old as the first record and may be about to expire, so the
            // test waits for a recent one.
            let is_recent =
                |record: &StoredRecord| page.now_ms - record.at_ms < MAX_SNAPSHOT_AGE_MS;
            replaced = page.first_kept > 0 && page.records.iter().any(is_recent);
            if replaced {
                break;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        assert!(replaced, "a recent snapshot must have replaced the first record");
        // Restores the default retention: while the only daemon is down, nothing renews the
        // snapshot, so it could expire before the restarted daemon reads it.
        let default_faults = LogFaults::default();
        let _: Value =
            env.caller.post(env.fleet.log_addr, "/faults", &default_faults, 2_000).await.unwrap();
        env.kill(0);
        env.start_daemon(0);
        measure::calls::await_ready(&env.caller, &env.operators(), 1).await.unwrap();
        let job = coverage_job("coverage-check", &[20], &[20], 1);
        assert_eq!(env.submit(0, &env.ticket(0).await, &job).await.verdict, Verdict::Complete);
    });
}

#[test]
fn a_caller_chosen_key_runs_once_despite_two_daemons_and_a_lost_reply() {
    run_test(async {
        let env = TestEnv::start(&["bergamo", "sondrio"], 2, 2).await;
        let job = coverage_job("coverage-check", &[30; 3], &[30; 3], 1);
        let lossy = LogFaults { lose_reply_every: 1, ..LogFaults::default() };
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &lossy, 2_000).await.unwrap();
        let key = fresh_key("stamp");
        let (first, second) = futures_util::future::join(
            env.submit_with(0, key.clone(), &job),
            env.submit_with(1, key.clone(), &job),
        )
        .await;
        assert_eq!(first.verdict, Verdict::Complete, "{:?}", first.reason);
        assert_eq!(second.verdict, Verdict::Complete, "{:?}", second.reason);
        assert_eq!(first.ticket, second.ticket);
        let old = ("idempotency-key", "1000000000-old".to_owned());
        let answer = env.submit_with(0, old, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::KeyTooOld));
        assert_eq!(env.starts().await, (1, 3));
    });
}

#[test]
fn during_a_log_outage_tickets_run_and_keys_and_journalled_kinds_get_correct_answers() {
    run_test(async {
        let env = TestEnv::start(&["bergamo"], 2, 2).await;
        let down = LogFaults { down: true, ..LogFaults::default() };
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &down, 2_000).await.unwrap();
        let check = coverage_job("coverage-check", &[20; 2], &[20; 2], 1);
        let invoice = coverage_job("invoice", &[20; 2], &[20; 2], 2);
        assert_eq!(env.submit(1, &env.ticket(0).await, &check).await.verdict, Verdict::Complete);
        let ticket = env.ticket(0).await;
        let answer = env.submit(0, &ticket, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::LogOut));
        let answer = env.submit_with(0, fresh_key("x"), &check).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::LogOut));
        let up = LogFaults::default();
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &up, 2_000).await.unwrap();
        let answer = env.submit(1, &ticket, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::LogOut));
        assert_eq!(env.starts().await, (1, 2));
    });
}

#[test]
fn a_cut_off_zone_runs_its_own_tickets_and_cannot_forward_others() {
    run_test(async {
        let env = TestEnv::start(&["bergamo", "sondrio"], 2, 4).await;
        let remote_ticket = env.ticket(1).await;
        let mut cut: Vec<SocketAddr> = vec![env.fleet.daemons[1].peers, env.fleet.log_addr];
        let remote_workers = env.fleet.workers.iter().filter(|(_, zone)| zone == "sondrio");
        cut.extend(remote_workers.map(|(addr, _)| *addr));
        set_cut(&env, 0, &cut).await;
        let job = coverage_job("coverage-check", &[20; 4], &[20; 4], 1);
        let own = env.ticket(0).await;
        assert_eq!(env.submit(0, &own, &job).await.verdict, Verdict::Complete);
        let answer = env.submit(0, &remote_ticket, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::HomeUnreachable));
        set_cut(&env, 0, &[]).await;
        assert_eq!(env.submit(0, &remote_ticket, &job).await.verdict, Verdict::Complete);
        assert_eq!(env.starts().await, (1, 8));
    });
}

async fn set_cut(env: &TestEnv, index: usize, cut: &[SocketAddr]) {
    let call = httpedge::client::RawRequest {
        addr: env.fleet.daemons[index].operators,
        method: "POST",
        path: "/v1/faults",
        headers: &[],
        body: json!({ "cut": cut }).to_string().into_bytes(),
        timeout_ms: 2_000,
    };
    assert_eq!(env.caller.send_raw(call).await.unwrap().0, 200);
}

#[test]
fn a_cancel_through_another_daemon_stops_running_tasks() {
    run_test(async {
        let env = TestEnv::start(&["bergamo", "sondrio"], 2, 1).await;
        let ticket = env.ticket(0).await;
        let job = coverage_job("coverage-check", &[5_000; 12], &[5_000; 12], 1);
        let addr = env.callers(0);
        let header = ("ticket", ticket.clone());
        let interim = submit(&env.caller, addr, Some(header), &job, 200).await.unwrap();
        assert_eq!((interim.0, interim.1.unwrap().verdict), (202, Verdict::Running));
        let cancelled =
            request_by_ticket(&env.caller, env.callers(1), "DELETE", &ticket, 0).await.unwrap();
        let answer = cancelled.1.unwrap();
        assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::Cancelled));
        let stopped = answer.tasks.iter().filter(|end| **end == TaskEnd::Stopped).count();
        let not_started = answer.tasks.iter().filter(|end| **end == TaskEnd::NotStarted).count();
        assert_eq!((stopped, not_started), (8, 4));
        let unused = env.ticket(1).await;
        let answer =
            request_by_ticket(&env.caller, env.callers(0), "DELETE", &unused, 0).await.unwrap();
        assert_eq!(answer.1.unwrap().verdict, Verdict::NotRun);
        let answer = env.submit(1, &unused, &job).await;
        assert_eq!(answer.verdict, Verdict::NotRun, "a cancelled ticket must stay refused");
    });
}

#[test]
fn worker_faults_never_cause_a_second_start() {
    run_test(async {
        let env = TestEnv::start(&["bergamo"], 2, 6).await;
        let faults = [
            Faults { lose_answer: true, ..Faults::default() },
            Faults { lose_request: true, ..Faults::default() },
            Faults { refuse: true, ..Faults::default() },
            Faults { leaving: true, ..Faults::default() },
        ];
        for ((addr, _), fault) in env.fleet.workers.iter().zip(faults) {
            let _: Value = env.caller.post(*addr, "/faults", &fault, 2_000).await.unwrap();
        }
        let mut tasks = 0;
        for round in 0..6 {
            let job = coverage_job("coverage-check", &[20; 20], &[20; 20], round);
            let answer = env.submit(round as usize % 2, &env.ticket(0).await, &job).await;
            assert_eq!(answer.verdict, Verdict::Complete, "{:?}", answer.reason);
            assert!(has_valid_digests(&job, &answer));
            tasks += 20;
        }
        assert_eq!(env.starts().await, (1, tasks));
    });
}

#[test]
fn a_restarted_worker_leaves_its_previous_tasks_in_doubt() {
    run_test(async {
        let env = TestEnv::start(&["bergamo"], 1, 2).await;
        let job = coverage_job("coverage-check", &[60_000; 12], &[60_000; 12], 1);
        let (addr, header) = (env.callers(0), ("ticket", env.ticket(0).await));
        let interim = submit(&env.caller, addr, Some(header.clone()), &job, 300).await.unwrap();
        assert_eq!(interim.1.unwrap().verdict, Verdict::Running);
        let restarted = Faults { restart: true, ..Faults::default() };
        for (worker, _) in &env.fleet.workers {
            let _: Value = env.caller.post(*worker, "/faults", &restarted, 2_000).await.unwrap();
        }
        let answer = env.submit(0, &header.1, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::WorkerLost));
        assert!(answer.tasks.iter().all(|end| *end == TaskEnd::InDoubt));
        assert_eq!(env.starts().await, (1, 12));
    });
}
