//! Draws orders of events and checks that no task has two active runs at the same time. The bounds
//! are those of the platform's protocol.

mod support;

use pool::bounds::STALL_MS;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::subsequence;
use proptest::strategy::Union;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::event_orders::{
    CELLS, Change, Defect, Event, FOREVER_MS, Fate, Kind, NextProcess, Pick, Script, World,
};

/// Number of cases, unless the environment variable `PROPTEST_CASES` has another one.
const CASES: u32 = 1_000;
/// The same for orders whose faults are rarer.
const CASES_OF_RARE_FAULTS: u32 = 4 * CASES;

fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        1 => Just(Fate::Lost),
        1 => Just(Fate::ReplyLost),
        1 => (2_u64..90).prop_map(Fate::Slow),
        3 => late(),
    ]
}

/// Calls without a reply, whose connection may have to wait until it is accepted.
fn late() -> impl Strategy<Value = Fate> {
    let ms = prop_oneof![2 => 400_u64..2_000, 1 => 2_000_u64..=12_000];
    let accepted_ms = prop_oneof![1 => Just(0), 2 => 1_u64..150];
    (ms, accepted_ms).prop_map(|(ms, accepted_ms)| Fate::Late { ms, accepted_ms })
}

fn picks() -> impl Strategy<Value = Pick> {
    let numbers = (0..6_usize).prop_map(Pick::Number);
    prop_oneof![2 => Just(Pick::Busy), 1 => Just(Pick::Silent), 1 => numbers]
}

fn submissions() -> impl Strategy<Value = Event> {
    let times = (prop_oneof![1 => 40_u64..900, 2 => 900_u64..6_000], 60_u64..600);
    (0..CELLS, any::<bool>(), 1..=4_u32, times).prop_map(
        |(cell, resends_elsewhere, tasks, (task_ms, declared_ms))| Event::Submit {
            cell,
            resends_elsewhere,
            tasks,
            task_ms,
            declared_ms,
        },
    )
}

fn restarts() -> impl Strategy<Value = Event> {
    let next = prop_oneof![3 => Just(NextProcess::SameId), 1 => Just(NextProcess::OtherId)];
    let down_ms = prop_oneof![0_u64..600, 0_u64..4_000];
    let times = (down_ms, 1_u64..1_500, option::of(1_u64..700));
    (picks(), next, times).prop_map(|(pick, next, (down_ms, entry_ms, old_entry_ms))| {
        Event::Restart { pick, next, down_ms, entry_ms, old_entry_ms }
    })
}

fn owner_changes() -> impl Strategy<Value = Event> {
    let handover = (Just(Change::Handover), 5_u64..400);
    let lost = prop_oneof![Just(Change::Death), Just(Change::StoreLost), Just(Change::Restart)];
    let frozen = ((600_u64..4_000).prop_map(Change::Freeze), 1_200_u64..1_201);
    let changes = prop_oneof![handover, (lost, 300_u64..=1_200), frozen];
    (0..CELLS, changes, 0..6_usize).prop_map(|(cell, (change, pause_ms), missing)| Event::Owner {
        cell,
        change,
        pause_ms,
        missing,
    })
}

fn calls(kind: Kind) -> impl Strategy<Value = Event> {
    let for_ms = prop_oneof![2_u64..100, 2_u64..4_000];
    (fates(), for_ms).prop_map(move |(fate, for_ms)| Event::Calls { kind, fate, for_ms })
}

fn cuts() -> impl Strategy<Value = Event> {
    let fates = prop_oneof![Just(Fate::Lost), Just(Fate::ReplyLost)];
    let kinds = prop_oneof![2 => Just(None), 1 => Just(Some(Kind::Poll))];
    (picks(), kinds, fates, 200_u64..5_000).prop_map(|(pick, kind, fate, for_ms)| Event::Cut {
        pick,
        kind,
        fate,
        for_ms,
    })
}

fn stalls() -> impl Strategy<Value = Event> {
    let reads_after_ms = prop_oneof![Just(0), 1_u64..30];
    (0..CELLS, 50_u64..1_100, reads_after_ms)
        .prop_map(|(cell, for_ms, reads_after_ms)| Event::Stall { cell, for_ms, reads_after_ms })
}

