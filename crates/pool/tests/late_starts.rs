//! Guards against a start that the next process of its worker accepts and carries out late, beside a run
//! that was started after it. See `docs/design/on-the-platform.md`.

mod support;

use std::rc::Rc;

use dispatch::clock::Millis;
use pool::bounds::STALL_MS;
use pool::call::PollReply;
use pool::pool::{Action, LINK_TIMEOUT_MS, Pool};
use pool::tokens::first_token;
use pool::worker::LEASE_MS;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::entry;
use support::event_orders::{
    CELLS, Change, Defect, Event, Fate, Kind, NextProcess, Pick, Script, World,
};

/// Number of cases, unless the environment variable `PROPTEST_CASES` has another one.
const CASES: u32 = 500;

const fn script(slow_permille: Vec<u64>, events: Vec<(u64, Event)>) -> Script {
    Script { slow_permille, patience_ms: LINK_TIMEOUT_MS, closes_after_ms: 0, events }
}

const fn defect_of(is_verified: bool) -> Defect {
    if is_verified { Defect::Nothing } else { Defect::UnverifiedStarts }
}

const fn submission(cell: usize, resends_elsewhere: bool) -> Event {
    Event::Submit { cell, resends_elsewhere, tasks: 1, task_ms: 6_000, declared_ms: 60 }
}

const fn late_starts(accepted_ms: u64, late_ms: u64) -> Event {
    let fate = Fate::Late { ms: accepted_ms + late_ms, accepted_ms };
    Event::Calls { kind: Kind::Start, fate, for_ms: 8 }
}

const fn restart(pick: Pick, down_ms: u64) -> Event {
    let next = NextProcess::SameId;
    Event::Restart { pick, next, down_ms, entry_ms: 9_000, old_entry_ms: None }
}

/// Idle workers have restarted, and their owner, which does not know that, starts a task and is then cut
/// off from its worker.
fn prelude(
    workers: usize,
    down_ms: u64,
    late: Event,
    submission: Event,
    cut_ms: u64,
) -> Vec<(u64, Event)> {
    let cut = Event::Cut { pick: Pick::Silent, kind: None, fate: Fate::Lost, for_ms: cut_ms };
    let restarts = (0..workers).map(|number| (0, restart(Pick::Number(number), down_ms)));
    let mut events: Vec<_> = restarts.chain([(0, late), (0, submission), (8, cut)]).collect();
    events[0].0 = 500;
    events
}

/// The owner dies, and the next one is cut off from the worker from the start.
fn death() -> Vec<(u64, Event)> {
    let lost = Event::Calls { kind: Kind::Poll, fate: Fate::Lost, for_ms: 10 };
    let cut = Event::Cut { pick: Pick::Silent, kind: None, fate: Fate::Lost, for_ms: 8_000 };
    let death = Event::Owner { cell: 0, change: Change::Death, pause_ms: 600, missing: 9 };
    vec![(50, death), (595, lost), (55, cut)]
}

#[test]
fn a_start_that_the_next_process_accepts_does_not_run_beside_a_later_one() {
    let cases = [
        ("the caller's next request comes to another cell", 2, submission(0, true), Vec::new()),
        ("the cell's next owner knows nothing of it", 4, submission(0, false), death()),
    ];
    for (case, workers, submission, change) in cases {
        for is_verified in [false, true] {
            let late = late_starts(40, 5_000);
            let mut events = prelude(workers, 20, late, submission.clone(), 8_000);
            events.extend(change.clone());
            let world = World::play(&script(vec![0; workers], events), defect_of(is_verified));
            let trace = world.trace();
            assert_eq!(
                world.overlap.is_none(),
                is_verified,
                "{case}: {:?}\n{trace}",
                world.overlap
            );
        }
    }
}

fn events() -> impl Strategy<Value = Event> {
    let picks =
        || prop_oneof![Just(Pick::Silent), Just(Pick::Busy), (0..4_usize).prop_map(Pick::Number)];
    let lost = (prop_oneof![Just(Kind::Poll), Just(Kind::Stop)], 2_u64..4_000);
    let changes = prop_oneof![Just(Change::Death), Just(Change::StoreLost), Just(Change::Handover)];
    let change = (0..CELLS, changes, 300_u64..1_200);
    let late = prop_oneof![0_u64..1_200, 1_000_u64..9_000];
    prop_oneof![
        3 => (0..CELLS, any::<bool>()).prop_map(|(cell, elsewhere)| submission(cell, elsewhere)),
        3 => (0_u64..100, late).prop_map(|(ms, late_ms)| late_starts(ms, late_ms)),
        3 => (picks(), prop_oneof![0_u64..90, 0_u64..2_000]).prop_map(|(pick, ms)| restart(pick, ms)),
        2 => (picks(), 200_u64..6_000)
            .prop_map(|(pick, for_ms)| Event::Cut { pick, kind: None, fate: Fate::Lost, for_ms }),
        1 => lost.prop_map(|(kind, for_ms)| Event::Calls { kind, fate: Fate::Lost, for_ms }),
        1 => change.prop_map(|(cell, change, pause_ms)| {
            Event::Owner { cell, change, pause_ms, missing: 9 }
        }),
        1 => (1_u64..50).prop_map(|noticed_ms| Event::Leave { noticed_ms }),
    ]
}

