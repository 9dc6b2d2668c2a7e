//! Tests of how the process of a daemon joins the group after its start.

use dispatch::clock::Millis;
use pool::arrival::{Arrival, GroupCall};

#[derive(Clone, Copy, Debug)]
enum Event {
    Listing(bool),
    Left,
}

/// Guards against a process that joins while its predecessor is a member, and so issues the tokens of
/// that one's orders, and against one that waits for a read that the store refuses.
#[test]
fn a_process_joins_once_no_previous_one_is_a_member() {
    use Event::{Left, Listing};
    use GroupCall::{Join, Leave, Wait};
    // Each event with its time, and the call that is due after it.
    let cases: [&[(u64, Option<Event>, GroupCall)]; 5] = [
        &[(0, None, Wait), (4, Some(Listing(false)), Join), (90, Some(Listing(true)), Join)],
        &[(0, None, Wait), (4, Some(Listing(true)), Leave), (9, Some(Left), Join)],
        &[(0, None, Wait), (299, None, Wait), (300, None, Leave), (310, Some(Left), Join)],
        &[(0, None, Wait), (4, Some(Listing(true)), Leave), (1_300, Some(Listing(false)), Join)],
        &[(0, None, Wait), (400, Some(Listing(true)), Leave), (900, None, Leave)],
    ];
    for case in cases {
        let mut arrival = Arrival::default();
        for (at_ms, event, call) in case {
            match event {
                Some(Listing(is_listed)) => arrival.record_listing(*is_listed),
                Some(Left) => arrival.record_left(),
                None => {}
            }
            assert_eq!(arrival.next_call(Millis(*at_ms)), *call, "{case:?} at {at_ms}");
            assert_eq!(arrival.is_cleared(), *call == Join, "{case:?} at {at_ms}");
        }
    }
}
