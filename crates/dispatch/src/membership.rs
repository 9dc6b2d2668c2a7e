//! Which daemons there are: heartbeats, deaths, drains, and who inherited from whom.
//!
//! See `docs/design/membership.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ticket::Incarnation;

/// A daemon that is silent for this long is not counted on.
pub const SILENT_MS: u64 = 3_500;
/// A daemon that is silent for this long is forgotten, unless settings name it.
const FORGOTTEN_MS: u64 = 600_000;
/// How long it is told who inherited from a drained incarnation.
const INHERITANCE_MS: u64 = 1_200_000;

/// One drained incarnation with the daemon that now answers for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Inheritance {
    /// The incarnation that drained.
    pub from: Incarnation,
    /// The incarnation that answers for it.
    pub to: Incarnation,
    /// Where the successor is reached.
    pub to_addr: SocketAddr,
}

/// What a daemon says of itself in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Counts up by each heartbeat; replays are told by it.
    pub count: u64,
    /// Where the sender takes messages from daemons.
    pub addr: SocketAddr,
    /// Where the sender answers operators.
    pub operators: SocketAddr,
    /// The sender's availability zone.
    pub zone: String,
    /// Whether the sender drains.
    pub draining: bool,
    /// The next catalogue offset that the sender will apply.
    pub catalogue_offset: u64,
    /// Whether the sender reaches the log service.
    pub log_reached: bool,
    /// Free slots that the sender holds.
    pub idle: u32,
    /// Tasks that wait at the sender.
    pub queued: u32,
    /// Some inheritances, in turn.
    pub inheritances: Vec<Inheritance>,
    /// Some workers that the sender has set aside.
    pub aside: Vec<SocketAddr>,
}

/// How a peer is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// Named in the settings or the VM list and not heard yet.
    Unheard,
    /// Heard lately.
    Live,
    /// Heard lately, and draining.
    Draining,
    /// Not heard for a while: dead, paused or cut off.
    Silent,
}

/// One peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it said last.
    pub last: Heartbeat,
    /// When it said so.
    pub heard_at: Millis,
}

/// What came of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is news; true where the set of live daemons may have changed.
    News(bool),
    /// It was heard before, or is older than what was.
    Replayed,
}

/// The daemons as this one sees them.
#[derive(Debug)]
pub struct Membership {
    own: Incarnation,
    own_addr: SocketAddr,
    zone: String,
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    known: BTreeMap<SocketAddr, Option<Peer>>,
    inheritances: BTreeMap<Incarnation, (Inheritance, Millis)>,
    told_next: usize,
    buried: BTreeMap<Incarnation, Millis>,
}

impl Membership {
    /// Builds the view of a daemon that knows only its settings.
    pub fn new(own: Incarnation, own_addr: SocketAddr, zone: &str, seeds: &[SocketAddr]) -> Self {
        let others = seeds.iter().filter(|addr| **addr != own_addr);
        Self {
            own,
            own_addr,
            zone: zone.to_owned(),
            seeds: seeds.to_vec(),
            listed: Vec::new(),
            known: others.map(|addr| (*addr, None)).collect(),
            inheritances: BTreeMap::new(),
            told_next: 0,
            buried: BTreeMap::new(),
        }
    }

    /// Takes the daemons that the VM list names now.
    pub fn set_listed(&mut self, addrs: &[SocketAddr]) {
        self.listed = addrs.to_vec();
        for addr in addrs.iter().filter(|addr| **addr != self.own_addr) {
            self.known.entry(*addr).or_insert(None);
        }
    }