/// Plays drawn orders; returns the number of runs that started, or the first case with two runs of a task.
fn play(is_verified: bool) -> Result<usize, String> {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(CASES), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let pauses = prop_oneof![4 => 0_u64..3, 2 => 0_u64..100, 1 => 0_u64..3_000];
    let slow_permille = vec(prop_oneof![Just(0), Just(20), 0..=20_u64], 4);
    let late = (0_u64..100, 0_u64..9_000);
    let first = (0_u64..90, late, (0..CELLS, any::<bool>()), 1_000_u64..8_000);
    let scripts = (slow_permille, first, vec((pauses, events()), 0..8));
    let starts = std::cell::Cell::new(0);
    let played =
        TestRunner::new_with_rng(config, rng).run(&scripts, |(slow_permille, first, rest)| {
            let (down_ms, (after_ms, late_ms), (cell, elsewhere), cut_ms) = first;
            let late = late_starts(after_ms, late_ms);
            let mut events = prelude(4, down_ms, late, submission(cell, elsewhere), cut_ms);
            events.extend(rest);
            let world = World::play(&script(slow_permille, events), defect_of(is_verified));
            starts.set(starts.get() + world.starts);
            prop_assert!(world.overlap.is_none(), "{:?}\n{}", world.overlap, world.trace());
            Ok(())
        });
    played.map(|()| starts.get()).map_err(|error| error.to_string())
}

#[test]
fn no_task_has_two_active_runs_when_starts_go_to_the_process_that_they_are_meant_for() {
    let starts = play(true).unwrap_or_else(|error| panic!("{error}"));
    assert!(starts > CASES as usize, "only {starts} runs started");
    assert!(play(false).is_err(), "the orders do not show starts at other processes");
}

/// Guards against a start in doubt that holds its task for longer than the caller waits, because its worker
/// is gone for good.
#[test]
fn a_task_starts_elsewhere_once_the_lease_of_its_start_in_doubt_is_over() {
    let lost = Event::Calls { kind: Kind::Start, fate: Fate::Lost, for_ms: 8 };
    let gone = Event::Cut { pick: Pick::Silent, kind: None, fate: Fate::Lost, for_ms: 60_000 };
    for slow_permille in [0, 20] {
        let events = vec![(500, lost.clone()), (0, submission(0, false)), (8, gone.clone())];
        let world = World::play(&script(vec![slow_permille; 4], events), Defect::Nothing);
        let trace = world.trace();
        let at_ms = |text: &str| {
            let line = trace.lines().find(|line| line.contains(text));
            let line = line.unwrap_or_else(|| panic!("no {text:?} in\n{trace}"));
            line.split_whitespace().next().unwrap().parse::<u64>().unwrap()
        };
        let held_ms = at_ms(": start of") - at_ms("Submit");
        assert!(
            (LEASE_MS + STALL_MS..=1_041 + STALL_MS).contains(&held_ms),
            "the task is held for {held_ms} ms\n{trace}"
        );
    }
}

/// Guards against a next owner that gives the next process of a silent worker its token late: until then
/// that process would carry out what the previous owner has sent.
#[test]
fn a_next_owner_polls_silent_workers_soon_while_starts_before_it_may_be_on_their_way() {
    let mut pool = Pool::new(first_token(1));
    let listed = (Rc::from("0"), entry(0, 16));
    pool.set_workers(Millis(10_000), std::iter::once((&listed.0, &listed.1)));
    let (mut lost_at_ms, mut polled_at_ms) = (None, 10_000);
    for now_ms in 10_000..22_000 {
        let now = Millis(now_ms);
        if lost_at_ms == Some(now_ms) {
            pool.poll_reply(now, "0", Millis(polled_at_ms), &PollReply::Lost);
        }
        pool.advance(now);
        for action in pool.take_actions() {
            if let Action::Poll(target, _) = action {
                let pause_ms = now_ms - lost_at_ms.unwrap_or(now_ms);
                assert!(pause_ms <= 200, "no poll for {pause_ms} ms at {now_ms}");
                (lost_at_ms, polled_at_ms) = (Some(now_ms + target.timeout_ms), now_ms);
            }
        }
    }
    assert!(22_000 - polled_at_ms <= 600, "the last poll was sent at {polled_at_ms}");
}
