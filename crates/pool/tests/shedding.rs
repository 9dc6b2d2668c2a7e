//! Tests of the choice of the work that is refused when a cell cannot serve its queue in time.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::call::{PollReply, Report};
use pool::catalogue::Terms;
use pool::job::{Outcome, PreviousOwner, Reason};
use pool::pool::{Action, Pool, Submission};
use pool::shedding::{QueuedJob, RouteDemand, RouteWeight, Verdict, decide, value};
use pool::tokens::first_token;
use support::{entry, job, terms};

const NOW: Millis = Millis(10_000);

/// A waiting job of one task of 100 ms that has to start within 200 ms.
fn queued(number: u64) -> QueuedJob {
    QueuedJob {
        number,
        latest_start: NOW.plus(200),
        tasks: 1,
        task_ms: 100,
        work: 1_000,
        priority: 0,
        route: RouteWeight { mean_work: 1_000.0, weight: 1.0, is_flood: false },
        is_started: false,
        is_arriving: false,
    }
}

fn arriving() -> QueuedJob {
    QueuedJob { is_arriving: true, ..queued(99) }
}

#[test]
fn value_grows_with_the_work_up_to_a_limit() {
    for (work, expected) in [(0.0, 0.3), (1_000.0, 1.0), (2_000.0, 1.7), (9_000.0, 4.0)] {
        assert!((value(work, 1_000.0) - expected).abs() < 1e-9, "work of {work}");
    }
}

/// Guards against the displacement of jobs whose loss costs more than that of the arriving one, and
/// of jobs of which a task may run.
#[test]
fn the_job_whose_loss_costs_least_goes() {
    let less_urgent = QueuedJob { priority: 1, latest_start: NOW.plus(400), ..queued(1) };
    let flooding = QueuedJob { route: RouteWeight { weight: 0.1, ..queued(1).route }, ..queued(1) };
    let wider = QueuedJob { work: 3_000, ..queued(1) };
    let started = QueuedJob { is_started: true, ..flooding.clone() };
    let cases = [
        ("less urgent", less_urgent.clone(), Verdict::Displace(vec![1])),
        ("of a route that floods the cell", flooding, Verdict::Displace(vec![1])),
        ("with more work for its value", wider, Verdict::Displace(vec![1])),
        ("started", started, Verdict::Refuse),
    ];
    for (name, waiting, expected) in cases {
        // One slot becomes free after 100 ms, so that the second job would start after 200 ms.
        assert_eq!(decide(vec![waiting, arriving()], &[100], NOW), expected, "{name}");
    }
    let cheap_arrival = QueuedJob { priority: 2, latest_start: NOW.plus(500), ..arriving() };
    assert_eq!(decide(vec![queued(1), cheap_arrival], &[100], NOW), Verdict::Refuse);
}

/// Guards against displacing jobs that go after the late one and so cannot help it, and against
/// displacing any while all can be served.
#[test]
fn only_jobs_up_to_the_late_one_are_displaced() {
    let later = QueuedJob { priority: 1, latest_start: NOW.plus(5_000), ..queued(2) };
    let verdict = decide(vec![queued(1), later.clone(), arriving()], &[100], NOW);
    assert_ne!(verdict, Verdict::Displace(vec![2]));
    assert_eq!(decide(vec![later, arriving()], &[100], NOW), Verdict::Displace(Vec::new()));
    assert_eq!(decide(vec![arriving()], &[], NOW), Verdict::Refuse, "nothing becomes free");
}

/// Guards against a decision whose cost grows with the square of the queue.
#[test]
fn number_of_displaced_jobs_is_bounded() {
    let route = RouteWeight { weight: 0.1, ..queued(1).route };
    let waiting: Vec<_> = (0..300).map(|at| QueuedJob { route, ..queued(at) }).collect();
    let Verdict::Displace(victims) = decide(waiting.clone(), &[100], NOW) else { panic!() };
    assert_eq!(victims.len(), 8);
    let all = waiting.into_iter().chain([arriving()]).collect();
    assert_eq!(decide(all, &[100], NOW), Verdict::Refuse);
}

