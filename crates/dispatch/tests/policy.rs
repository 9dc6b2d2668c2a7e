//! Tests of worker selection, admission and slot transfer on one engine in virtual time. They
//! assert on counts only, so every run gives the same result.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::answer::{Reason, Verdict};
use dispatch::catalogue::{CatalogueRecord, Change, Edit, Fold, Item, KindSpec, TeamSpec};
use dispatch::clock::Millis;
use dispatch::engine::{Action, Engine, EngineBuilder, Event, Hint, StartOutcome};
use dispatch::jobs::{JobRequest, Submission, TaskSpec};
use dispatch::shares::{PeerLoad, SlotRequest};
use dispatch::ticket::{Incarnation, TaskId};
use dispatch::workers::{Needs, WorkerInfo};

const SLOTS: u32 = 4;

/// An engine together with the actions it emitted; the test supplies the workers' replies.
struct Harness {
    engine: Engine,
    now: Millis,
    next_request: u64,
    starts: Vec<(TaskId, u64, SocketAddr)>,
    replies: HashMap<u64, (Verdict, Reason)>,
    other_actions: Vec<Action>,
}

fn addr(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 8_000 + index as u16).into()
}

fn catalogue() -> Rc<Fold> {
    let kind = |owner: &str| {
        let text = format!(r#"{{"owner": "{owner}", "idempotent": true, "max_wait_ms": 2000}}"#);
        Item::Kind(serde_json::from_str::<KindSpec>(&text).unwrap())
    };
    let entries = [
        ("check", kind("a")),
        ("other", kind("b")),
        ("b", Item::Team(TeamSpec { share: 1, max_queued_tasks: 50 })),
    ];
    let change = |(name, item): (&str, Item)| {
        let name = name.to_owned();
        Change { name, base: None, item: Some(item) }
    };
    let changes = entries.into_iter().map(change).collect();
    let mut state = Fold::default();
    let edit = Edit { id: "seed".into(), by: "test".into(), changes };
    state.apply(0, Millis(0), &CatalogueRecord::Edit(edit));
    Rc::new(state)
}

impl Harness {
    fn new(workers: usize) -> Self {
        let mut engine = EngineBuilder::new(Incarnation(1), "zone").seed(3).build();
        engine.set_catalogue(catalogue());
        let mut harness = Self {
            engine,
            now: Millis(1_000_000),
            next_request: 1,
            starts: Vec::new(),
            replies: HashMap::new(),
            other_actions: Vec::new(),
        };
        harness.set_workers(workers, None);
        harness
    }

    fn set_workers(&mut self, workers: usize, leaving: Option<usize>) {
        let info = |index| WorkerInfo {
            addr: addr(index),
            zone: "zone".into(),
            slots: SLOTS,
            size: Needs { cores: 8, memory_mb: 1_000, accelerators: 0 },
            leaving: leaving == Some(index),
        };
        self.handle(Event::Workers((0..workers).map(info).collect()));
        self.report_boot_ids();
    }

    fn report_boot_ids(&mut self) {
        for worker in self.engine.strange_workers() {
            self.handle(Event::BootId { worker, boot: 1 });
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.engine.handle(self.now, event) {
            match action {
                Action::Start { task, attempt, worker, .. } => {
                    self.starts.push((task, attempt, worker));
                }
                Action::Reply { request, answer } => {
                    self.replies.insert(request, (answer.verdict, answer.reason));
                }
                other => self.other_actions.push(other),
            }
        }
    }

    fn submit(&mut self, kind: &str, tasks: usize, needs: Needs) -> u64 {
        let expiry_ms = self.now.plus(600_000);
        let job = self.engine.issue(expiry_ms);
        let request = self.next_request;
        self.next_request += 1;
        let spec = TaskSpec { input: String::new(), declared_ms: Some(100), needs };
        let work = Rc::new(JobRequest { kind: kind.into(), tasks: vec![spec; tasks] });
        let submission = Submission { request, job, expiry_ms, digest: request, work };
        self.handle(Event::Submit(submission));
        request
    }

    fn end_task(&mut self, index: usize, end: StartOutcome, hint: Option<Hint>) {
        let (task, attempt, _) = self.starts.remove(index);
        self.handle(Event::TaskOutcome { task, attempt, end, hint });
    }

    fn advance(&mut self, span_ms: u64) {
        self.now = self.now.plus(span_ms);
        self.handle(Event::Tick);
    }

    /// Ends all running tasks: those on `failing` fail, the others succeed. Returns the number of
    /// failed tasks.
    fn end_all_tasks(&mut self, failing: Option<SocketAddr>) -> usize {
        let mut on_worker = 0;
        while !self.starts.is_empty() {
            let fails = Some(self.starts[0].2) == failing;
            on_worker += usize::from(fails);
            let end = if fails {
                StartOutcome::Failed { detail: "bad".into(), run_ms: 1 }
            } else {
                done(100)
            };
            self.end_task(0, end, None);
        }
        on_worker
    }
}

fn done(run_ms: u64) -> StartOutcome {
    StartOutcome::Done { output: String::new(), digest: String::new(), run_ms }
}

#[test]
fn tasks_start_only_on_free_slots_and_the_rest_wait() {
    let mut harness = Harness::new(3);
    harness.submit("check", 20, Needs::default());
    assert_eq!(harness.starts.len(), 12);
    for index in 0..3 {
        let on_worker =
            harness.starts.iter().filter(|(_, _, worker)| *worker == addr(index)).count();
        assert_eq!(on_worker, SLOTS as usize);
    }
    harness.end_task(0, done(100), None);
    assert_eq!(harness.starts.len(), 12);
}

/// A worker that fails every task at once has free slots all the time and would attract most of
/// the work if it were not ejected.
#[test]
fn a_worker_that_fails_every_task_receives_almost_no_work() {
    let mut harness = Harness::new(12);
    let (mut on_worker, mut all) = (0, 0);
    for _ in 0..60 {
        for _ in 0..10 {
            harness.submit("check", 1, Needs::default());
        }
        all += harness.starts.len();
        on_worker += harness.end_all_tasks(Some(addr(0)));
        harness.advance(100);
    }
    assert_eq!(all, 600);
    assert!(on_worker <= 6, "{on_worker} of {all} starts went to the failing worker");
}

#[test]
fn a_kind_that_always_fails_ejects_no_worker() {
    let mut harness = Harness::new(6);
    for _ in 0..40 {
        harness.submit("check", 6, Needs::default());
        harness.submit("other", 2, Needs::default());
        while let Some((task, ..)) = harness.starts.first().copied() {
            let fails = task.job.seq % 2 == 0;
            let failed = StartOutcome::Failed { detail: "bad input".into(), run_ms: 1 };
            harness.end_task(0, if fails { failed } else { done(100) }, None);
        }
        harness.advance(50);
    }
    assert_eq!(harness.engine.counters().set_aside, 0);
}

#[test]
fn a_leaving_worker_gets_no_tasks_whether_the_list_or_a_reply_says_so() {
    let mut harness = Harness::new(2);
    harness.set_workers(2, Some(0));
    harness.submit("check", 8, Needs::default());
    assert!(harness.starts.iter().all(|(_, _, worker)| *worker == addr(1)));
    harness.set_workers(2, None);
    let hint = Some(Hint { free: 4, leaving: true, boot: 1 });
    harness.end_task(0, done(100), hint);
    harness.starts.clear();
    harness.submit("check", 4, Needs::default());
    assert!(harness.starts.iter().all(|(_, _, worker)| *worker == addr(0)), "{:?}", harness.starts);
}

#[test]
fn the_index_of_a_removed_worker_is_reused() {
    let mut harness = Harness::new(2);
    for round in 0..50 {
        let info = |index: usize| WorkerInfo {
            addr: addr(index),
            zone: "zone".into(),
            slots: SLOTS,
            size: Needs { cores: 8, memory_mb: 1_000, accelerators: 0 },
            leaving: false,
        };
        harness.handle(Event::Workers(vec![info(0), info(100 + round)]));
        harness.report_boot_ids();
        harness.submit("check", 8, Needs::default());
        let new = harness.starts.iter().filter(|(_, _, worker)| *worker == addr(100 + round));
        assert_eq!(new.count(), SLOTS as usize, "round {round}");
        harness.end_all_tasks(None);
    }
    assert_eq!(
        harness.engine.worker_addrs().len(),
        2,
        "50 replaced workers must not leave entries behind"
    );
}

#[test]
fn a_job_too_large_for_every_worker_is_refused_at_once() {
    let mut harness = Harness::new(2);
    let needs = [
        Needs { cores: 9, ..Needs::default() },
        Needs { memory_mb: 1_001, ..Needs::default() },
        Needs { accelerators: 1, ..Needs::default() },
    ];
    for needs in needs {
        let request = harness.submit("check", 1, needs);
        assert_eq!(harness.replies[&request], (Verdict::NotRun, Reason::Impossible));
    }
    assert!(harness.starts.is_empty());
}

#[test]
fn the_only_worker_with_an_accelerator_is_found_among_many() {
    let mut harness = Harness::new(0);
    let info = |index: usize| WorkerInfo {
        addr: addr(index),
        zone: "zone".into(),
        slots: SLOTS,
        size: Needs { cores: 8, memory_mb: 1_000, accelerators: u32::from(index == 199) },
        leaving: false,
    };
    harness.handle(Event::Workers((0..200).map(info).collect()));
    harness.report_boot_ids();
    let needs = Needs { accelerators: 1, ..Needs::default() };
    harness.submit("check", 2, needs);
    assert_eq!(harness.starts.len(), 2);
    assert!(harness.starts.iter().all(|(_, _, worker)| *worker == addr(199)));
}

#[test]
fn requests_beyond_the_admission_limit_are_refused_at_once() {
    let mut harness = Harness::new(1);
    let mut refused = 0;
    for _ in 0..200 {
        let request = harness.submit("check", 1, Needs::default());
        let over = (Verdict::NotRun, Reason::Overloaded);
        refused += usize::from(harness.replies.get(&request) == Some(&over));
    }
    // Requests are accepted up to an expected wait of 60% of 2000 ms: at 100 ms per task, 4 slots
    // allow 48 waiting tasks in addition to the 4 running ones.
    assert!((145..=150).contains(&refused), "{refused}");
    harness.advance(3_000);
    harness.advance(200);
    let late = harness.replies.values().filter(|r| r.1 == Reason::WaitedTooLong).count();
    assert_eq!(late + refused + harness.starts.len(), 200);
}

#[test]
fn a_flooding_owner_is_limited_and_others_are_served() {
    let mut harness = Harness::new(1);
    for _ in 0..100 {
        harness.submit("other", 1, Needs::default());
    }
    let refused = harness.replies.values().filter(|r| r.0 == Verdict::NotRun).count();
    assert!(refused >= 46, "{refused}");
    let request = harness.submit("check", 1, Needs::default());
    assert!(!harness.replies.contains_key(&request), "the other owner's request must be accepted");
    let served = (0..3).any(|_| {
        harness.end_task(0, done(100), None);
        harness.starts.iter().any(|(task, ..)| task.job.seq == 100)
    });
    assert!(served, "the other owner's task must be among the next");
}

#[test]
fn cancelling_a_job_sends_one_stop_message_per_worker() {
    let mut harness = Harness::new(3);
    let request = harness.submit("check", 30, Needs::default());
    let job = harness.starts[0].0.job;
    let expiry_ms = harness.now.plus(600_000);
    harness.handle(Event::Cancel { request: 900, job, expiry_ms });
    let stops = harness.other_actions.iter().filter(|a| matches!(a, Action::Stop { .. })).count();
    assert_eq!(stops, 3);
    while !harness.starts.is_empty() {
        harness.end_task(0, StartOutcome::Stopped, None);
    }
    for request in [request, 900] {
        assert_eq!(harness.replies[&request], (Verdict::Failed, Reason::Cancelled));
    }
}

#[test]
fn unreachable_workers_cause_no_retry_storm() {
    let mut harness = Harness::new(4);
    harness.submit("check", 16, Needs::default());
    let mut attempts = 0;
    for _ in 0..200 {
        while !harness.starts.is_empty() {
            attempts += 1;
            harness.end_task(0, StartOutcome::NoConnection, None);
        }
        harness.advance(10);
    }
    // The initial budget allows 50 retries. After that, each of the 16 tasks is retried at most
    // once in 100 ms, and each of the 4 workers is tried at most once in 500 ms with its 4 slots.
    assert!(attempts <= 50 + 16 + 4 * 4 * 4, "{attempts} attempts in two seconds");
}

#[test]
fn a_slow_worker_gets_fewer_tasks_while_others_are_free() {
    let mut harness = Harness::new(4);
    let mut late = 0;
    for round in 0..80 {
        harness.submit("check", 4, Needs::default());
        while let Some((_, _, worker)) = harness.starts.first().copied() {
            let slow = worker == addr(0);
            late += usize::from(slow && round >= 40);
            harness.end_task(0, done(if slow { 500 } else { 100 }), None);
        }
        harness.advance(20);
    }
    assert!(late <= 4, "{late} of 160 late starts went to the slow worker");
}

#[test]
fn a_large_job_requests_slots_before_its_first_task_is_due() {
    let mut harness = Harness::new(2);
    let peer = Incarnation(2);
    let load = PeerLoad { zone: "zone".into(), idle: 8, queued: 0 };
    harness.handle(Event::PeerLoad { peer, load });
    harness.submit("check", 100, Needs::default());
    let requests =
        harness.other_actions.iter().filter(|action| matches!(action, Action::RequestSlots(..)));
    assert_eq!(requests.count(), 1);
}

#[test]
fn only_idle_slots_are_granted_to_a_requesting_peer() {
    let mut harness = Harness::new(2);
    let peer = Incarnation(2);
    let load = PeerLoad { zone: "zone".into(), idle: 0, queued: 3 };
    harness.handle(Event::PeerLoad { peer, load });
    let request = SlotRequest { want: 3, waited_ms: 10 };
    harness.handle(Event::SlotRequest { peer, request: request.clone() });
    let granted: u32 = harness.other_actions.iter().map(granted_slots).sum();
    assert_eq!(granted, 3 + (8 - 3) / 2);
    harness.submit("check", 9, Needs::default());
    assert_eq!(harness.starts.len(), 8 - granted as usize);
    harness.other_actions.clear();
    harness.handle(Event::SlotRequest { peer, request });
    let granted: u32 = harness.other_actions.iter().map(granted_slots).sum();
    assert_eq!(granted, 0, "a daemon with waiting tasks of the same age gives nothing");
}

fn granted_slots(action: &Action) -> u32 {
    match action {
        Action::GrantSlots(_, grant) => grant.slots.iter().map(|(_, slots)| slots).sum(),
        _ => 0,
    }
}
