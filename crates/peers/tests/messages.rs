//! Messages between daemons: only whole, fresh and authentic ones are taken.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpListener;
use dispatch::clock::Millis;
use dispatch::membership::{Heartbeat, HeartbeatOutcome, Membership};
use dispatch::ticket::{Incarnation, Key, Keyring};
use peers::beats::{LARGEST_BEAT_BYTES, open};
use peers::links::{Cuts, Handler, LinkError, Links, Traffic};
use peers::wire::{Ask, Daemons, Tell};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn keys(secret: u8) -> Keyring {
    Keyring::new(Key { id: 1, secret: [secret; 32] }, Vec::new())
}

fn beat() -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(7),
        sequence: 1,
        addr: SocketAddr::from(([127, 0, 0, 1], 20)),
        operators: SocketAddr::from(([127, 0, 0, 1], 21)),
        zone: "bergamo".into(),
        draining: false,
        catalogue_offset: 3,
        log_reached: true,
        idle: 1,
        queued: 2,
        handovers: Vec::new(),
        ejected_workers: Vec::new(),
    }
}

fn sealed(keys: &Keyring) -> Vec<u8> {
    keys.seal(postcard::to_allocvec(&beat()).unwrap())
}

#[test]
fn a_whole_datagram_is_read_and_a_replay_is_told() {
    let read = open(&keys(1), &sealed(&keys(1))).unwrap();
    assert_eq!(read, beat());
    let own = SocketAddr::from(([127, 0, 0, 1], 10));
    let mut view = Membership::new(Incarnation(1), own, "bergamo", &[]);
    assert_eq!(view.record_heartbeat(read.clone(), Millis(1)), HeartbeatOutcome::Recorded(true));
    assert_eq!(view.record_heartbeat(read, Millis(2)), HeartbeatOutcome::Ignored);
}

#[test]
fn altered_forged_truncated_and_oversized_datagrams_are_dropped() {
    let good = sealed(&keys(1));
    assert_eq!(open(&keys(2), &good), None, "another key");
    for length in 0..good.len() {
        assert_eq!(open(&keys(1), &good[..length]), None, "cut to {length} bytes");
    }
    for place in 0..good.len() {
        let mut altered = good.clone();
        altered[place] ^= 1;
        assert_eq!(open(&keys(1), &altered), None, "byte {place} altered");
    }
    let mut content = postcard::to_allocvec(&beat()).unwrap();
    content.resize(LARGEST_BEAT_BYTES, 0);
    assert_eq!(open(&keys(1), &keys(1).seal(content)), None, "oversized");
}

#[test]
fn garbage_never_passes_and_never_panics() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(
        &proptest::collection::vec(any::<u8>(), 0..1_600),
        |bytes| {
            prop_assert_eq!(open(&keys(1), &bytes), None);
            Ok(())
        },
    );
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn a_key_in_rotation_is_still_taken() {
    let new = Key { id: 2, secret: [9; 32] };
    let old = Key { id: 1, secret: [1; 32] };
    let ring = Keyring::new(new, vec![old]);
    assert!(open(&ring, &sealed(&keys(1))).is_some());
    assert!(open(&keys(1), &sealed(&ring)).is_none(), "the old ring knows no new key");
}

fn links(secret: u8, cuts: Cuts) -> (Links<Daemons>, Rc<Traffic>) {
    let traffic = Rc::new(Traffic::default());
    let links = Links::new(Incarnation(5), Rc::new(keys(secret)), Rc::clone(&traffic), cuts);
    (links, traffic)
}

#[test]
fn a_link_carries_questions_and_a_stranger_gets_nothing() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let heard = Rc::new(RefCell::new(0));
        let count = Rc::clone(&heard);
        let handler: Handler<Daemons> = Rc::new(move |_, _| {
            *count.borrow_mut() += 1;
            Box::pin(async { Some(Tell::Done) })
        });
        let (server, traffic) = links(1, Cuts::default());
        actix_rt::spawn(server.serve(listener, handler));
        let cuts = Cuts::default();
        let (friend, _) = links(1, Rc::clone(&cuts));
        let told = friend.call(addr, Ask::TakeOver, 2_000).await;
        assert!(matches!(told, Ok(Tell::Done)), "{told:?}");
        let (stranger, _) = links(2, Cuts::default());
        let told = stranger.call(addr, Ask::TakeOver, 2_000).await;
        assert!(matches!(told, Err(LinkError::ReplyLost(_))), "{told:?}");
        assert_eq!((*heard.borrow(), traffic.dropped.get()), (1, 1));
        cuts.borrow_mut().push(addr);
        let told = friend.call(addr, Ask::TakeOver, 2_000).await;
        assert!(matches!(told, Err(LinkError::NoConnection(_))), "{told:?}");
    });
}
