//! Choosing an upstream and holding load, in virtual time: counts only, the same on every run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::answer::{Reason, Verdict};
use dispatch::catalogue::{CatalogueRecord, Change, Edit, Fold, Item, KindSpec, TeamSpec};
use dispatch::clock::Millis;
use dispatch::engine::{Action, Engine, EngineBuilder, Event, Hint, StartEnd};
use dispatch::jobs::{JobRequest, Submission, TaskSpec};
use dispatch::shares::{PeerLoad, SlotAsk};
use dispatch::ticket::{Incarnation, TaskId};
use dispatch::workers::{Needs, WorkerInfo};

const SLOTS: u32 = 4;

/// One engine with workers whose replies the test writes.
struct Bench {
    engine: Engine,
    now: Millis,
    next: u64,
    starts: Vec<(TaskId, u64, SocketAddr)>,
    replies: HashMap<u64, (Verdict, Reason)>,
    others: Vec<Action>,
}

fn addr(place: usize) -> SocketAddr {
    ([127, 0, 0, 1], 8_000 + place as u16).into()
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
    let mut fold = Fold::default();
    let edit = Edit { id: "seed".into(), by: "test".into(), changes };
    fold.apply(0, Millis(0), &CatalogueRecord::Edit(edit));
    Rc::new(fold)
}

impl Bench {
    fn new(workers: usize) -> Self {
        let mut engine = EngineBuilder::new(Incarnation(1), "zone").seed(3).build();
        engine.set_catalogue(catalogue());
        let mut bench = Self {
            engine,
            now: Millis(1_000_000),
            next: 1,
            starts: Vec::new(),
            replies: HashMap::new(),
            others: Vec::new(),
        };
        bench.list(workers, None);
        bench
    }

    fn list(&mut self, workers: usize, leaving: Option<usize>) {
        let info = |place| WorkerInfo {
            addr: addr(place),
            zone: "zone".into(),
            slots: SLOTS,
            size: Needs { cores: 8, memory_mb: 1_000, accelerators: 0 },
            leaving: leaving == Some(place),
        };
        self.drive(Event::Workers((0..workers).map(info).collect()));
        self.greet();
    }

    fn greet(&mut self) {
        for worker in self.engine.unidentified_workers() {
            self.drive(Event::Boot { worker, boot: 1 });
        }
    }

    fn drive(&mut self, event: Event) {
        for action in self.engine.handle(self.now, event) {
            match action {
                Action::Start { task, attempt, worker, .. } => {
                    self.starts.push((task, attempt, worker));
                }
                Action::Reply { request, answer } => {
                    self.replies.insert(request, (answer.verdict, answer.reason));
                }
                other => self.others.push(other),
            }
        }
    }

    fn submit(&mut self, kind: &str, tasks: usize, needs: Needs) -> u64 {
        let expiry_ms = self.now.plus(600_000);
        let job = self.engine.issue(expiry_ms);
        let request = self.next;
        self.next += 1;
        let spec = TaskSpec { input: String::new(), declared_ms: Some(100), needs };
        let work = Rc::new(JobRequest { kind: kind.into(), tasks: vec![spec; tasks] });
        let submission = Submission { request, job, expiry_ms, digest: request, work };
        self.drive(Event::Submit(submission));
        request
    }

    fn end(&mut self, place: usize, end: StartEnd, hint: Option<Hint>) {
        let (task, attempt, _) = self.starts.remove(place);
        self.drive(Event::Ended { task, attempt, end, hint });
    }

    fn pass(&mut self, span_ms: u64) {
        self.now = self.now.plus(span_ms);
        self.drive(Event::Tick);
    }

    /// Ends every start; those on the given worker fail, and gives how many went there.
    fn end_all(&mut self, failing: Option<SocketAddr>) -> usize {
        let mut there = 0;
        while !self.starts.is_empty() {
            let bad = Some(self.starts[0].2) == failing;
            there += usize::from(bad);
            let end =
                if bad { StartEnd::Failed { detail: "bad".into(), run_ms: 1 } } else { done(100) };
            self.end(0, end, None);
        }
        there
    }
}

fn done(run_ms: u64) -> StartEnd {
    StartEnd::Done { output: String::new(), digest: String::new(), run_ms }
}

#[test]
fn starts_go_into_free_slots_only_and_the_rest_waits() {
    let mut bench = Bench::new(3);
    bench.submit("check", 20, Needs::default());
    assert_eq!(bench.starts.len(), 12);
    for place in 0..3 {
        let there = bench.starts.iter().filter(|(_, _, worker)| *worker == addr(place)).count();
        assert_eq!(there, SLOTS as usize);
    }
    bench.end(0, done(100), None);
    assert_eq!(bench.starts.len(), 12);
}