    /// Takes a heartbeat.
    pub fn heard(&mut self, heartbeat: Heartbeat, now: Millis) -> Heard {
        if heartbeat.incarnation == self.own || heartbeat.addr == self.own_addr {
            return Heard::Replayed;
        }
        if self.buried.contains_key(&heartbeat.incarnation) {
            return Heard::Replayed;
        }
        for inheritance in &heartbeat.inheritances {
            self.inherits(*inheritance, now);
        }
        let known = self.known.entry(heartbeat.addr).or_insert(None);
        let before = known.as_ref().map(|peer| (peer.last.incarnation, peer.last.draining));
        if let Some(peer) = known.as_ref() {
            if peer.last.incarnation == heartbeat.incarnation {
                if peer.last.count >= heartbeat.count {
                    return Heard::Replayed;
                }
            } else {
                self.buried.insert(peer.last.incarnation, now);
            }
        }
        let was_silent = known.as_ref().is_none_or(|peer| now.since(peer.heard_at) >= SILENT_MS);
        let changed = was_silent || before != Some((heartbeat.incarnation, heartbeat.draining));
        *known = Some(Peer { last: heartbeat, heard_at: now });
        Heard::News(changed)
    }

    /// Notes who answers for a drained incarnation.
    pub fn inherits(&mut self, inheritance: Inheritance, now: Millis) {
        let entry = self.inheritances.entry(inheritance.from);
        entry.or_insert((inheritance, now));
    }

    /// Finds who answers for an incarnation that drained, also over several drains.
    pub fn successor_of(&self, incarnation: Incarnation) -> Option<Inheritance> {
        let mut found = self.inheritances.get(&incarnation)?.0;
        for _ in 0..self.inheritances.len() {
            match self.inheritances.get(&found.to) {
                Some((next, _)) => found = *next,
                None => break,
            }
        }
        Some(found)
    }

    /// Gives some inheritances to tell, in turn.
    pub fn inheritances_to_tell(&mut self, most: usize) -> Vec<Inheritance> {
        let all: Vec<Inheritance> = self.inheritances.values().map(|(told, _)| *told).collect();
        let start = if all.is_empty() { 0 } else { self.told_next % all.len() };
        self.told_next = start + most;
        all.iter().cycle().skip(start).take(most.min(all.len())).copied().collect()
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.inheritances.retain(|_, (_, since)| now.since(*since) < INHERITANCE_MS);
        self.buried.retain(|_, since| now.since(*since) < FORGOTTEN_MS);
        for peer in self.known.values_mut() {
            if peer.as_ref().is_some_and(|peer| now.since(peer.heard_at) > FORGOTTEN_MS) {
                *peer = None;
            }
        }
        let (seeds, listed) = (&self.seeds, &self.listed);
        let named = |addr: &SocketAddr| seeds.contains(addr) || listed.contains(addr);
        self.known.retain(|addr, peer| peer.is_some() || named(addr));
    }