/// Guards against a flood of one route that takes the capacity of routes within their share, and
/// against the starvation of a route that is refused more often than the others.
#[test]
fn weights_favour_routes_within_their_share_and_those_served_less() {
    let weights = |offered: [(&str, u64, u64); 3]| {
        let mut demand = RouteDemand::default();
        for (route, jobs, admitted) in offered {
            for at in 0..jobs {
                demand.record(&Rc::from(route), 3_000, at < admitted, NOW);
            }
        }
        // 3,000 ms of one millicore are the work of one job; 30 jobs fit into the cell.
        let weights = demand.weights(30.0, NOW);
        offered.map(|(route, ..)| weights[route].weight)
    };
    let [a, b, flood] = weights([("a", 8, 8), ("b", 10, 10), ("c", 120, 40)]);
    assert!(a > flood && b > flood, "{a}, {b}, flood {flood}");
    let [a, b, starved] = weights([("a", 10, 10), ("b", 10, 10), ("c", 20, 5)]);
    assert!(starved > 2.0 * a && starved > 2.0 * b, "{a}, {b}, starved {starved}");
}

fn submission(id: u64, route: &str, priority: u32, cores: u64, task_ms: u64) -> Submission {
    Submission {
        spec: job(&format!("{id:016x}"), 1, cores, task_ms),
        terms: Terms { priority, ..terms(route, if priority == 0 { 280 } else { 390 }, 2) },
        age_ms: 0,
        limit_ms: 1_500,
        previous_owner: PreviousOwner::None,
        may_wait: true,
        is_remote: false,
    }
}

/// A pool with one worker of 64 cores that has replied to a poll.
fn pool() -> Pool {
    let mut pool = Pool::new(first_token(7));
    let (id, entry): (Rc<str>, _) = (Rc::from("0"), entry(0, 64));
    pool.set_workers(NOW, [(&id, &entry)].into_iter());
    let report = Report { clock_ms: 5_000, started_at_ms: Some(1), ..Report::default() };
    pool.poll_reply(NOW, "0", NOW, &PollReply::Report(report));
    pool.take_actions();
    pool
}

fn displaced(actions: &[Action]) -> Vec<String> {
    let by_arrival = |action: &Action| match action {
        Action::ReportDisplaced(displaced) => {
            Some(format!("{} by {}", displaced.job, displaced.by.as_deref().unwrap_or("-")))
        }
        _ => None,
    };
    actions.iter().filter_map(by_arrival).collect()
}

/// Guards against an urgent job that is refused while a less urgent one, of which nothing has
/// started, takes the next free worker; and against the displacement of a started job.
#[test]
fn waiting_job_is_displaced_and_answered_as_not_run() {
    let mut pool = pool();
    pool.submit(NOW, submission(1, "long", 2, 40, 200));
    let waiting = pool.submit(NOW, submission(2, "common", 1, 40, 200));
    let started = pool.take_actions();
    assert!(matches!(started[..], [Action::Start(..)]), "{started:?}");
    // Both can start in time only if the less urgent one goes second, which its objective forbids.
    pool.submit(NOW.plus(60), submission(3, "short", 0, 40, 300));
    let actions = pool.take_actions();
    assert_eq!(displaced(&actions), ["0000000000000002 by 0000000000000003"], "{actions:?}");
    let is_answer = |action: &Action| match action {
        Action::Answer(number, Outcome::NotRun { reason: Reason::Overload, retry_after_ms }) => {
            *number == waiting && *retry_after_ms >= 200
        }
        _ => false,
    };
    assert_eq!(actions.iter().filter(|action| is_answer(action)).count(), 1, "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Stop(..))), "{actions:?}");
    pool.advance(NOW.plus(2_000));
    let again = pool.take_actions();
    assert!(!again.iter().any(is_answer), "answered once: {again:?}");
}

/// Guards against the refusal of a job that fits on free workers while a larger one waits.
#[test]
fn job_that_fits_now_starts_while_a_larger_one_waits() {
    let mut pool = pool();
    pool.submit(NOW, submission(1, "long", 2, 40, 200));
    pool.submit(NOW, submission(2, "common", 1, 40, 200));
    pool.take_actions();
    pool.submit(NOW, submission(3, "long", 2, 20, 200));
    let actions = pool.take_actions();
    assert!(matches!(actions[..], [Action::Start(..)]), "{actions:?}");
}