#[test]
fn a_worker_that_fails_all_draws_almost_nothing() {
    let mut bench = Bench::new(12);
    let (mut there, mut all) = (0, 0);
    for _ in 0..60 {
        for _ in 0..10 {
            bench.submit("check", 1, Needs::default());
        }
        all += bench.starts.len();
        there += bench.end_all(Some(addr(0)));
        bench.pass(100);
    }
    assert_eq!(all, 600);
    assert!(there <= 6, "{there} of {all} starts went to the failing worker");
}

#[test]
fn a_kind_that_always_fails_sets_no_worker_aside() {
    let mut bench = Bench::new(6);
    for _ in 0..40 {
        bench.submit("check", 6, Needs::default());
        bench.submit("other", 2, Needs::default());
        while let Some((task, ..)) = bench.starts.first().copied() {
            let bad = task.job.seq % 2 == 0;
            let failed = StartEnd::Failed { detail: "bad input".into(), run_ms: 1 };
            bench.end(0, if bad { failed } else { done(100) }, None);
        }
        bench.pass(50);
    }
    assert_eq!(bench.engine.counters().set_aside, 0);
}

#[test]
fn a_leaving_worker_gets_nothing_by_the_list_or_by_its_own_word() {
    let mut bench = Bench::new(2);
    bench.list(2, Some(0));
    bench.submit("check", 8, Needs::default());
    assert!(bench.starts.iter().all(|(_, _, worker)| *worker == addr(1)));
    bench.list(2, None);
    let hint = Some(Hint { free: 4, leaving: true, boot: 1 });
    bench.end(0, done(100), hint);
    bench.starts.clear();
    bench.submit("check", 4, Needs::default());
    assert!(bench.starts.iter().all(|(_, _, worker)| *worker == addr(0)), "{:?}", bench.starts);
}

#[test]
fn the_place_of_a_worker_that_is_gone_is_used_again() {
    let mut bench = Bench::new(2);
    for round in 0..50 {
        let info = |place: usize| WorkerInfo {
            addr: addr(place),
            zone: "zone".into(),
            slots: SLOTS,
            size: Needs { cores: 8, memory_mb: 1_000, accelerators: 0 },
            leaving: false,
        };
        bench.drive(Event::Workers(vec![info(0), info(100 + round)]));
        bench.greet();
        bench.submit("check", 8, Needs::default());
        let new = bench.starts.iter().filter(|(_, _, worker)| *worker == addr(100 + round));
        assert_eq!(new.count(), SLOTS as usize, "round {round}");
        bench.end_all(None);
    }
    assert_eq!(bench.engine.worker_addrs().len(), 2, "50 workers came and went in one place");
}

#[test]
fn a_job_that_no_worker_can_hold_is_refused_at_once() {
    let mut bench = Bench::new(2);
    let needs = [
        Needs { cores: 9, ..Needs::default() },
        Needs { memory_mb: 1_001, ..Needs::default() },
        Needs { accelerators: 1, ..Needs::default() },
    ];
    for needs in needs {
        let request = bench.submit("check", 1, needs);
        assert_eq!(bench.replies[&request], (Verdict::NotRun, Reason::Impossible));
    }
    assert!(bench.starts.is_empty());
}

#[test]
fn a_scarce_worker_is_found_behind_many_others() {
    let mut bench = Bench::new(0);
    let info = |place: usize| WorkerInfo {
        addr: addr(place),
        zone: "zone".into(),
        slots: SLOTS,
        size: Needs { cores: 8, memory_mb: 1_000, accelerators: u32::from(place == 199) },
        leaving: false,
    };
    bench.drive(Event::Workers((0..200).map(info).collect()));
    bench.greet();
    let needs = Needs { accelerators: 1, ..Needs::default() };
    bench.submit("check", 2, needs);
    assert_eq!(bench.starts.len(), 2);
    assert!(bench.starts.iter().all(|(_, _, worker)| *worker == addr(199)));
}

#[test]
fn past_its_bound_a_request_is_refused_at_once_and_truthfully() {
    let mut bench = Bench::new(1);
    let mut refused = 0;
    for _ in 0..200 {
        let request = bench.submit("check", 1, Needs::default());
        let over = (Verdict::NotRun, Reason::Overloaded);
        refused += usize::from(bench.replies.get(&request) == Some(&over));
    }
    // 60% of 2000 ms on 4 slots at 100 ms a task is 48 waiting tasks beside the 4 that run.
    assert!((145..=150).contains(&refused), "{refused}");
    bench.pass(3_000);
    bench.pass(200);
    let late = bench.replies.values().filter(|r| r.1 == Reason::WaitedTooLong).count();
    assert_eq!(late + refused + bench.starts.len(), 200);
}

