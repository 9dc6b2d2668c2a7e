//! Transfer of worker slots between daemons.
//!
//! A daemon with waiting tasks and no free slot requests slots from one peer. The peer transfers
//! free slots permanently, either at once or when some become free. The worker itself decides
//! whether a task starts, so a wrong slot count costs one refused start and nothing else. See
//! `docs/design/upstreams.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ticket::Incarnation;

/// Request for slots, sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number of slots that the requester would use at once.
    pub want: u32,
    /// Time in milliseconds since the earliest due time of the requester's waiting tasks.
    pub waited_ms: u64,
}

/// Permanent transfer of slots to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotGrant {
    /// Address of each worker and the number of its slots that are transferred.
    pub slots: Vec<(SocketAddr, u32)>,
    /// Number of free slots that the sender has left.
    pub idle_left: u32,
}

/// Load of a peer, from its heartbeats and grants.
#[derive(Clone, Debug)]
pub struct PeerLoad {
    /// Availability zone of the peer.
    pub zone: String,
    /// Number of free slots, as last reported. Set to zero when a request is sent to the peer or
    /// received from it, until the peer reports again.
    pub idle: u32,
    /// Number of waiting tasks, as last reported.
    pub queued: u32,
}

/// Demand for slots of a daemon that has no free slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotDemand {
    /// Number of waiting tasks that are due, or that would start late on the daemon's own slots.
    pub queued: u32,
    /// Time in milliseconds since the earliest due time of the waiting tasks.
    pub waited_ms: u64,
    /// Time in milliseconds that the daemon's own slots would take to start all of these tasks.
    pub drain_ms: u64,
}

/// Pending request that was received from a peer.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    want: u32,
    since: Millis,
    until: Millis,
}

/// Backoff after a request was sent to a peer; no other is sent to it before `until`.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    delay_ms: u64,
}

/// Decides when and from which peer to request slots, and to which peer to grant them.
#[derive(Debug)]
pub struct Shares {
    zone: String,
    spill_ms: u64,
    loads: BTreeMap<Incarnation, PeerLoad>,
    pending_requests: BTreeMap<Incarnation, PendingRequest>,
    backoffs: BTreeMap<Incarnation, Backoff>,
    last_request_at: Millis,
}

/// Time for which a received request stays pending, and the first backoff after a sent request.
const REQUEST_TTL_MS: u64 = 100;
/// Maximum backoff between two requests to a peer that granted nothing.
const MAX_BACKOFF_MS: u64 = 1_600;
/// Minimum interval between two requests of one daemon.
const REQUEST_INTERVAL_MS: u64 = 5;
/// Wait from which slots are requested from daemons of the same zone, in milliseconds.
const SAME_ZONE_WAIT_MS: u64 = 8;
/// Minimum time by which a peer's wait must exceed that of the daemon's own first task for the
/// daemon to grant a slot while its own tasks wait.
const FAIR_MARGIN_MS: u64 = 40;
/// Divisor of the peer's wait that yields the same margin where that is longer.
const FAIR_MARGIN_DIVISOR: u64 = 4;
/// Maximum number of slots in one request.
const MAX_REQUESTED_SLOTS: u32 = 64;

