//! Tests of the decision which daemon owns each cell, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dispatch::clock::Millis;
use pool::balance::{Balance, MeasuredLoad, Member, Zone, ZoneCell};
use pool::cells::{Cell, cells_of_zone};
use pool::tokens::{first_token, generation_of, handover_tokens, next_revision, next_token};

const WORKERS: usize = 88;
const PARTITIONS: u32 = 32;
/// Time between two decisions of a daemon.
const DECISION_INTERVAL_MS: u64 = 300;
/// Long after the start of the daemons, so that moves are at least a second apart.
const STEADY_MS: u64 = 60_000;
/// The daemons of a zone: two large ones and eight small ones.
const UNEVEN: [u64; 10] = [500, 500, 100, 100, 100, 100, 100, 100, 100, 100];
const SMALL: usize = 2;

fn addr(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 1).into()
}

/// A zone whose daemons each see the true owners, after a delay.
struct Fleet {
    capacities: Vec<u64>,
    saturated: Vec<bool>,
    down: Vec<bool>,
    cells: Vec<Cell>,
    /// Holder and owner of each cell.
    holders: Vec<usize>,
    owners: Vec<usize>,
    /// Owners that the daemons see.
    seen: Vec<usize>,
    balances: Vec<Balance>,
    /// Time, cell, giver and receiver of each move.
    moves: Vec<(u64, usize, usize, usize)>,
}

impl Fleet {
    /// Creates a fleet in which the holder of each cell owns it.
    fn new(capacities: &[u64], holders: [usize; 4], started_ms: u64) -> Self {
        let mut balance = Balance::new(Millis(started_ms));
        balance.record_capacities(capacities.iter().copied());
        let cells = cells_of_zone("a", WORKERS, PARTITIONS);
        assert_eq!(cells.len(), holders.len());
        Self {
            capacities: capacities.to_vec(),
            saturated: vec![false; capacities.len()],
            down: vec![false; capacities.len()],
            cells,
            holders: holders.to_vec(),
            owners: holders.to_vec(),
            seen: holders.to_vec(),
            balances: vec![balance; capacities.len()],
            moves: Vec::new(),
        }
    }

    fn zone(&self, number: usize) -> Zone {
        let zone_cell = |(index, cell): (usize, &Cell)| ZoneCell {
            cell: cell.clone(),
            owner: Some(addr(self.seen[index])),
            is_held: self.holders[index] == number,
        };
        let up = (0..self.capacities.len()).filter(|other| !self.down[*other]);
        let member = |other: usize| {
            let (capacity, is_saturated) = (self.capacities[other], self.saturated[other]);
            (addr(other), Member { capacity, is_saturated })
        };
        let members: BTreeMap<SocketAddr, Member> = up.map(member).collect();
        let cells = self.cells.iter().enumerate().map(zone_cell).collect();
        Zone { own_addr: addr(number), cells, members }
    }

    /// Lets all daemons decide at the same time on what they saw before, from `from_ms` on.
    fn run(&mut self, from_ms: u64, span_ms: u64, change: impl Fn(&mut Self, u64)) {
        for now_ms in (from_ms..from_ms + span_ms).step_by(DECISION_INTERVAL_MS as usize) {
            change(self, now_ms);
            let now = Millis(now_ms);
            for number in 0..self.capacities.len() {
                let zone = self.zone(number);
                let Some(chosen) = self.balances[number].next_move(&zone, now) else { continue };
                let index = self.cells.iter().position(|cell| *cell == chosen.cell).unwrap();
                let to = (0..self.capacities.len()).find(|to| addr(*to) == chosen.to).unwrap();
                assert_eq!(self.holders[index], number, "only the holder moves a cell");
                self.moves.push((now_ms, index, self.owners[index], to));
                self.owners[index] = to;
                self.balances[number].record_move(now);
                self.balances[number].record_change(&chosen.cell, now);
            }
            self.seen = self.owners.clone();
        }
    }

    fn owned_by(&self, number: usize) -> usize {
        self.owners.iter().filter(|owner| **owner == number).count()
    }
}

/// Guards against the loss that this decision is for: one small daemon keeps all cells of its zone.
#[test]
fn a_small_owner_of_all_cells_gives_them_to_the_large_daemons() {
    let mut fleet = Fleet::new(&UNEVEN, [SMALL; 4], 0);
    fleet.run(STEADY_MS, 20_000, |_, _| {});
    assert_eq!((fleet.owned_by(0), fleet.owned_by(1)), (2, 2), "{:?}", fleet.moves);
    assert_eq!(fleet.moves.len(), 4, "each cell moves once");
    let times: Vec<u64> = fleet.moves.iter().map(|(at, ..)| *at).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{times:?}");
}

/// Guards against cells that still move when the callers come: the moves after a start are over
/// within 3 s after the last daemon has joined.
#[test]
fn moves_follow_each_other_quickly_after_a_start() {
    let mut fleet = Fleet::new(&UNEVEN, [SMALL; 4], 0);
    for balance in &mut fleet.balances {
        balance.record_assignment(Millis(800));
    }
    fleet.run(300, 20_000, |_, _| {});
    assert_eq!(fleet.moves.len(), 4);
    let (first, last) = (fleet.moves[0].0, fleet.moves[3].0);
    assert!(first >= 1_800, "a cell moved at {first} ms, while the daemons joined");
    assert!(last < 3_800, "the last cell moved at {last} ms");
}

