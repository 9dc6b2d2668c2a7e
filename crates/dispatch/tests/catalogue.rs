//! Checks that every follower's catalogue equals the state computed from the log at the same
//! offset, and that this offset never decreases.

use dispatch::catalogue::{
    CatalogueRecord, CatalogueState, Change, Edit, InvalidEdit, Item, KindSpec, Outcome, TeamSpec,
    validate,
};
use dispatch::clock::Millis;
use dispatch::follower::{Follower, LogRecord};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const FOLLOWERS: usize = 4;
const NAMES: [&str; 3] = ["a", "b", "c"];
const CASES: u32 = 500;

#[derive(Clone, Debug)]
enum Step {
    /// An operator makes an edit based on a follower's state; a lost reply has it appended twice.
    Edit {
        follower: usize,
        name: usize,
        remove: bool,
        twice: bool,
    },
    Read {
        follower: usize,
        max: usize,
    },
    Snapshot {
        follower: usize,
    },
    TruncateLog {
        keep: usize,
    },
    CopyState {
        follower: usize,
        peer: usize,
    },
    CatchUp {
        follower: usize,
        peer: usize,
    },
    Restart {
        follower: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let follower = || 0..FOLLOWERS;
    prop_oneof![
        6 => (follower(), 0..NAMES.len(), any::<bool>(), any::<bool>())
            .prop_map(|(follower, name, remove, twice)| Step::Edit { follower, name, remove, twice }),
        8 => (follower(), 1..6_usize).prop_map(|(follower, max)| Step::Read { follower, max }),
        2 => follower().prop_map(|follower| Step::Snapshot { follower }),
        1 => (0..12_usize).prop_map(|keep| Step::TruncateLog { keep }),
        2 => (follower(), follower()).prop_map(|(follower, peer)| Step::CopyState { follower, peer }),
        2 => (follower(), follower()).prop_map(|(follower, peer)| Step::CatchUp { follower, peer }),
        1 => follower().prop_map(|follower| Step::Restart { follower }),
    ]
}

struct Simulation {
    log: Vec<LogRecord>,
    first_kept: usize,
    followers: Vec<Follower>,
    /// Expected state of a follower by the number of records that it has applied.
    expected_states: Vec<CatalogueState>,
    edits: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            first_kept: 0,
            followers: (0..FOLLOWERS).map(|_| Follower::default()).collect(),
            expected_states: vec![CatalogueState::default()],
            edits: 0,
        }
    }

    fn append(&mut self, record: CatalogueRecord) {
        let offset = self.log.len() as u64;
        let at_ms = Millis(offset);
        let mut state = self.expected_states[offset as usize].clone();
        state.apply(offset, at_ms, &record);
        self.expected_states.push(state);
        self.log.push(LogRecord { offset, at_ms, record });
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Edit { follower, name, remove, twice } => {
                self.edit(*follower, NAMES[*name], *remove, *twice);
            }
            Step::Read { follower, max } => self.read(*follower, *max),
            Step::Snapshot { follower } => {
                if let Some(state) = self.followers[*follower].state() {
                    self.append(CatalogueRecord::Snapshot(Box::new(state.clone())));
                }
            }
            Step::TruncateLog { keep } => {
                let first = self.log.len().saturating_sub(*keep);
                self.first_kept = self.first_kept.max(first);
            }
            Step::CopyState { follower, peer } => {
                if let Some(state) = self.followers[*peer].state().cloned() {
                    self.followers[*follower].install_state(state);
                }
            }
            Step::CatchUp { follower, peer } => {
                let next = self.followers[*follower].state().map(CatalogueState::next_offset);
                let records = next.and_then(|next| self.followers[*peer].records_from(next));
                if let Some(records) = records {
                    self.followers[*follower].ingest_from_peer(records);
                }
            }
            Step::Restart { follower } => self.followers[*follower] = Follower::default(),
        }
    }

    fn edit(&mut self, follower: usize, name: &str, remove: bool, twice: bool) {
        let Some(state) = self.followers[follower].state() else {
            return;
        };
        let base = state.get(name).map(|entry| entry.revision);
        self.edits += 1;
        let share = 1 + self.edits as u32 % 900;
        let team = Item::Team(TeamSpec { share, max_queued_tasks: 10 });
        let item = (!remove).then_some(team);
        let change = Change { name: name.to_owned(), base, item };
        let id = format!("edit-{}", self.edits);
        let edit = Edit { id, by: format!("operator-{follower}"), changes: vec![change] };
        self.append(CatalogueRecord::Edit(edit.clone()));
        if twice {
            self.append(CatalogueRecord::Edit(edit));
        }
    }

    fn read(&mut self, follower: usize, max: usize) {
        let from = (self.followers[follower].next_read_offset() as usize).max(self.first_kept);
        let page: Vec<LogRecord> = self.log.iter().skip(from).take(max).cloned().collect();
        self.followers[follower].ingest(self.first_kept as u64, page);
    }
}