#[test]
fn a_flooding_owner_is_bounded_and_others_are_served() {
    let mut bench = Bench::new(1);
    for _ in 0..100 {
        bench.submit("other", 1, Needs::default());
    }
    let refused = bench.replies.values().filter(|r| r.0 == Verdict::NotRun).count();
    assert!(refused >= 46, "{refused}");
    let request = bench.submit("check", 1, Needs::default());
    assert!(!bench.replies.contains_key(&request), "the other owner is accepted");
    let served = (0..3).any(|_| {
        bench.end(0, done(100), None);
        bench.starts.iter().any(|(task, ..)| task.job.seq == 100)
    });
    assert!(served, "the other owner's task must be among the next");
}

#[test]
fn a_cancel_wave_costs_one_message_a_worker() {
    let mut bench = Bench::new(3);
    let request = bench.submit("check", 30, Needs::default());
    let job = bench.starts[0].0.job;
    let expiry_ms = bench.now.plus(600_000);
    bench.drive(Event::Cancel { request: 900, job, expiry_ms });
    let stops = bench.others.iter().filter(|a| matches!(a, Action::Stop { .. })).count();
    assert_eq!(stops, 3);
    while !bench.starts.is_empty() {
        bench.end(0, StartEnd::Stopped, None);
    }
    for request in [request, 900] {
        assert_eq!(bench.replies[&request], (Verdict::Failed, Reason::Cancelled));
    }
}

#[test]
fn a_bad_hour_brings_no_storm_of_retries() {
    let mut bench = Bench::new(4);
    bench.submit("check", 16, Needs::default());
    let mut attempts = 0;
    for _ in 0..200 {
        while !bench.starts.is_empty() {
            attempts += 1;
            bench.end(0, StartEnd::NoConnection, None);
        }
        bench.pass(10);
    }
    // 50 tokens at first; then each of 16 tasks may try once in 100 ms, and each worker once in
    // 500 ms with its 4 slots.
    assert!(attempts <= 50 + 16 + 4 * 4 * 4, "{attempts} attempts in two seconds");
}

#[test]
fn a_slow_worker_gets_less_while_others_are_free() {
    let mut bench = Bench::new(4);
    let mut late = 0;
    for round in 0..80 {
        bench.submit("check", 4, Needs::default());
        while let Some((_, _, worker)) = bench.starts.first().copied() {
            let slow = worker == addr(0);
            late += usize::from(slow && round >= 40);
            bench.end(0, done(if slow { 500 } else { 100 }), None);
        }
        bench.pass(20);
    }
    assert!(late <= 4, "{late} of 160 late starts went to the slow worker");
}

#[test]
fn a_large_job_asks_for_slots_before_its_first_task_is_due() {
    let mut bench = Bench::new(2);
    let peer = Incarnation(2);
    let load = PeerLoad { zone: "zone".into(), idle: 8, queued: 0 };
    bench.drive(Event::PeerLoad { peer, load });
    bench.submit("check", 100, Needs::default());
    let asks = bench.others.iter().filter(|action| matches!(action, Action::AskSlots(..)));
    assert_eq!(asks.count(), 1);
}

#[test]
fn slots_move_to_the_peer_that_asks_and_only_when_idle() {
    let mut bench = Bench::new(2);
    let peer = Incarnation(2);
    let load = PeerLoad { zone: "zone".into(), idle: 0, queued: 3 };
    bench.drive(Event::PeerLoad { peer, load });
    let ask = SlotAsk { want: 3, waited_ms: 10 };
    bench.drive(Event::SlotAsk { peer, ask: ask.clone() });
    let given: u32 = bench.others.iter().map(slots_of).sum();
    assert_eq!(given, 3 + (8 - 3) / 2);
    bench.submit("check", 9, Needs::default());
    assert_eq!(bench.starts.len(), 8 - given as usize);
    bench.others.clear();
    bench.drive(Event::SlotAsk { peer, ask });
    let given: u32 = bench.others.iter().map(slots_of).sum();
    assert_eq!(given, 0, "a daemon with waiting tasks of the same age gives nothing");
}

fn slots_of(action: &Action) -> u32 {
    match action {
        Action::GiveSlots(_, grant) => grant.slots.iter().map(|(_, slots)| slots).sum(),
        _ => 0,
    }
}
