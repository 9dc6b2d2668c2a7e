//! Moves shares of workers' slots between daemons.
//!
//! A daemon with waiting tasks and no free slot asks one peer; the peer gives free
//! slots for good, now or when some come free. The worker stays the arbiter: a share
//! that is wrong costs one refusal and nothing else. See `docs/design/upstreams.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ticket::Incarnation;

/// A request for slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// How many slots would be used at once.
    pub want: u32,
    /// How long the first waiting task has waited.
    pub waited_ms: u64,
}

/// Slots that change hands for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Workers with the number of their slots given.
    pub slots: Vec<(SocketAddr, u32)>,
    /// Free slots left at the giver.
    pub idle_left: u32,
}

/// What is known of a peer's load, from heartbeats and grants.
#[derive(Clone, Copy, Debug)]
pub struct PeerLoad {
    /// Whether the peer is in the own zone.
    pub own_zone: bool,
    /// Its free slots when last heard.
    pub idle: u32,
    /// Its waiting tasks when last heard.
    pub queued: u32,
}

#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    want: u32,
    since: Millis,
    until: Millis,
}

/// When to ask whom, and whom to give.
#[derive(Debug, Default)]
pub struct Shares {
    loads: BTreeMap<Incarnation, PeerLoad>,
    asks: BTreeMap<Incarnation, OpenAsk>,
    asked: BTreeMap<Incarnation, Millis>,
    last_ask_at: Millis,
}

/// How long an ask stands at the peer that got it.
const ASK_STANDS_MS: u64 = 150;
/// The shortest time between two asks of one daemon.
const ASK_EVERY_MS: u64 = 8;
/// The wait from which peers of other zones are asked.
const SPILL_MS: u64 = 20;
/// How much longer the asker must have waited than the giver's own first task.
const FAIR_MARGIN_MS: u64 = 25;
/// The most slots that one ask names.
const MOST_WANTED: u32 = 64;

impl Shares {
    /// Notes a peer's load.
    pub fn heard(&mut self, peer: Incarnation, load: PeerLoad) {
        self.loads.insert(peer, load);
    }

    /// Forgets a peer that is gone.
    pub fn gone(&mut self, peer: Incarnation) {
        self.loads.remove(&peer);
        self.asks.remove(&peer);
        self.asked.remove(&peer);
    }

    /// Decides whom to ask, where the first task has waited `waited_ms` without a free slot.
    pub fn ask(
        &mut self,
        queued: usize,
        waited_ms: u64,
        now: Millis,
    ) -> Option<(Incarnation, SlotAsk)> {
        if now.since(self.last_ask_at) < ASK_EVERY_MS && self.last_ask_at.0 > 0 {
            return None;
        }
        let asked = &self.asked;
        let open = |peer: &Incarnation| asked.get(peer).is_some_and(|until| *until > now);
        let candidates = self
            .loads
            .iter()
            .filter(|(peer, load)| !open(peer) && (load.own_zone || waited_ms >= SPILL_MS));
        let (peer, _) = candidates.max_by_key(|(peer, load)| {
            (
                load.idle > 0,
                load.own_zone,
                load.idle,
                std::cmp::Reverse(load.queued),
                **peer,
            )
        })?;
        let peer = *peer;
        self.asked.insert(peer, now.plus(ASK_STANDS_MS));
        self.last_ask_at = now;
        if let Some(load) = self.loads.get_mut(&peer) {
            load.idle = 0;
        }
        let want = (queued as u32).min(MOST_WANTED);
        Some((peer, SlotAsk { want, waited_ms }))
    }

    /// Takes a grant's word on its giver, which may be asked again.
    pub fn granted(&mut self, from: Incarnation, idle_left: u32) {
        self.asked.remove(&from);
        if let Some(load) = self.loads.get_mut(&from) {
            load.idle = idle_left;
        }
    }

    /// Takes a peer's ask, which stands for a while.
    pub fn asked_by(&mut self, peer: Incarnation, ask: &SlotAsk, now: Millis) {
        let since = Millis(now.0.saturating_sub(ask.waited_ms));
        let until = now.plus(ASK_STANDS_MS);
        self.asks.insert(
            peer,
            OpenAsk {
                want: ask.want,
                since,
                until,
            },
        );
    }

    /// Decides how many of `free` slots go to which peer, the longest wait first.
    ///
    /// `own_oldest` is the acceptance time of the own longest wait.
    pub fn give(
        &mut self,
        free: u64,
        own_oldest: Option<Millis>,
        now: Millis,
    ) -> Option<(Incarnation, u32)> {
        self.asks.retain(|_, ask| ask.until >= now);
        let (peer, ask) = self.asks.iter().min_by_key(|(_, ask)| ask.since)?;
        let yields = own_oldest.is_none_or(|own| own.since(ask.since) > FAIR_MARGIN_MS);
        if free == 0 || !yields {
            return None;
        }
        let spare = (free as u32).saturating_sub(ask.want) / 2;
        let given = if own_oldest.is_none() {
            ask.want + spare
        } else {
            1
        };
        let (peer, given) = (*peer, given.min(free as u32));
        self.asks.remove(&peer);
        Some((peer, given))
    }

    /// Tells whether a peer waits for slots.
    pub fn has_asks(&self) -> bool {
        !self.asks.is_empty()
    }
}
