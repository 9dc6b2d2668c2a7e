//! Guards against schedules of faults that differ between two runs of a seed or lack a kind of fault.

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use soak::faults::{Fault, ScheduledFault, draw_faults};
use standins::pool_worker_server::Behaviour;

const SPAN_MS: u64 = 12_000;

fn draw(seed: u64) -> Vec<ScheduledFault> {
    draw_faults(&mut SmallRng::seed_from_u64(seed), 4, 8, SPAN_MS)
}

#[test]
fn a_seed_always_gives_the_same_faults() {
    for seed in 0..50 {
        assert_eq!(draw(seed), draw(seed));
    }
}

#[test]
fn orders_are_late_beside_restarts_of_workers() {
    let is_late = |fault: &Fault| matches!(fault, Fault::Behaviour(_, Behaviour::LateOrders(_)));
    let with_both = (0..50).map(draw).filter(|faults| {
        faults.iter().any(|scheduled| is_late(&scheduled.fault))
            && faults.iter().any(|scheduled| matches!(scheduled.fault, Fault::RestartWorker(..)))
    });
    assert!(with_both.count() >= 25);
}