    /// Lists the live daemons, without this one.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let peers = self.known.values().flatten();
        peers.filter(move |peer| now.since(peer.heard_at) < SILENT_MS)
    }

    /// Gives the place of this daemon among the live ones of its zone that do not drain.
    pub fn rank(&self, now: Millis) -> (usize, usize) {
        let in_zone = self.live(now).filter(|peer| peer.last.zone == self.zone);
        let addrs: Vec<SocketAddr> =
            in_zone.filter(|peer| !peer.last.draining).map(|peer| peer.last.addr).collect();
        let before = addrs.iter().filter(|addr| **addr < self.own_addr).count();
        (before, addrs.len() + 1)
    }

    /// Orders the peers that may inherit: the own zone first, then by address.
    pub fn successors(&self, now: Millis) -> Vec<Peer> {
        let mut open: Vec<Peer> = self.live(now).filter(|p| !p.last.draining).cloned().collect();
        open.sort_by_key(|peer| (peer.last.zone != self.zone, peer.last.addr));
        open
    }

    /// Finds a live peer by its incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.known.values().flatten().find(|peer| peer.last.incarnation == incarnation)
    }

    /// Tells whether an incarnation's address has since been taken by another process.
    pub fn is_buried(&self, incarnation: Incarnation) -> bool {
        self.buried.contains_key(&incarnation)
    }

    /// Lists every known address with its state and what it said last.
    pub fn peers(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, PeerState, Option<&Peer>)> {
        self.known.iter().map(move |(addr, peer)| {
            let state = match peer {
                None => PeerState::Unheard,
                Some(peer) if now.since(peer.heard_at) >= SILENT_MS => PeerState::Silent,
                Some(peer) if peer.last.draining => PeerState::Draining,
                Some(_) => PeerState::Live,
            };
            (*addr, state, peer.as_ref())
        })
    }

    /// Lists the zones of which every known daemon is silent.
    pub fn cut_off_zones(&self, now: Millis) -> Vec<String> {
        let mut zones: BTreeMap<&str, bool> = BTreeMap::new();
        for peer in self.known.values().flatten() {
            let live = now.since(peer.heard_at) < SILENT_MS;
            *zones.entry(peer.last.zone.as_str()).or_insert(false) |= live;
        }
        let silent = zones.iter().filter(|(_, live)| !**live);
        silent.map(|(zone, _)| (*zone).to_owned()).collect()
    }

    /// Gives the number of live daemons with this one.
    pub fn count(&self, now: Millis) -> usize {
        self.live(now).count() + 1
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::{Heard, Heartbeat, Inheritance, Membership, PeerState, SILENT_MS};
    use crate::clock::Millis;
    use crate::ticket::Incarnation;

    fn addr(port: u16) -> SocketAddr {
        ([127, 0, 0, 1], port).into()
    }

    fn beat(incarnation: u64, port: u16, count: u64) -> Heartbeat {
        Heartbeat {
            incarnation: Incarnation(incarnation),
            count,
            addr: addr(port),
            operators: addr(port + 1),
            zone: "bergamo".into(),
            draining: false,
            catalogue_offset: 0,
            log_reached: true,
            idle: 0,
            queued: 0,
            inheritances: Vec::new(),
            aside: Vec::new(),
        }
    }

    #[test]
    fn replays_and_buried_incarnations_are_refused() {
        let mut view = Membership::new(Incarnation(1), addr(10), "bergamo", &[]);
        assert_eq!(view.heard(beat(2, 20, 5), Millis(0)), Heard::News(true));
        assert_eq!(view.heard(beat(2, 20, 5), Millis(1)), Heard::Replayed);
        assert_eq!(view.heard(beat(3, 20, 1), Millis(2)), Heard::News(true));
        assert_eq!(view.heard(beat(2, 20, 6), Millis(3)), Heard::Replayed);
        assert!(view.is_buried(Incarnation(2)));
    }

    #[test]
    fn a_silent_peer_leaves_the_ranking_and_returns() {
        let mut view = Membership::new(Incarnation(1), addr(30), "bergamo", &[addr(40)]);
        view.heard(beat(2, 20, 1), Millis(0));
        assert_eq!(view.rank(Millis(10)), (1, 2));
        assert_eq!(view.rank(Millis(SILENT_MS)), (0, 1));
        assert_eq!(view.cut_off_zones(Millis(SILENT_MS)), ["bergamo"]);
        let states: Vec<PeerState> = view.peers(Millis(SILENT_MS)).map(|p| p.1).collect();
        assert_eq!(states, [PeerState::Silent, PeerState::Unheard]);
        assert_eq!(view.heard(beat(2, 20, 2), Millis(9_000)), Heard::News(true));
        assert_eq!(view.rank(Millis(9_001)), (1, 2));
    }

    #[test]
    fn an_address_that_nobody_names_any_more_is_forgotten() {
        let mut view = Membership::new(Incarnation(1), addr(30), "bergamo", &[addr(40)]);
        view.set_listed(&[addr(50)]);
        view.heard(beat(2, 20, 1), Millis(0));
        view.set_listed(&[]);
        view.expire(Millis(700_000));
        let known: Vec<SocketAddr> = view.peers(Millis(700_000)).map(|peer| peer.0).collect();
        assert_eq!(known, [addr(40)]);
    }

    #[test]
    fn an_successor_is_found_over_several_drains() {
        let mut view = Membership::new(Incarnation(1), addr(10), "bergamo", &[]);
        let hop = |from, to, port| Inheritance {
            from: Incarnation(from),
            to: Incarnation(to),
            to_addr: addr(port),
        };
        view.inherits(hop(5, 6, 60), Millis(0));
        view.inherits(hop(6, 7, 70), Millis(0));
        let successor = view.successor_of(Incarnation(5)).map(|found| found.to);
        assert_eq!(successor, Some(Incarnation(7)));
    }
}
