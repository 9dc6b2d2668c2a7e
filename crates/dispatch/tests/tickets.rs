//! Checks that altered tickets are rejected, that a used ticket stays marked until it expires and
//! that its used bit takes little memory.

use std::collections::HashSet;
use std::net::SocketAddr;

use dispatch::clock::Millis;
use dispatch::ticket::{Incarnation, JobId, Key, Keyring, Ticket, TicketError};
use dispatch::window::{SeqState, TICKETS_PER_BLOCK, Window};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn ticket(seq: u64) -> Ticket {
    Ticket {
        job: JobId { incarnation: Incarnation(4), seq },
        home: SocketAddr::from(([10, 0, 0, 1], 7_002)),
        zone: "sondrio".into(),
        issued_ms: Millis(5),
        expiry_ms: Millis(900),
    }
}

fn key(id: u8) -> Key {
    Key { id, secret: [id; 32] }
}

#[test]
fn every_altered_character_is_refused() {
    let keys = Keyring::new(key(1), Vec::new());
    let text = keys.issue(&ticket(1));
    assert_eq!(keys.check(&text), Ok(ticket(1)));
    for position in 0..text.len() {
        let mut altered = text.clone().into_bytes();
        altered[position] = if altered[position] == b'A' { b'Q' } else { b'A' };
        let altered = String::from_utf8(altered).unwrap();
        assert!(keys.check(&altered).is_err(), "character {position}");
    }
    assert_eq!(keys.check("no ticket"), Err(TicketError::Malformed));
    assert_eq!(keys.check(""), Err(TicketError::Malformed));
}

#[test]
fn no_ticket_begins_like_a_command_line_option() {
    let keys = Keyring::new(key(1), Vec::new());
    assert!((0..500).all(|seq| keys.issue(&ticket(seq)).starts_with('t')));
}

#[test]
fn rotation_accepts_old_keys_until_they_are_dropped() {
    let old = Keyring::new(key(1), Vec::new());
    let both = Keyring::new(key(2), vec![key(1)]);
    let new = Keyring::new(key(2), Vec::new());
    let text = old.issue(&ticket(1));
    assert!(both.check(&text).is_ok());
    assert_eq!(new.check(&text), Err(TicketError::UnknownKey));
    assert!(new.check(&both.issue(&ticket(1))).is_ok());
}

#[test]
fn a_used_ticket_takes_less_than_two_bits() {
    let mut window = Window::default();
    let submissions = 1_100 * 600;
    for now in 0..submissions {
        let seq = window.issue(Millis(now + 600_000));
        window.mark_used(seq);
    }
    let bits = window.held_bytes() as f64 * 8.0 / submissions as f64;
    assert!(bits < 2.0, "{bits} bits per submission");
}

#[test]
fn a_window_agrees_with_a_set_and_a_used_ticket_never_becomes_unused() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0..4_u8, 0..3_000_u64), 1..200);
    let outcome = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut window = Window::default();
        let mut used = HashSet::new();
        let mut now = 0;
        for (operation, number) in steps {
            match operation {
                0 => (0..number % (2 * TICKETS_PER_BLOCK)).for_each(|_| {
                    window.issue(Millis(now + 100));
                }),
                1 => {
                    let fresh = window.state(number) == SeqState::Unused;
                    prop_assert_eq!(window.mark_used(number), fresh);
                    prop_assert!(!fresh || used.insert(number), "{} was used twice", number);
                }
                2 => now += number % 60,
                _ => window.expire(Millis(now)),
            }
            for seq in &used {
                let state = window.state(*seq);
                prop_assert!(
                    matches!(state, SeqState::Used | SeqState::Expired),
                    "{} {:?}",
                    seq,
                    state
                );
            }
        }
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}
