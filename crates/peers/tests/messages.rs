//! Messages between daemons are accepted only if they are complete, current and authentic.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpListener;
use dispatch::clock::Millis;
use dispatch::membership::{Heartbeat, HeartbeatOutcome, Membership};
use dispatch::ticket::{Incarnation, Key, Keyring};
use peers::heartbeats::{MAX_DATAGRAM_BYTES, decode_heartbeat};
use peers::links::{BlockedAddrs, Handler, LinkError, Links, Traffic};
use peers::wire::{DaemonProtocol, PeerReply, PeerRequest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn keys(secret: u8) -> Keyring {
    Keyring::new(Key { id: 1, secret: [secret; 32] }, Vec::new())
}

fn heartbeat() -> Heartbeat {
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
    keys.seal(postcard::to_allocvec(&heartbeat()).unwrap())
}

#[test]
fn a_valid_datagram_is_decoded_and_a_replayed_heartbeat_is_ignored() {
    let read = decode_heartbeat(&keys(1), &sealed(&keys(1))).unwrap();
    assert_eq!(read, heartbeat());
    let own = SocketAddr::from(([127, 0, 0, 1], 10));
    let mut view = Membership::new(Incarnation(1), own, "bergamo", &[]);
    assert_eq!(view.record_heartbeat(read.clone(), Millis(1)), HeartbeatOutcome::Recorded(true));
    assert_eq!(view.record_heartbeat(read, Millis(2)), HeartbeatOutcome::Ignored);
}

#[test]
fn altered_forged_truncated_and_oversized_datagrams_are_dropped() {
    let valid = sealed(&keys(1));
    assert_eq!(decode_heartbeat(&keys(2), &valid), None, "another key");
    for length in 0..valid.len() {
        assert_eq!(decode_heartbeat(&keys(1), &valid[..length]), None, "cut to {length} bytes");
    }
    for position in 0..valid.len() {
        let mut altered = valid.clone();
        altered[position] ^= 1;
        assert_eq!(decode_heartbeat(&keys(1), &altered), None, "byte {position} altered");
    }
    let mut content = postcard::to_allocvec(&heartbeat()).unwrap();
    content.resize(MAX_DATAGRAM_BYTES, 0);
    assert_eq!(decode_heartbeat(&keys(1), &keys(1).seal(content)), None, "oversized");
}

#[test]
fn random_datagrams_are_rejected_without_a_panic() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(
        &proptest::collection::vec(any::<u8>(), 0..1_600),
        |bytes| {
            prop_assert_eq!(decode_heartbeat(&keys(1), &bytes), None);
            Ok(())
        },
    );
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn a_datagram_under_the_previous_key_is_accepted_during_rotation() {
    let new = Key { id: 2, secret: [9; 32] };
    let old = Key { id: 1, secret: [1; 32] };
    let keyring = Keyring::new(new, vec![old]);
    assert!(decode_heartbeat(&keyring, &sealed(&keys(1))).is_some());
    assert!(
        decode_heartbeat(&keys(1), &sealed(&keyring)).is_none(),
        "the old keyring must reject the new key"
    );
}

fn links(secret: u8, blocked: BlockedAddrs) -> (Links<DaemonProtocol>, Rc<Traffic>) {
    let traffic = Rc::new(Traffic::default());
    let links = Links::new(Incarnation(5), Rc::new(keys(secret)), Rc::clone(&traffic), blocked);
    (links, traffic)
}

#[test]
fn a_link_delivers_requests_and_rejects_a_peer_with_another_key() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handled = Rc::new(RefCell::new(0));
        let handled_count = Rc::clone(&handled);
        let handler: Handler<DaemonProtocol> = Rc::new(move |_, _| {
            *handled_count.borrow_mut() += 1;
            Box::pin(async { Some(PeerReply::Done) })
        });
        let (server, traffic) = links(1, BlockedAddrs::default());
        actix_rt::spawn(server.serve(listener, handler, None));
        let blocked = BlockedAddrs::default();
        let (trusted, _) = links(1, Rc::clone(&blocked));
        let reply = trusted.call(addr, PeerRequest::TakeOver, 2_000).await;
        assert!(matches!(reply, Ok(PeerReply::Done)), "{reply:?}");
        let (untrusted, _) = links(2, BlockedAddrs::default());
        let reply = untrusted.call(addr, PeerRequest::TakeOver, 2_000).await;
        assert!(matches!(reply, Err(LinkError::ReplyLost(_))), "{reply:?}");
        assert_eq!((*handled.borrow(), traffic.dropped.get()), (1, 1));
        blocked.borrow_mut().push(addr);
        let reply = trusted.call(addr, PeerRequest::TakeOver, 2_000).await;
        assert!(matches!(reply, Err(LinkError::NoConnection(_))), "{reply:?}");
    });
}
