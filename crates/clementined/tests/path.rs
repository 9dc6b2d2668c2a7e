//! The whole path through real daemons: resubmissions, drains, deaths and cuts.

mod support;

use std::net::SocketAddr;

use dispatch::answer::{Reason, TaskEnd, Verdict};
use measure::calls::{coverage_job, has_valid_digests, request_by_ticket, submit};
use platform::wire::KeptRecord;
use serde_json::{Value, json};
use standins::log::LogFaults;
use standins::worker::Faults;
use support::TestEnv;

/// A snapshot younger than this has most of the log's retention left, in milliseconds.
const FRESH_MS: u64 = 1_000;

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

fn now_key(name: &str) -> (&'static str, String) {
    ("idempotency-key", format!("{}-{name}", clementined::logging::unix_ms() / 1_000))
}

#[test]
fn a_job_is_answered_whole_and_a_resubmission_anywhere_gets_the_same_answer() {
    run(async {
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
fn bad_requests_and_refusals_start_nothing() {
    run(async {
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
fn a_drain_cuts_off_nothing_and_the_successor_answers_for_its_tickets() {
    run(async {
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
        assert_eq!(env.await_end(0).await, Some(0));
        for (ticket, job) in [(&done, &short), (&running, &long)] {
            let answer = env.submit(1, ticket, job).await;
            assert_eq!(answer.verdict, Verdict::Complete, "{:?}", answer.reason);
        }
        let answer = env.submit(2, &unused, &coverage_job("coverage-check", &[20], &[20], 3)).await;
        assert_eq!(answer.verdict, Verdict::Complete, "an unused ticket runs at the successor");
        assert_eq!(env.starts().await, (1, 9));
    });
}

#[test]
fn two_daemons_that_drain_at_once_lose_no_ticket() {
    run(async {
        let mut env = TestEnv::start(&["bergamo"], 3, 2).await;
        let job = coverage_job("coverage-check", &[20; 2], &[20; 2], 1);
        let tickets = [env.ticket(0).await, env.ticket(1).await];
        for (place, ticket) in tickets.iter().enumerate() {
            assert_eq!(env.submit(place, ticket, &job).await.verdict, Verdict::Complete);
        }
        env.terminate(0);
        env.terminate(1);
        assert_eq!(env.await_end(0).await, Some(0));
        assert_eq!(env.await_end(1).await, Some(0));
        for ticket in &tickets {
            assert_eq!(env.submit(2, ticket, &job).await.verdict, Verdict::Complete);
        }
        assert_eq!(env.starts().await, (1, 4));
    });
}

#[test]
fn a_dead_homes_tickets_are_proved_by_the_journal_and_by_the_workers() {
    run(async {
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
        assert_eq!((answer.verdict, answer.reason), silent, "a silent home may live");
        let answer = env.submit(1, &unused_invoice, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::Voided));
        let answer = env.submit(1, &used_invoice, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::MayHaveStarted));
        env.start_daemon(0);
        measure::calls::await_ready(&env.caller, &env.operators(), 1).await.unwrap();
        for place in [0, 1] {
            let answer = env.submit(place, &done, &check).await;
            assert_eq!(answer.verdict, Verdict::Complete, "{:?}", answer.reason);
            assert!(has_valid_digests(&check, &answer));
            let answer = env.submit(place, &unused, &check).await;
            let unknown = (Verdict::Unknown, Reason::HomeGone);
            assert_eq!((answer.verdict, answer.reason), unknown, "workers prove no 'not run'");
        }
        let answer = env.submit(1, &used_invoice, &invoice).await;
        assert_eq!(answer.verdict, Verdict::Complete, "the worker still has the answer");
        let answer =
            env.submit(1, &done, &coverage_job("coverage-check", &[9; 5], &[9; 5], 7)).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::OtherRequest));
        assert_eq!(env.starts().await, (1, 6));
    });
}

#[test]
fn a_ticket_voided_through_another_daemon_is_never_started_by_its_living_home() {
    run(async {
        let env = TestEnv::start(&["bergamo"], 2, 2).await;
        let (earlier, ticket) = (env.ticket(0).await, env.ticket(0).await);
        let invoice = coverage_job("invoice", &[20; 2], &[20; 2], 1);
        assert_eq!(env.submit(0, &earlier, &invoice).await.verdict, Verdict::Complete);
        set_cut(&env, 1, &[env.fleet.daemons[0].peers]).await;
        for place in [1, 0, 1] {
            let answer = env.submit(place, &ticket, &invoice).await;
            assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::Voided));
        }
        let answer = env.submit(1, &earlier, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::MayHaveStarted));
        assert_eq!(env.starts().await, (1, 2));
    });
}

#[test]
fn a_journal_proves_nothing_for_a_kind_that_lately_went_without_it() {
    run(async {
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
        assert_eq!(answer.verdict, Verdict::Unknown, "a start may have gone without a journal");
    });
}

