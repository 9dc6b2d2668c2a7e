//! Membership of the fleet: live, silent and draining daemons, as learnt from heartbeats, and the
//! successors that took over the ticket tables of drained daemons.
//!
//! See `docs/design/membership.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ticket::Incarnation;

/// A daemon without a heartbeat for this long is treated as not live.
pub const LIVENESS_TIMEOUT_MS: u64 = 3_500;
/// How long after its last heartbeat a daemon is removed; one that is named in the settings or the
/// VM list stays, as never heard from. Replaced incarnations are remembered for as long.
const PEER_RETENTION_MS: u64 = 600_000;
/// How long the successor of a drained incarnation is remembered and sent in heartbeats.
const HANDOVER_RETENTION_MS: u64 = 1_200_000;

/// A completed handover: a drained incarnation and the successor that now answers for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Incarnation that drained.
    pub from: Incarnation,
    /// Incarnation of the successor.
    pub to: Incarnation,
    /// Address at which other daemons reach the successor.
    pub to_addr: SocketAddr,
}

/// The state that a daemon sends to its peers in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number, increased with each heartbeat, by which replays are detected.
    pub sequence: u64,
    /// Address at which the sender accepts messages from other daemons.
    pub addr: SocketAddr,
    /// Address at which the sender serves operators.
    pub operators: SocketAddr,
    /// Availability zone of the sender.
    pub zone: String,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Offset of the next catalogue record that the sender will apply.
    pub catalogue_offset: u64,
    /// Whether the sender can reach the log service.
    pub log_reached: bool,
    /// Number of free slots that the sender holds.
    pub idle: u32,
    /// Number of tasks that are queued at the sender.
    pub queued: u32,
    /// A part of the handovers that the sender knows; successive heartbeats cycle through them.
    pub handovers: Vec<Handover>,
    /// A part of the workers that the sender has ejected as outliers.
    pub ejected_workers: Vec<SocketAddr>,
}

/// The liveness of a peer as seen by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// Named in the settings or the VM list, but no heartbeat is known.
    #[serde(rename = "unheard")]
    NeverSeen,
    /// Sent a heartbeat within the liveness timeout and is not draining.
    Live,
    /// Sent a heartbeat within the liveness timeout and is draining.
    Draining,
    /// Sent no heartbeat within the liveness timeout: dead, paused or partitioned.
    Silent,
}

/// Another daemon from which a heartbeat was received.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Last heartbeat received from the peer.
    pub last_heartbeat: Heartbeat,
    /// Local time at which that heartbeat was received.
    pub last_heard_at: Millis,
}

/// The result of processing a received heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat was recorded; true if the set of live daemons may have changed.
    Recorded(bool),
    /// The heartbeat was ignored: a replay or an older one, one of a replaced incarnation, or one
    /// with this daemon's own incarnation or address.
    Ignored,
}

/// The fleet's daemons as seen by this daemon.
#[derive(Debug)]
pub struct Membership {
    own: Incarnation,
    own_addr: SocketAddr,
    zone: String,
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    known: BTreeMap<SocketAddr, Option<Peer>>,
    handovers: BTreeMap<Incarnation, (Handover, Millis)>,
    next_handover: usize,
    replaced: BTreeMap<Incarnation, Millis>,
}

impl Membership {
    /// Creates the view of a daemon that knows only the `seeds` of its settings.
    pub fn new(own: Incarnation, own_addr: SocketAddr, zone: &str, seeds: &[SocketAddr]) -> Self {
        let others = seeds.iter().filter(|addr| **addr != own_addr);
        Self {
            own,
            own_addr,
            zone: zone.to_owned(),
            seeds: seeds.to_vec(),
            listed: Vec::new(),
            known: others.map(|addr| (*addr, None)).collect(),
            handovers: BTreeMap::new(),
            next_handover: 0,
            replaced: BTreeMap::new(),
        }
    }

    /// Sets the daemons that the VM list names at present.
    pub fn set_listed(&mut self, addrs: &[SocketAddr]) {
        self.listed = addrs.to_vec();
        for addr in addrs.iter().filter(|addr| **addr != self.own_addr) {
            self.known.entry(*addr).or_insert(None);
        }
    }