impl Shares {
    /// Creates the state of a daemon in `zone` that requests slots from other zones once the wait
    /// reaches `spill_ms`.
    pub fn new(zone: &str, spill_ms: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            spill_ms,
            loads: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            last_request_at: Millis(0),
        }
    }

    /// Records the load that a peer reported.
    pub fn record_load(&mut self, peer: Incarnation, load: PeerLoad) {
        if load.idle > 0 {
            self.backoffs.remove(&peer);
        }
        self.loads.insert(peer, load);
    }

    /// Removes a peer that has left or failed.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.loads.remove(&peer);
        self.pending_requests.remove(&peer);
        self.backoffs.remove(&peer);
    }

    /// Returns whether enough time has passed since the last request to send another.
    pub const fn may_request(&self, now: Millis) -> bool {
        now.since(self.last_request_at) >= REQUEST_INTERVAL_MS
    }

    /// Chooses a peer to request slots from, and returns it with the request to send; `None` if
    /// no request should be sent now.
    ///
    /// Peers with free slots come first, then peers of the same zone, then those with the most
    /// free slots and the shortest queues.
    pub fn choose_peer(
        &mut self,
        demand: &SlotDemand,
        now: Millis,
    ) -> Option<(Incarnation, SlotRequest)> {
        let wait_ms = demand.waited_ms + demand.drain_ms;
        if !self.may_request(now) || wait_ms < SAME_ZONE_WAIT_MS.min(self.spill_ms) {
            return None;
        }
        let cross_zone = wait_ms >= self.spill_ms;
        let candidates = self.loads.iter().filter(|(peer, load)| {
            let backing_off = self.backoffs.get(peer).is_some_and(|backoff| backoff.until > now);
            !backing_off && (cross_zone || load.zone == self.zone)
        });
        let (peer, _) = candidates.max_by_key(|(peer, load)| {
            let same_zone = load.zone == self.zone;
            (load.idle > 0, same_zone, load.idle, std::cmp::Reverse(load.queued), **peer)
        })?;
        let peer = *peer;
        let previous_ms =
            self.backoffs.get(&peer).map_or(REQUEST_TTL_MS / 2, |backoff| backoff.delay_ms);
        let delay_ms = (previous_ms * 2).min(MAX_BACKOFF_MS);
        self.backoffs.insert(peer, Backoff { until: now.plus(delay_ms), delay_ms });
        self.last_request_at = now;
        if let Some(load) = self.loads.get_mut(&peer) {
            load.idle = 0;
        }
        let want = demand.queued.clamp(1, MAX_REQUESTED_SLOTS);
        Some((peer, SlotRequest { want, waited_ms: demand.waited_ms }))
    }

    /// Records how many free slots the sender of a grant has left. Where it has any, its backoff
    /// ends.
    pub fn accept_grant(&mut self, from: Incarnation, idle_left: u32) {
        if idle_left > 0 {
            self.backoffs.remove(&from);
        }
        if let Some(load) = self.loads.get_mut(&from) {
            load.idle = idle_left;
        }
    }

    /// Records a request from a peer, which stays pending for a limited time. A peer that requests
    /// slots has none free itself.
    pub fn record_request(&mut self, peer: Incarnation, request: &SlotRequest, now: Millis) {
        let since = Millis(now.0.saturating_sub(request.waited_ms));
        let until = now.plus(REQUEST_TTL_MS);
        self.pending_requests.insert(peer, PendingRequest { want: request.want, since, until });
        if let Some(load) = self.loads.get_mut(&peer) {
            load.idle = 0;
        }
    }

    /// Chooses the peer to grant slots to and how many of the `free` ones: the pending request
    /// with the longest wait is served first.
    ///
    /// `own_oldest` is the earliest due time of this daemon's own waiting tasks, or `None` if no
    /// tasks wait. Without waiting tasks the grant covers the request and half of the free slots
    /// beyond it; otherwise it is one slot, and only if the peer has waited for longer by a margin.
    pub fn choose_recipient(
        &mut self,
        free: u64,
        own_oldest: Option<Millis>,
        now: Millis,
    ) -> Option<(Incarnation, u32)> {
        self.pending_requests.retain(|_, request| request.until >= now);
        let (peer, request) =
            self.pending_requests.iter().min_by_key(|(_, request)| request.since)?;
        let margin_ms = FAIR_MARGIN_MS.max(now.since(request.since) / FAIR_MARGIN_DIVISOR);
        let may_grant = own_oldest.is_none_or(|own| own.since(request.since) > margin_ms);
        if free == 0 || !may_grant {
            return None;
        }
        let surplus = (free as u32).saturating_sub(request.want) / 2;
        let count = if own_oldest.is_none() { request.want + surplus } else { 1 };
        let (peer, count) = (*peer, count.min(free as u32));
        self.pending_requests.remove(&peer);
        Some((peer, count))
    }

    /// Returns the peer to which the slots of a zone are returned: the one in that zone with the
    /// fewest free slots.
    pub fn return_peer(&self, zone: &str) -> Option<Incarnation> {
        let in_zone = self.loads.iter().filter(|(_, load)| load.zone == zone);
        in_zone.min_by_key(|(_, load)| load.idle).map(|(peer, _)| *peer)
    }

    /// Returns the zone of a peer, or `None` if its load is not known.
    pub fn zone_of(&self, peer: Incarnation) -> Option<&str> {
        self.loads.get(&peer).map(|load| load.zone.as_str())
    }

    /// Returns whether requests from peers are pending.
    pub fn has_pending_requests(&self) -> bool {
        !self.pending_requests.is_empty()
    }
}