fn leaves() -> impl Strategy<Value = Event> {
    (1_u64..50).prop_map(|noticed_ms| Event::Leave { noticed_ms })
}

fn silences() -> impl Strategy<Value = Event> {
    let is_silent =
        prop_oneof![3 => Just([true; 2]), 1 => Just([true, false]), 1 => Just([false, true])];
    let for_ms = prop_oneof![1 => 50_u64..3_000, 1 => Just(FOREVER_MS)];
    (is_silent, for_ms, any::<bool>()).prop_map(|(is_silent, for_ms, leaves)| Event::Silence {
        is_silent,
        for_ms,
        leaves,
    })
}

fn standstills() -> impl Strategy<Value = Event> {
    let picks = prop_oneof![3 => Just(Pick::Busy), 1 => picks()];
    let for_ms = prop_oneof![1_u64..=STALL_MS, Just(STALL_MS)];
    (picks, for_ms).prop_map(|(pick, for_ms)| Event::StandStill { pick, for_ms })
}

fn unordered_calls() -> impl Strategy<Value = Event> {
    (any::<u64>(), 100_u64..6_000).prop_map(|(seed, for_ms)| Event::Unordered { seed, for_ms })
}

fn helpless() -> impl Strategy<Value = Event> {
    (1_000_u64..6_000).prop_map(|for_ms| Event::Helpless { for_ms })
}

/// Events of a few kinds at a time, so that each kind often meets each other one.
fn events(kinds: Vec<BoxedStrategy<Event>>) -> impl Strategy<Value = Vec<(u64, Event)>> {
    let pauses = || prop_oneof![8 => 0_u64..60, 6 => 0_u64..1_000, 1 => 0_u64..=60_000];
    let most = kinds.len().min(3);
    subsequence(kinds, 1..=most).prop_flat_map(move |mut kinds| {
        kinds.push(submissions().boxed());
        vec((pauses(), Union::new(kinds)), 1..8)
    })
}

/// Scripts of one family: `before` comes ahead of the first job, in a share of them, and some of
/// `kinds` after it. The workers' clocks may be slow, and the workers may have been idle.
fn scripts(
    before: (f64, BoxedStrategy<Event>),
    kinds: Vec<BoxedStrategy<Event>>,
) -> BoxedStrategy<Script> {
    let slow_permille = vec(prop_oneof![Just(0), Just(20), 0..=20_u64], 4..=6);
    let idle_ms = prop_oneof![0_u64..200, 0_u64..=60_000];
    let before = option::weighted(before.0, before.1);
    let times = (idle_ms, 450..=600_u64);
    (slow_permille, times, before, submissions(), events(kinds))
        .prop_map(|(slow_permille, (idle_ms, patience_ms), before, first, rest)| {
            let mut events: Vec<_> = before.into_iter().map(|event| (0, event)).collect();
            events.push((0, first));
            events.extend(rest);
            events[0].0 = idle_ms;
            Script { slow_permille, patience_ms, closes_after_ms: 0, events }
        })
        .boxed()
}

/// Starts that are late for a short time.
fn late_starts() -> BoxedStrategy<Event> {
    (late(), 1_u64..60)
        .prop_map(|(fate, for_ms)| Event::Calls { kind: Kind::Start, fate, for_ms })
        .boxed()
}

/// Restarts so short that the next process accepts a connection opened for the one before.
fn restarts_under_starts() -> BoxedStrategy<Event> {
    let restart = |(down_ms, entry_ms)| Event::Restart {
        pick: Pick::Silent,
        next: NextProcess::SameId,
        down_ms,
        entry_ms,
        old_entry_ms: None,
    };
    (0_u64..60, 1_u64..1_500).prop_map(restart).boxed()
}

fn any_orders() -> BoxedStrategy<Script> {
    let calls = [Kind::Start, Kind::Stop, Kind::Poll].map(|kind| calls(kind).boxed());
    let mut kinds = calls.to_vec();
    kinds.extend([restarts().boxed(), cuts().boxed(), owner_changes().boxed()]);
    kinds.extend([stalls().boxed(), leaves().boxed()]);
    scripts((0.3, late_starts()), kinds)
}