    /// Records a received heartbeat and the handovers that it carries.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) -> HeartbeatOutcome {
        if heartbeat.incarnation == self.own || heartbeat.addr == self.own_addr {
            return HeartbeatOutcome::Ignored;
        }
        if self.replaced.contains_key(&heartbeat.incarnation) {
            return HeartbeatOutcome::Ignored;
        }
        for handover in &heartbeat.handovers {
            self.record_handover(*handover, now);
        }
        let known = self.known.entry(heartbeat.addr).or_insert(None);
        let before = known
            .as_ref()
            .map(|peer| (peer.last_heartbeat.incarnation, peer.last_heartbeat.draining));
        if let Some(peer) = known.as_ref() {
            if peer.last_heartbeat.incarnation == heartbeat.incarnation {
                if peer.last_heartbeat.sequence >= heartbeat.sequence {
                    return HeartbeatOutcome::Ignored;
                }
            } else {
                self.replaced.insert(peer.last_heartbeat.incarnation, now);
            }
        }
        let was_silent =
            known.as_ref().is_none_or(|peer| now.since(peer.last_heard_at) >= LIVENESS_TIMEOUT_MS);
        let changed = was_silent || before != Some((heartbeat.incarnation, heartbeat.draining));
        *known = Some(Peer { last_heartbeat: heartbeat, last_heard_at: now });
        HeartbeatOutcome::Recorded(changed)
    }

    /// Records the successor of a drained incarnation; the first record for an incarnation stays.
    pub fn record_handover(&mut self, handover: Handover, now: Millis) {
        let entry = self.handovers.entry(handover.from);
        entry.or_insert((handover, now));
    }

    /// Returns the latest successor of a drained incarnation, following a chain of handovers.
    pub fn successor_of(&self, incarnation: Incarnation) -> Option<Handover> {
        let mut found = self.handovers.get(&incarnation)?.0;
        for _ in 0..self.handovers.len() {
            match self.handovers.get(&found.to) {
                Some((next, _)) => found = *next,
                None => break,
            }
        }
        Some(found)
    }

    /// Returns up to `limit` handovers for the next heartbeat, cycling through all known ones.
    pub fn next_handovers(&mut self, limit: usize) -> Vec<Handover> {
        let all: Vec<Handover> = self.handovers.values().map(|(handover, _)| *handover).collect();
        let start = if all.is_empty() { 0 } else { self.next_handover % all.len() };
        self.next_handover = start + limit;
        all.iter().cycle().skip(start).take(limit.min(all.len())).copied().collect()
    }

    /// Removes handovers, replaced incarnations and peers that are past their retention.
    pub fn expire(&mut self, now: Millis) {
        self.handovers.retain(|_, (_, since)| now.since(*since) < HANDOVER_RETENTION_MS);
        self.replaced.retain(|_, since| now.since(*since) < PEER_RETENTION_MS);
        for peer in self.known.values_mut() {
            if peer.as_ref().is_some_and(|peer| now.since(peer.last_heard_at) > PEER_RETENTION_MS) {
                *peer = None;
            }
        }
        let (seeds, listed) = (&self.seeds, &self.listed);
        let is_listed = |addr: &SocketAddr| seeds.contains(addr) || listed.contains(addr);
        self.known.retain(|addr, peer| peer.is_some() || is_listed(addr));
    }

    /// Returns the other daemons that are live.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let peers = self.known.values().flatten();
        peers.filter(move |peer| now.since(peer.last_heard_at) < LIVENESS_TIMEOUT_MS)
    }

    /// Returns this daemon's index, by address, among the live daemons of its zone that are not
    /// draining, and their number, both counting this daemon as live.
    pub fn rank(&self, now: Millis) -> (usize, usize) {
        let in_zone = self.live(now).filter(|peer| peer.last_heartbeat.zone == self.zone);
        let addrs: Vec<SocketAddr> = in_zone
            .filter(|peer| !peer.last_heartbeat.draining)
            .map(|peer| peer.last_heartbeat.addr)
            .collect();
        let before = addrs.iter().filter(|addr| **addr < self.own_addr).count();
        (before, addrs.len() + 1)
    }

    /// Returns the live peers that are not draining, as candidates to take over ticket tables:
    /// those in the same zone first, then by address.
    pub fn successors(&self, now: Millis) -> Vec<Peer> {
        let mut candidates: Vec<Peer> =
            self.live(now).filter(|p| !p.last_heartbeat.draining).cloned().collect();
        candidates
            .sort_by_key(|peer| (peer.last_heartbeat.zone != self.zone, peer.last_heartbeat.addr));
        candidates
    }

    /// Returns the peer with this incarnation, whether it is live or silent.
    pub fn find(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.known.values().flatten().find(|peer| peer.last_heartbeat.incarnation == incarnation)
    }

    /// Returns whether another process has since taken the address of this incarnation.
    pub fn is_replaced(&self, incarnation: Incarnation) -> bool {
        self.replaced.contains_key(&incarnation)
    }

    /// Returns every known address with the peer's state and its last heartbeat, if there is one.
    pub fn peers(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, PeerState, Option<&Peer>)> {
        self.known.iter().map(move |(addr, peer)| {
            let state = match peer {
                None => PeerState::NeverSeen,
                Some(peer) if now.since(peer.last_heard_at) >= LIVENESS_TIMEOUT_MS => {
                    PeerState::Silent
                }
                Some(peer) if peer.last_heartbeat.draining => PeerState::Draining,
                Some(_) => PeerState::Live,
            };
            (*addr, state, peer.as_ref())
        })
    }

    /// Returns the zones in which every known peer is silent.
    pub fn cut_off_zones(&self, now: Millis) -> Vec<String> {
        let mut zones: BTreeMap<&str, bool> = BTreeMap::new();
        for peer in self.known.values().flatten() {
            let live = now.since(peer.last_heard_at) < LIVENESS_TIMEOUT_MS;
            *zones.entry(peer.last_heartbeat.zone.as_str()).or_insert(false) |= live;
        }
        let silent = zones.iter().filter(|(_, live)| !**live);
        silent.map(|(zone, _)| (*zone).to_owned()).collect()
    }

    /// Returns the number of live daemons, including this one.
    pub fn live_count(&self, now: Millis) -> usize {
        self.live(now).count() + 1
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::{
        Handover, Heartbeat, HeartbeatOutcome, LIVENESS_TIMEOUT_MS, Membership, PeerState,
    };
    use crate::clock::Millis;
    use crate::ticket::Incarnation;

    fn addr(port: u16) -> SocketAddr {
        ([127, 0, 0, 1], port).into()
    }

    fn heartbeat(incarnation: u64, port: u16, sequence: u64) -> Heartbeat {
        Heartbeat {
            incarnation: Incarnation(incarnation),
            sequence,
            addr: addr(port),
            operators: addr(port + 1),
            zone: "bergamo".into(),
            draining: false,
            catalogue_offset: 0,
            log_reached: true,
            idle: 0,
            queued: 0,
            handovers: Vec::new(),
            ejected_workers: Vec::new(),
        }
    }

    #[test]
    fn replays_and_replaced_incarnations_are_ignored() {
        let mut view = Membership::new(Incarnation(1), addr(10), "bergamo", &[]);
        assert_eq!(
            view.record_heartbeat(heartbeat(2, 20, 5), Millis(0)),
            HeartbeatOutcome::Recorded(true)
        );
        assert_eq!(
            view.record_heartbeat(heartbeat(2, 20, 5), Millis(1)),
            HeartbeatOutcome::Ignored
        );
        assert_eq!(
            view.record_heartbeat(heartbeat(3, 20, 1), Millis(2)),
            HeartbeatOutcome::Recorded(true)
        );
        assert_eq!(
            view.record_heartbeat(heartbeat(2, 20, 6), Millis(3)),
            HeartbeatOutcome::Ignored
        );
        assert!(view.is_replaced(Incarnation(2)));
    }

    #[test]
    fn a_silent_peer_is_excluded_from_the_rank_until_its_next_heartbeat() {
        let mut view = Membership::new(Incarnation(1), addr(30), "bergamo", &[addr(40)]);
        view.record_heartbeat(heartbeat(2, 20, 1), Millis(0));
        assert_eq!(view.rank(Millis(10)), (1, 2));
        assert_eq!(view.rank(Millis(LIVENESS_TIMEOUT_MS)), (0, 1));
        assert_eq!(view.cut_off_zones(Millis(LIVENESS_TIMEOUT_MS)), ["bergamo"]);
        let states: Vec<PeerState> = view.peers(Millis(LIVENESS_TIMEOUT_MS)).map(|p| p.1).collect();
        assert_eq!(states, [PeerState::Silent, PeerState::NeverSeen]);
        assert_eq!(
            view.record_heartbeat(heartbeat(2, 20, 2), Millis(9_000)),
            HeartbeatOutcome::Recorded(true)
        );
        assert_eq!(view.rank(Millis(9_001)), (1, 2));
    }

    #[test]
    fn an_address_that_is_no_longer_listed_is_removed() {
        let mut view = Membership::new(Incarnation(1), addr(30), "bergamo", &[addr(40)]);
        view.set_listed(&[addr(50)]);
        view.record_heartbeat(heartbeat(2, 20, 1), Millis(0));
        view.set_listed(&[]);
        view.expire(Millis(700_000));
        let known: Vec<SocketAddr> = view.peers(Millis(700_000)).map(|peer| peer.0).collect();
        assert_eq!(known, [addr(40)]);
    }

    #[test]
    fn a_successor_is_found_through_a_chain_of_handovers() {
        let mut view = Membership::new(Incarnation(1), addr(10), "bergamo", &[]);
        let handover = |from, to, port| Handover {
            from: Incarnation(from),
            to: Incarnation(to),
            to_addr: addr(port),
        };
        view.record_handover(handover(5, 6, 60), Millis(0));
        view.record_handover(handover(6, 7, 70), Millis(0));
        let successor = view.successor_of(Incarnation(5)).map(|found| found.to);
        assert_eq!(successor, Some(Incarnation(7)));
    }
}