#[test]
fn a_daemon_that_starts_while_the_log_is_out_takes_the_catalogue_from_a_peer() {
    run(async {
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
fn a_daemon_starts_from_a_snapshot_once_the_first_records_have_left_the_log() {
    run(async {
        let mut env = TestEnv::start(&["bergamo"], 1, 1).await;
        let faults = LogFaults { retention_ms: 3_000, ..LogFaults::default() };
        let _: Value =
            env.caller.post(env.fleet.log_addr, "/faults", &faults, 2_000).await.unwrap();
        let log = platform::client::LogClient::new(env.fleet.log_addr, env.caller.clone());
        let mut replaced = false;
        for _ in 0..200 {
            let page = log.read("catalogue", 0, 0).await.unwrap();
            // The first snapshot is as old as the first record: it may have milliseconds left.
            let is_fresh = |record: &KeptRecord| page.now_ms - record.at_ms < FRESH_MS;
            replaced = page.first_kept > 0 && page.records.iter().any(is_fresh);
            if replaced {
                break;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        assert!(replaced, "a snapshot must have replaced the first record");
        // The only daemon is away: nobody could renew the snapshot before it is read.
        let pinned = LogFaults::default();
        let _: Value =
            env.caller.post(env.fleet.log_addr, "/faults", &pinned, 2_000).await.unwrap();
        env.kill(0);
        env.start_daemon(0);
        measure::calls::await_ready(&env.caller, &env.operators(), 1).await.unwrap();
        let job = coverage_job("coverage-check", &[20], &[20], 1);
        assert_eq!(env.submit(0, &env.ticket(0).await, &job).await.verdict, Verdict::Complete);
    });
}

#[test]
fn a_bare_key_runs_once_through_two_daemons_and_a_lost_reply() {
    run(async {
        let env = TestEnv::start(&["bergamo", "sondrio"], 2, 2).await;
        let job = coverage_job("coverage-check", &[30; 3], &[30; 3], 1);
        let lossy = LogFaults { lose_reply_every: 1, ..LogFaults::default() };
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &lossy, 2_000).await.unwrap();
        let key = now_key("stamp");
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
fn while_the_log_is_out_tickets_run_and_keys_and_invoices_are_answered_truthfully() {
    run(async {
        let env = TestEnv::start(&["bergamo"], 2, 2).await;
        let down = LogFaults { down: true, ..LogFaults::default() };
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &down, 2_000).await.unwrap();
        let check = coverage_job("coverage-check", &[20; 2], &[20; 2], 1);
        let invoice = coverage_job("invoice", &[20; 2], &[20; 2], 2);
        assert_eq!(env.submit(1, &env.ticket(0).await, &check).await.verdict, Verdict::Complete);
        let ticket = env.ticket(0).await;
        let answer = env.submit(0, &ticket, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::LogOut));
        let answer = env.submit_with(0, now_key("x"), &check).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::LogOut));
        let up = LogFaults::default();
        let _: Value = env.caller.post(env.fleet.log_addr, "/faults", &up, 2_000).await.unwrap();
        let answer = env.submit(1, &ticket, &invoice).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::NotRun, Reason::LogOut));
        assert_eq!(env.starts().await, (1, 2));
    });
}

#[test]
fn a_cut_off_zone_serves_its_own_and_forwards_nothing() {
    run(async {
        let env = TestEnv::start(&["bergamo", "sondrio"], 2, 4).await;
        let far = env.ticket(1).await;
        let mut cut: Vec<SocketAddr> = vec![env.fleet.daemons[1].peers, env.fleet.log_addr];
        let far_workers = env.fleet.workers.iter().filter(|(_, zone)| zone == "sondrio");
        cut.extend(far_workers.map(|(addr, _)| *addr));
        set_cut(&env, 0, &cut).await;
        let job = coverage_job("coverage-check", &[20; 4], &[20; 4], 1);
        let own = env.ticket(0).await;
        assert_eq!(env.submit(0, &own, &job).await.verdict, Verdict::Complete);
        let answer = env.submit(0, &far, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Unknown, Reason::HomeUnreachable));
        set_cut(&env, 0, &[]).await;
        assert_eq!(env.submit(0, &far, &job).await.verdict, Verdict::Complete);
        assert_eq!(env.starts().await, (1, 8));
    });
}

async fn set_cut(env: &TestEnv, place: usize, cut: &[SocketAddr]) {
    let call = httpedge::client::RawCall {
        addr: env.fleet.daemons[place].operators,
        method: "POST",
        path: "/v1/faults",
        headers: &[],
        body: json!({ "cut": cut }).to_string().into_bytes(),
        timeout_ms: 2_000,
    };
    assert_eq!(env.caller.raw(call).await.unwrap().0, 200);
}

#[test]
fn a_cancel_through_another_daemon_stops_what_runs() {
    run(async {
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
        let never = answer.tasks.iter().filter(|end| **end == TaskEnd::NotStarted).count();
        assert_eq!((stopped, never), (8, 4));
        let unused = env.ticket(1).await;
        let answer =
            request_by_ticket(&env.caller, env.callers(0), "DELETE", &unused, 0).await.unwrap();
        assert_eq!(answer.1.unwrap().verdict, Verdict::NotRun);
        let answer = env.submit(1, &unused, &job).await;
        assert_eq!(answer.verdict, Verdict::NotRun, "a cancelled ticket stays refused");
    });
}

#[test]
fn worker_faults_never_start_a_task_twice() {
    run(async {
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
fn a_worker_that_was_replaced_proves_nothing_for_a_lost_start() {
    run(async {
        let env = TestEnv::start(&["bergamo"], 1, 2).await;
        let job = coverage_job("coverage-check", &[60_000; 12], &[60_000; 12], 1);
        let (addr, header) = (env.callers(0), ("ticket", env.ticket(0).await));
        let interim = submit(&env.caller, addr, Some(header.clone()), &job, 300).await.unwrap();
        assert_eq!(interim.1.unwrap().verdict, Verdict::Running);
        let replaced = Faults { restart: true, ..Faults::default() };
        for (worker, _) in &env.fleet.workers {
            let _: Value = env.caller.post(*worker, "/faults", &replaced, 2_000).await.unwrap();
        }
        let answer = env.submit(0, &header.1, &job).await;
        assert_eq!((answer.verdict, answer.reason), (Verdict::Failed, Reason::WorkerLost));
        assert!(answer.tasks.iter().all(|end| *end == TaskEnd::InDoubt));
        assert_eq!(env.starts().await, (1, 12));
    });
}
