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
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotAsk {
    /// How many slots would be used at once.
    pub want: u32,
    /// How long the first waiting task has waited.
    pub waited_ms: u64,
}

/// Slots that change hands for good.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotGrant {
    /// Workers with the number of their slots given.
    pub slots: Vec<(SocketAddr, u32)>,
    /// Free slots left at the giver.
    pub idle_left: u32,
}

/// What is known of a peer's load, from heartbeats and grants.
#[derive(Clone, Debug)]
pub struct PeerLoad {
    /// The peer's zone.
    pub zone: String,
    /// Its free slots when last heard.
    pub idle: u32,
    /// Its waiting tasks when last heard.
    pub queued: u32,
}

/// What a daemon without a free slot would need.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tasks that wait.
    pub queued: u32,
    /// How long the first of them has waited.
    pub waited_ms: u64,
    /// How long the own slots would take to start all of them.
    pub drain_ms: u64,
}

/// An ask that a peer made here.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    want: u32,
    since: Millis,
    until: Millis,
}

/// An ask that was made of a peer; it is not asked again before `until`.
#[derive(Clone, Copy, Debug)]
struct Asked {
    until: Millis,
    pause_ms: u64,
}

/// When to ask whom, and whom to give.
#[derive(Debug)]
pub struct Shares {
    zone: String,
    spill_ms: u64,
    loads: BTreeMap<Incarnation, PeerLoad>,
    asks: BTreeMap<Incarnation, OpenAsk>,
    asked: BTreeMap<Incarnation, Asked>,
    last_ask_at: Millis,
}

/// How long an ask stands at the peer that got it, at the least.
const ASK_STANDS_MS: u64 = 100;
/// The longest pause between two asks of one peer that gave nothing.
const LONGEST_PAUSE_MS: u64 = 1_600;
/// The shortest time between two asks of one daemon.
const ASK_EVERY_MS: u64 = 5;
/// The wait from which daemons of the own zone are asked, in milliseconds.
const ZONE_ASK_WAIT_MS: u64 = 8;
/// How much longer the asker must have waited than the giver's own first task.
const FAIR_MARGIN_MS: u64 = 40;
/// The same as a part of the asker's wait.
const FAIR_MARGIN_PARTS: u64 = 4;
/// The most slots that one ask names.
const MOST_WANTED: u32 = 64;

impl Shares {
    /// Builds the state of a daemon in `zone` that asks other zones after `spill_ms` of waiting.
    pub fn new(zone: &str, spill_ms: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            spill_ms,
            loads: BTreeMap::new(),
            asks: BTreeMap::new(),
            asked: BTreeMap::new(),
            last_ask_at: Millis(0),
        }
    }

    /// Notes a peer's load.
    pub fn heard(&mut self, peer: Incarnation, load: PeerLoad) {
        if load.idle > 0 {
            self.asked.remove(&peer);
        }
        self.loads.insert(peer, load);
    }

    /// Forgets a peer that is gone.
    pub fn gone(&mut self, peer: Incarnation) {
        self.loads.remove(&peer);
        self.asks.remove(&peer);
        self.asked.remove(&peer);
    }

    /// Tells whether an ask may go out again.
    pub const fn may_ask(&self, now: Millis) -> bool {
        now.since(self.last_ask_at) >= ASK_EVERY_MS
    }

    /// Decides whom to ask for slots.
    pub fn ask(&mut self, need: &Need, now: Millis) -> Option<(Incarnation, SlotAsk)> {
        let wait_ms = need.waited_ms + need.drain_ms;
        if !self.may_ask(now) || wait_ms < ZONE_ASK_WAIT_MS.min(self.spill_ms) {
            return None;
        }
        let spills = wait_ms >= self.spill_ms;
        let open = self.loads.iter().filter(|(peer, load)| {
            let pausing = self.asked.get(peer).is_some_and(|asked| asked.until > now);
            !pausing && (spills || load.zone == self.zone)
        });
        let (peer, _) = open.max_by_key(|(peer, load)| {
            let near = load.zone == self.zone;
            (load.idle > 0, near, load.idle, std::cmp::Reverse(load.queued), **peer)
        })?;
        let peer = *peer;
        let paused_ms = self.asked.get(&peer).map_or(ASK_STANDS_MS / 2, |asked| asked.pause_ms);
        let pause_ms = (paused_ms * 2).min(LONGEST_PAUSE_MS);
        self.asked.insert(peer, Asked { until: now.plus(pause_ms), pause_ms });
        self.last_ask_at = now;
        if let Some(load) = self.loads.get_mut(&peer) {
            load.idle = 0;
        }
        let want = need.queued.clamp(1, MOST_WANTED);
        Some((peer, SlotAsk { want, waited_ms: need.waited_ms }))
    }

    /// Takes in a grant's note of how many slots its giver still has free; it may be asked again.
    pub fn granted(&mut self, from: Incarnation, idle_left: u32) {
        if idle_left > 0 {
            self.asked.remove(&from);
        }
        if let Some(load) = self.loads.get_mut(&from) {
            load.idle = idle_left;
        }
    }

    /// Takes a peer's ask, which stands for a while; an asker has no free slot itself.
    pub fn asked_by(&mut self, peer: Incarnation, ask: &SlotAsk, now: Millis) {
        let since = Millis(now.0.saturating_sub(ask.waited_ms));
        let until = now.plus(ASK_STANDS_MS);
        self.asks.insert(peer, OpenAsk { want: ask.want, since, until });
        if let Some(load) = self.loads.get_mut(&peer) {
            load.idle = 0;
        }
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
        let margin_ms = FAIR_MARGIN_MS.max(now.since(ask.since) / FAIR_MARGIN_PARTS);
        let yields = own_oldest.is_none_or(|own| own.since(ask.since) > margin_ms);
        if free == 0 || !yields {
            return None;
        }
        let spare = (free as u32).saturating_sub(ask.want) / 2;
        let given = if own_oldest.is_none() { ask.want + spare } else { 1 };
        let (peer, given) = (*peer, given.min(free as u32));
        self.asks.remove(&peer);
        Some((peer, given))
    }

    /// Finds the peer of a zone to which its slots go back: the one with the fewest free.
    pub fn peer_in(&self, zone: &str) -> Option<Incarnation> {
        let in_zone = self.loads.iter().filter(|(_, load)| load.zone == zone);
        in_zone.min_by_key(|(_, load)| load.idle).map(|(peer, _)| *peer)
    }

    /// Gives the zone of a peer.
    pub fn zone_of(&self, peer: Incarnation) -> Option<&str> {
        self.loads.get(&peer).map(|load| load.zone.as_str())
    }

    /// Tells whether a peer waits for slots.
    pub fn has_asks(&self) -> bool {
        !self.asks.is_empty()
    }
}
