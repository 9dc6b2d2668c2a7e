//! Guards against schedules of faults that differ between two runs of a seed or lack a kind of fault.

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use soak::faults::{Fault, ScheduledFault, draw_faults};
use soak::proxy::Link;
use standins::pool_worker_server::Behaviour;

const SPAN_MS: u64 = 12_000;

type IsKind = fn(&ScheduledFault) -> bool;

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

#[test]
fn orders_of_events_that_the_users_bench_lacks_are_drawn() {
    let drawn: Vec<ScheduledFault> = (0..50).flat_map(draw).collect();
    let kinds: [(&str, IsKind); 5] = [
        ("short stall", |f| {
            matches!(f.fault, Fault::Pause(_)) && f.ends_at_ms - f.starts_at_ms < 1_100
        }),
        ("kill after a start", |f| matches!(f.fault, Fault::KillAtStart(_))),
        ("silent link", |f| matches!(f.fault, Fault::PeerLink(_, Link::Silent))),
        ("no requests", |f| matches!(f.fault, Fault::PeerLink(_, Link::NoRequests))),
        ("short restart", |f| {
            matches!(f.fault, Fault::RestartWorker(..)) && f.ends_at_ms - f.starts_at_ms < 50
        }),
    ];
    for (kind, is_kind) in kinds {
        assert!(drawn.iter().filter(|fault| is_kind(fault)).count() >= 10, "{kind}");
    }
}