fn fixed_runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn followers_match_the_log_and_never_return_to_an_earlier_offset() {
    let outcome = fixed_runner().run(&vec(step(), 1..120), |steps| {
        let mut simulation = Simulation::new();
        let mut offsets = [0_u64; FOLLOWERS];
        for step in &steps {
            simulation.run_step(step);
            if let Step::Restart { follower } = step {
                offsets[*follower] = 0;
            }
            for (index, follower) in simulation.followers.iter().enumerate() {
                let Some(state) = follower.state() else {
                    continue;
                };
                let next = state.next_offset();
                prop_assert!(
                    next >= offsets[index],
                    "follower {} returned to an earlier offset",
                    index
                );
                prop_assert_eq!(
                    state,
                    &simulation.expected_states[next as usize],
                    "follower {} diverged from the log",
                    index
                );
                offsets[index] = next;
            }
        }
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn a_new_follower_catches_up_from_a_snapshot_that_is_still_in_the_log() {
    let outcome = fixed_runner().run(&vec(step(), 1..80), |steps| {
        let mut simulation = Simulation::new();
        simulation.read(0, 1);
        for step in steps.iter().filter(|step| !matches!(step, Step::TruncateLog { .. })) {
            simulation.run_step(step);
        }
        while (simulation.followers[0].next_read_offset() as usize) < simulation.log.len()
            || simulation.followers[0].state().is_none()
        {
            simulation.read(0, 50);
        }
        let snapshot_at = simulation.log.len();
        simulation.run_step(&Step::Snapshot { follower: 0 });
        simulation.first_kept = snapshot_at;
        simulation.followers[1] = Follower::default();
        simulation.edit(0, "a", false, false);
        for _ in 0..simulation.log.len() {
            simulation.read(1, 3);
        }
        prop_assert_eq!(simulation.followers[1].state(), simulation.expected_states.last());
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn there_is_no_catalogue_without_a_snapshot_or_the_first_record() {
    let mut simulation = Simulation::new();
    simulation.read(0, 1);
    simulation.edit(0, "a", false, false);
    simulation.edit(0, "b", false, false);
    simulation.first_kept = 1;
    for _ in 0..5 {
        simulation.read(1, 10);
    }
    assert!(
        simulation.followers[1].state().is_none(),
        "a follower built a catalogue without the first record or a snapshot"
    );
}

#[test]
fn of_two_concurrent_edits_one_is_applied_and_the_conflict_names_its_author() {
    let mut state = CatalogueState::default();
    let edit = |id: &str, by: &str, base| {
        let item = Some(Item::Team(TeamSpec::default()));
        let change = Change { name: "a".into(), base, item };
        CatalogueRecord::Edit(Edit { id: id.into(), by: by.into(), changes: vec![change] })
    };
    state.apply(0, Millis(0), &edit("one", "anna", None));
    state.apply(1, Millis(1), &edit("two", "bekele", None));
    assert_eq!(state.outcome("one"), Some(&Outcome::Applied { revision: 0 }));
    let conflict = Outcome::Conflict { name: "a".into(), current: Some(0), by: "anna".into() };
    assert_eq!(state.outcome("two"), Some(&conflict));
    state.apply(2, Millis(2), &edit("one", "anna", None));
    assert_eq!(state.outcome("one"), Some(&Outcome::Applied { revision: 0 }));
    assert_eq!(state.history().count(), 1);
}

#[test]
fn invalid_edits_are_rejected_with_a_remedy() {
    let kind = |change: fn(&mut KindSpec)| {
        let mut kind: KindSpec = serde_json::from_str(r#"{"owner": "team"}"#).unwrap();
        change(&mut kind);
        Some(Item::Kind(kind))
    };
    let cases = [
        ("a", kind(|k| k.max_wait_ms = 0), "set it between 1 and 3600000"),
        ("a", kind(|k| k.max_tasks = 0), "set it between 1 and 10000"),
        ("a", kind(|k| k.owner = String::new()), "set owner to the name of a team"),
        ("a b", kind(|_| ()), "use 1 to 128 letters"),
        (
            "a",
            kind(|k| k.on_log_out = dispatch::catalogue::OnLogOutage::Continue),
            "set journal = true",
        ),
    ];
    for (name, item, remedy) in cases {
        let change = Change { name: name.into(), base: None, item };
        let edit = Edit { id: "x".into(), by: "y".into(), changes: vec![change] };
        let error = validate(&edit).unwrap_err().to_string();
        assert!(error.contains(remedy), "{error}");
    }
    let empty = Edit { id: "x".into(), by: "y".into(), changes: Vec::new() };
    assert_eq!(validate(&empty), Err(InvalidEdit::Empty));
}
