//! Tests which daemons an owner tells that its cell has room again.

use std::net::SocketAddr;

use dispatch::clock::Millis;
use pool::free_cores::FreeCores;
use pool::free_notice::RefusedDaemons;
use pool::load_table::Demand;
use pool::queue::Backlog;

const DEMAND: Demand = Demand { tasks: 2, task_millicores: 8_000 };

fn addr(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

/// A backlog with this many free workers of 16 cores.
fn backlog(free_workers: usize) -> Backlog {
    let workers = std::iter::repeat_n((16_000, 16_000), free_workers);
    Backlog { free: Some(FreeCores::new(workers)), ..Backlog::default() }
}

/// Guards against workers that stay free while the daemons whose jobs were refused hold back.
#[test]
fn a_refused_daemon_is_told_once_when_the_cell_has_room_within_200_ms() {
    let mut refused = RefusedDaemons::default();
    refused.record(addr(1), DEMAND, Millis(100));
    assert!(refused.take_due(&backlog(0), Millis(150)).is_empty());
    let queue = Backlog { queued_work: 1, ..backlog(1) };
    assert!(refused.take_due(&queue, Millis(150)).is_empty(), "a queue comes first");
    assert_eq!(refused.take_due(&backlog(1), Millis(299)), [addr(1)]);
    assert!(refused.take_due(&backlog(1), Millis(299)).is_empty());
    refused.record(addr(1), DEMAND, Millis(300));
    assert!(refused.take_due(&backlog(1), Millis(500)).is_empty());
    assert!(refused.is_empty());
}

/// Guards against a stampede of many daemons to one free worker, and against messages without bound.
#[test]
fn only_as_many_daemons_are_told_as_have_room_and_at_most_eight() {
    let mut refused = RefusedDaemons::default();
    for number in 0..12 {
        refused.record(addr(number), DEMAND, Millis(100));
    }
    refused.record(addr(4), DEMAND, Millis(101));
    assert_eq!(refused.take_due(&backlog(2), Millis(110)), [addr(5), addr(6)]);
    let rest = refused.take_due(&backlog(40), Millis(120));
    assert_eq!(rest, [7, 8, 9, 10, 11, 4].map(addr));
}