/// Callers that leave while nothing but time ends their runs.
fn departures() -> BoxedStrategy<Script> {
    scripts((0.8, helpless().boxed()), vec![silences().boxed(), leaves().boxed(), cuts().boxed()])
}

/// Callers that leave while the owner stands still and stops are lost.
fn stalled_owners() -> BoxedStrategy<Script> {
    let stops_lost = (1_000_u64..6_000).prop_map(|for_ms| Event::Calls {
        kind: Kind::Stop,
        fate: Fate::Lost,
        for_ms,
    });
    scripts((0.9, stops_lost.boxed()), vec![stalls().boxed(), leaves().boxed()])
}

/// Late starts beside workers that start again.
fn restarted_workers() -> BoxedStrategy<Script> {
    let cuts = (1_000_u64..5_000).prop_map(|for_ms| Event::Cut {
        pick: Pick::Silent,
        kind: None,
        fate: Fate::Lost,
        for_ms,
    });
    let kinds = vec![restarts_under_starts(), leaves().boxed(), cuts.boxed()];
    scripts((0.9, late_starts()), kinds)
}

/// Late starts beside workers that start again and owners that restart within a generation.
fn restarted_owners() -> BoxedStrategy<Script> {
    let owners = (0..CELLS, 100_u64..1_200).prop_map(|(cell, pause_ms)| Event::Owner {
        cell,
        change: Change::Restart,
        pause_ms,
        missing: usize::MAX,
    });
    scripts((0.9, late_starts()), vec![restarts_under_starts(), owners.boxed()])
}

/// Workers that stand still while nothing but time ends the runs of callers that leave, or while they
/// are cut off. The last one does when its lease may end.
fn standing_workers() -> BoxedStrategy<Script> {
    let kinds = vec![standstills().boxed(), silences().boxed(), leaves().boxed(), cuts().boxed()];
    let last =
        (leaves(), 0_u64..1_000, 500_u64..1_300).prop_map(|(leave, leaves_ms, stands_ms)| {
            let standstill = Event::StandStill { pick: Pick::Busy, for_ms: STALL_MS };
            [(leaves_ms, leave), (stands_ms, standstill)]
        });
    (scripts((0.7, helpless().boxed()), kinds), last)
        .prop_map(|(mut script, last)| {
            script.events.extend(last);
            script
        })
        .boxed()
}

/// Workers that stand still beside everything else.
fn standstills_in_any_order() -> BoxedStrategy<Script> {
    let calls = [Kind::Start, Kind::Stop, Kind::Poll].map(|kind| calls(kind).boxed());
    let mut kinds = calls.to_vec();
    kinds.extend([restarts().boxed(), cuts().boxed(), owner_changes().boxed()]);
    kinds.extend([stalls().boxed(), leaves().boxed(), unordered_calls().boxed()]);
    kinds.extend([silences().boxed(), standstills().boxed()]);
    scripts((0.9, standstills().boxed()), kinds)
}

/// Callers that stand still between their decision to leave and the end of their connection.
fn standing_callers() -> BoxedStrategy<Script> {
    let mut kinds = vec![silences().boxed(), leaves().boxed(), cuts().boxed()];
    kinds.extend([owner_changes().boxed(), stalls().boxed(), unordered_calls().boxed()]);
    let closes_after_ms = prop_oneof![1 => 1_u64..=STALL_MS, 2 => Just(STALL_MS)];
    (scripts((0.5, helpless().boxed()), kinds), closes_after_ms)
        .prop_map(|(script, closes_after_ms)| Script { closes_after_ms, ..script })
        .boxed()
}

/// Calls to one worker, and their replies, that overtake each other.
fn unordered() -> BoxedStrategy<Script> {
    let mut kinds = vec![leaves().boxed(), restarts().boxed(), cuts().boxed()];
    kinds.extend([owner_changes().boxed(), stalls().boxed(), calls(Kind::Stop).boxed()]);
    kinds.extend([calls(Kind::Start).boxed(), unordered_calls().boxed()]);
    scripts((0.9, unordered_calls().boxed()), kinds)
}