/// Guards against a change for installations whose VMs are equal or state no capacity.
#[test]
fn equal_daemons_and_daemons_of_unknown_capacity_never_move_cells() {
    for holders in [[0; 4], [0, 0, 1, 2]] {
        let mut fleet = Fleet::new(&[100; 6], holders, 0);
        fleet.run(300, 60_000, |fleet, now_ms| {
            let number = (now_ms / 3_000) as usize % 6;
            fleet.saturated = (0..6).map(|other| other == number).collect();
        });
        assert_eq!(fleet.moves, []);
    }
    let fleet = Fleet::new(&UNEVEN, [SMALL; 4], 0);
    let mut zone = fleet.zone(SMALL);
    zone.members.remove(&addr(SMALL));
    let now = Millis(STEADY_MS);
    let balance = &fleet.balances[SMALL];
    assert_eq!(balance.next_move(&zone, now), None, "this daemon's capacity is unknown");
    assert_eq!(balance.owner_for(&zone, &fleet.cells[0], now), addr(SMALL));
    assert!(!balance.should_keep(&zone, addr(0)));
}

/// Guards against all holders sending their cells to the same daemon, since none of them sees what
/// the others decide.
#[test]
fn holders_that_decide_at_the_same_time_choose_differently() {
    let mut fleet = Fleet::new(&UNEVEN, [2, 3, 4, 5], 0);
    fleet.run(STEADY_MS, 60_000, |_, _| {});
    assert_eq!((fleet.owned_by(0), fleet.owned_by(1)), (2, 2), "{:?}", fleet.moves);
    assert_eq!(fleet.moves.len(), 4);
}

/// Guards against cells that go to and fro with the load, whose waves last 11 to 15 s and differ
/// from daemon to daemon.
#[test]
fn moves_end_while_the_measured_load_waves() {
    for seed in 0..40_u64 {
        let holder = |cell: u64| ((seed * 7 + cell * 3) % 10) as usize;
        let capacities: Vec<u64> =
            (0..10).map(|number| [100, 120, 200, 500][(seed + number) as usize % 4]).collect();
        let holders = [holder(0), holder(1), holder(2), holder(3)];
        let mut fleet = Fleet::new(&capacities, holders, 0);
        fleet.run(STEADY_MS, 300_000, |fleet, now_ms| {
            for number in 0..10_u64 {
                let period_ms = 11_000 + number * 400;
                fleet.saturated[number as usize] = now_ms % period_ms < period_ms / 2;
            }
        });
        let count = fleet.moves.len();
        assert!(count <= 12, "seed {seed}: {count} moves, {:?}", fleet.moves);
        let last = fleet.moves.last().map_or(0, |(at, ..)| *at);
        assert!(last < STEADY_MS + 60_000, "seed {seed}: a cell moved at {last} ms");
    }
}

/// Guards against a loaded owner that keeps a cell although one of about its size is idle, and
/// against the cell's return when the load is gone.
#[test]
fn a_saturated_owner_gives_up_cells_sooner() {
    for (is_saturated, moves) in [(false, 0), (true, 1)] {
        let mut fleet = Fleet::new(&[500, 400, 100], [0, 0, 0, 1], 0);
        fleet.run(STEADY_MS, 30_000, |fleet, now_ms| {
            fleet.saturated[0] = is_saturated && now_ms < STEADY_MS + 5_000;
        });
        assert_eq!(fleet.moves.len(), moves, "{:?}", fleet.moves);
    }
}

/// Guards against small daemons that get all cells of the zone again when the large ones are gone.
#[test]
fn the_small_daemons_share_the_cells_while_the_large_ones_are_down() {
    let mut fleet = Fleet::new(&UNEVEN, [SMALL; 4], 0);
    fleet.down[..2].fill(true);
    fleet.run(STEADY_MS, 60_000, |_, _| {});
    let most = (SMALL..UNEVEN.len()).map(|number| fleet.owned_by(number)).max();
    assert_eq!(most, Some(1), "{:?}", fleet.moves);
    let down_moves = fleet.moves.len();
    fleet.down[..2].fill(false);
    fleet.run(STEADY_MS + 60_000, 60_000, |_, _| {});
    assert_eq!((fleet.owned_by(0), fleet.owned_by(1)), (2, 2), "{:?}", fleet.moves);
    assert_eq!(fleet.moves.len(), down_moves + 4);
}