/// Number of cases that are played of a family.
fn case_count(cases: u32) -> u32 {
    let variable = std::env::var("PROPTEST_CASES").ok();
    variable.and_then(|cases| cases.parse().ok()).unwrap_or(cases)
}

/// Plays a family; returns the number of runs that started, or the number of the first case with two
/// runs of a task and its shrunk script.
fn play(scripts: &BoxedStrategy<Script>, defect: Defect, cases: u32) -> Result<usize, String> {
    let mut config = Config { cases, failure_persistence: None, ..Config::default() };
    if defect != Defect::Nothing {
        config.max_shrink_iters = 0;
    }
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let starts = std::cell::Cell::new(0);
    let (cases, failed) = (std::cell::Cell::new(0), std::cell::Cell::new(false));
    let outcome = TestRunner::new_with_rng(config, rng).run(scripts, |script| {
        let world = World::play(&script, defect);
        starts.set(starts.get() + world.starts);
        cases.set(cases.get() + u32::from(!failed.get()));
        failed.set(failed.get() || world.overlap.is_some());
        let trace = world.trace();
        prop_assert!(world.overlap.is_none(), "{:?}\n{trace}", world.overlap);
        Ok(())
    });
    outcome.map(|()| starts.get()).map_err(|error| format!("case {}: {error}", cases.get()))
}

fn check(scripts: &BoxedStrategy<Script>, defect: Defect, cases: u32) {
    let cases = case_count(cases);
    let starts = play(scripts, defect, cases).unwrap_or_else(|error| panic!("{error}"));
    assert!(starts > cases as usize, "only {starts} runs started");
}

#[test]
fn no_task_has_two_active_runs_in_any_order_of_events() {
    check(&any_orders(), Defect::Nothing, CASES);
}

#[test]
fn no_task_has_two_active_runs_when_callers_leave_unnoticed() {
    check(&departures(), Defect::Nothing, CASES);
}

#[test]
fn no_task_has_two_active_runs_when_callers_leave_stalled_owners() {
    check(&stalled_owners(), Defect::Nothing, CASES);
}

#[test]
fn no_task_has_two_active_runs_beside_workers_that_start_again() {
    check(&restarted_workers(), Defect::Nothing, CASES);
}

#[test]
fn no_task_has_two_active_runs_when_owners_restart() {
    check(&restarted_owners(), Defect::Nothing, CASES);
}

/// Guards against runs that their workers end late.
#[test]
fn no_task_has_two_active_runs_when_workers_stand_still() {
    check(&standing_workers(), Defect::Nothing, CASES);
}

#[test]
fn no_task_has_two_active_runs_when_workers_stand_still_in_any_order_of_events() {
    check(&standstills_in_any_order(), Defect::Nothing, CASES);
}

/// Guards against runs that go on for callers who close their connections late.
#[test]
fn no_task_has_two_active_runs_when_callers_close_late() {
    check(&standing_callers(), Defect::Nothing, CASES);
}

/// Guards against rules that hold only if calls to a worker arrive in the order of their sending.
#[test]
fn no_task_has_two_active_runs_when_calls_overtake_each_other() {
    check(&unordered(), Defect::Nothing, CASES);
}

/// Guards against families that no longer draw the orders that they are meant for.
#[test]
fn planted_faults_are_found() {
    let families = [
        ("long leases", standing_workers(), Defect::LongLeases),
        ("long leases, callers", standing_callers(), Defect::LongLeases),
        ("long standstills", standing_workers(), Defect::LongStandstills),
        ("departures", departures(), Defect::ContactNotAsked),
        ("stalled owners", stalled_owners(), Defect::ContactNotAsked),
        ("starts at the next process", restarted_workers(), Defect::UnverifiedStarts),
    ];
    for (fault, scripts, defect) in families {
        let found = play(&scripts, defect, case_count(CASES_OF_RARE_FAULTS));
        println!("{fault}: {:.20}", found.as_ref().err().map_or("not found", String::as_str));
        assert!(found.is_err(), "{fault} are not found");
    }
}

#[test]
#[ignore = "KNOWN-RED 11"]
fn no_task_has_two_active_runs_if_late_calls_reach_the_next_process() {
    check(&any_orders(), Defect::LateCallsOutliveProcesses, CASES_OF_RARE_FAULTS);
}