/// Guards against offers to a daemon that has just refused, and against a cell that stays with its
/// small owner because one daemon refuses.
#[test]
fn another_daemon_is_chosen_after_a_refusal() {
    let mut fleet = Fleet::new(&UNEVEN, [SMALL; 4], 0);
    let zone = fleet.zone(SMALL);
    let balance = &mut fleet.balances[SMALL];
    let first = balance.next_move(&zone, Millis(STEADY_MS)).unwrap();
    balance.record_refusal(first.to, Millis(STEADY_MS));
    let second = balance.next_move(&zone, Millis(STEADY_MS + 1_000)).unwrap();
    assert_ne!(second.to, first.to);
    let owner = balance.owner_for(&zone, &first.cell, Millis(STEADY_MS + 1_000));
    assert_eq!(owner, second.to);
    let later = balance.next_move(&zone, Millis(STEADY_MS + 2_000)).unwrap();
    assert_eq!(later.to, first.to, "the pause is over");
}

/// Guards against cells that change hands because their holders are restarted one after another.
#[test]
fn a_new_holder_keeps_the_owner_unless_it_carries_the_cell_far_better_itself() {
    let fleet = Fleet::new(&UNEVEN, [0, 0, 1, SMALL], 0);
    // New holder, owner, and whether the owner stays.
    let cases = [(3, 0, true), (1, 0, true), (3, SMALL, true), (0, SMALL, true)];
    for (holder, owner, is_kept) in cases {
        let zone = fleet.zone(holder);
        let keeps = fleet.balances[holder].should_keep(&zone, addr(owner));
        assert_eq!(keeps, is_kept, "holder {holder}, owner {owner}");
    }
    let loaded = Fleet::new(&UNEVEN, [SMALL; 4], 0);
    let is_kept = loaded.balances[0].should_keep(&loaded.zone(0), addr(SMALL));
    assert!(!is_kept, "the holder is large and idle");
    assert!(loaded.balances[0].may_be_chosen(&loaded.zone(0)));
    assert!(!loaded.balances[3].may_be_chosen(&loaded.zone(3)));
}

/// Guards against two owners with the same token, and against one that is higher than those of the
/// next generation.
#[test]
fn tokens_increase_within_a_generation_and_never_reach_the_next_one() {
    assert_eq!(next_token(7, []), Some(first_token(7)));
    let mut token = first_token(7);
    let mut steps = 1;
    while let Some(next) = next_token(7, [first_token(3) + 9, token, first_token(8)]) {
        assert!(next > token && generation_of(next) == 7);
        // The next step follows the last revision of the step too.
        assert_eq!(next_token(7, [next - 1]), Some(next));
        token = next;
        steps += 1;
    }
    assert_eq!(steps, 1_024, "all steps of the generation can be issued");
    assert_eq!(next_token(7, [first_token(8) - 1]), None);
}

/// Guards against two owners with the same token after handovers that the holder knows nothing of:
/// all tokens of an owner's calls are below those of the first daemon to which it hands over, and all that
/// follow from that one's are below those of the second.
#[test]
fn owners_that_hand_over_within_a_step_never_share_a_token() {
    // Returns the last token that the owner and those after it may use, and the number of owners.
    fn last_token(first: u64, end: u64) -> (u64, u64) {
        let mut last = first;
        while let Some(next) = next_revision(first, last) {
            assert_eq!(next, last + 1);
            last = next;
        }
        let mut owners = 1;
        for next in handover_tokens(first) {
            assert!(next > last, "{next} is not above {last}");
            let found = last_token(next, end);
            (last, owners) = (found.0, owners + found.1);
        }
        assert!(last < end, "{last} is of the next step");
        (last, owners)
    }
    let step = first_token(7);
    let end = next_token(7, [step]).unwrap();
    let (last, owners) = last_token(step, end);
    assert_eq!((last, owners), (end - 1, 9_841), "no token is left out");
    assert_eq!(next_revision(step, step + (1 << 14) - 1), None);
    assert_eq!(handover_tokens(step).count(), 3);
}

/// Guards against moves because of a single long turn or a short peak, and against an owner that
/// notices its load only when its callers wait (1.5 s).
#[test]
fn a_daemon_is_saturated_after_most_of_a_second_of_long_turns_or_cpu_time() {
    // Length of each turn, CPU time used in it by a daemon of 0.1 core, and after how many turns
    // the daemon counts as saturated.
    let cases = [
        (100, 5, None),
        (149, 5, None),
        (160, 5, Some(400..=1_000)),
        (100, 8, Some(400..=2_500)),
        (100, 10, Some(400..=1_400)),
    ];
    for (turn_ms, cpu_ms, expected) in cases {
        let mut load = MeasuredLoad::new(100);
        for _ in 0..3 {
            load.record_sample(100, 3);
        }
        load.record_sample(400, 3);
        assert!(!load.is_saturated(), "a single long turn");
        for _ in 0..20 {
            load.record_sample(100, 3);
        }
        let mut elapsed_ms = 0;
        while !load.is_saturated() && elapsed_ms < 10_000 {
            load.record_sample(turn_ms, cpu_ms);
            elapsed_ms += turn_ms;
        }
        let found = load.is_saturated().then_some(elapsed_ms);
        let is_as_expected = match &expected {
            None => found.is_none(),
            Some(range) => found.is_some_and(|found| range.contains(&found)),
        };
        assert!(is_as_expected, "{turn_ms} ms, {cpu_ms} ms: {found:?} instead of {expected:?}");
    }
}
