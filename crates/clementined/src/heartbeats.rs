//! Sends and receives heartbeats, and passes membership changes to the engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::engine::Event;
use dispatch::membership::{Heartbeat, HeartbeatOutcome, Peer};
use dispatch::shares::PeerLoad;
use dispatch::ticket::Incarnation;

use crate::daemon::{Daemon, Phase};

/// Daemons in other zones are sent one of this many heartbeats.
const CROSS_ZONE_HEARTBEAT_INTERVAL: u64 = 2;
const MAX_HANDOVERS_PER_HEARTBEAT: usize = 8;
const MAX_EJECTED_WORKERS_PER_HEARTBEAT: usize = 8;

impl Daemon {
    /// Sends heartbeats and detects departed daemons periodically, until the process exits.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut previously_live: BTreeSet<Incarnation> = BTreeSet::new();
        let mut count = 0;
        loop {
            count += 1;
            self.send_heartbeat(count, count % CROSS_ZONE_HEARTBEAT_INTERVAL == 1).await;
            self.detect_departures(&mut previously_live);
            actix_rt::time::sleep(Duration::from_millis(self.config.heartbeat_ms)).await;
        }
    }

    /// Receives heartbeats until the process exits.
    pub async fn receive_heartbeats(self: Rc<Self>) {
        loop {
            let heartbeat = self.heartbeats.receive().await;
            let now = self.now();
            let outcome = self.membership.borrow_mut().record_heartbeat(heartbeat.clone(), now);
            match outcome {
                HeartbeatOutcome::Recorded(changed) => self.process_heartbeat(&heartbeat, changed),
                HeartbeatOutcome::Ignored => self.traffic.count_dropped(),
            }
        }
    }

    /// Sends one heartbeat to the daemons in the same zone and, if `include_other_zones` is set, to
    /// all others.
    pub async fn send_heartbeat(&self, count: u64, include_other_zones: bool) {
        let (idle, queued) = self.engine.borrow().load();
        let now = self.now();
        let handovers = self.membership.borrow_mut().next_handovers(MAX_HANDOVERS_PER_HEARTBEAT);
        let offset = self
            .follower
            .borrow()
            .state()
            .map_or(0, dispatch::catalogue::CatalogueState::next_offset);
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            sequence: sequence_number(now.0, count),
            addr: self.config.peers,
            operators: self.config.operators,
            zone: self.config.zone.clone(),
            draining: self.phase.get() != Phase::Serving,
            catalogue_offset: offset,
            log_reached: self.reaches_log(),
            idle,
            queued,
            handovers,
            ejected_workers: self
                .engine
                .borrow()
                .ejected_workers(MAX_EJECTED_WORKERS_PER_HEARTBEAT),
        };
        let to: Vec<(SocketAddr, bool)> = {
            let membership = self.membership.borrow();
            let is_in_other_zone =
                |peer: Option<&Peer>| peer.is_some_and(|p| p.last_heartbeat.zone != heartbeat.zone);
            membership.peers(now).map(|(addr, _, peer)| (addr, is_in_other_zone(peer))).collect()
        };
        let to: Vec<(SocketAddr, bool)> =
            to.into_iter().filter(|(_, cross_zone)| include_other_zones || !cross_zone).collect();
        let cross_zone = to.iter().filter(|(_, cross_zone)| *cross_zone).count() as u64;
        self.cross_zone_peer_messages.set(self.cross_zone_peer_messages.get() + cross_zone);
        let to: Vec<SocketAddr> = to.into_iter().map(|(addr, _)| addr).collect();
        self.heartbeats.send(&heartbeat, &to).await;
    }

    fn process_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat, changed: bool) {
        let same_zone = heartbeat.zone == self.config.zone;
        let load = PeerLoad {
            zone: heartbeat.zone.clone(),
            idle: heartbeat.idle,
            queued: heartbeat.queued,
        };
        if !heartbeat.draining {
            self.process_event(Event::PeerLoad { peer: heartbeat.incarnation, load });
        }
        for addr in &heartbeat.ejected_workers {
            self.process_event(Event::EjectedByPeer(*addr));
        }
        if changed {
            log::info!(
                "membership: Daemon {} at {} is live.",
                heartbeat.incarnation,
                heartbeat.addr
            );
            if same_zone {
                self.update_rank();
            }
        }
        self.catch_up_from_peer(heartbeat);
    }

    fn detect_departures(self: &Rc<Self>, previously_live: &mut BTreeSet<Incarnation>) {
        let now = self.now();
        self.membership.borrow_mut().expire(now);
        let live: BTreeSet<Incarnation> = {
            let membership = self.membership.borrow();
            let serving = membership.live(now).filter(|peer| !peer.last_heartbeat.draining);
            serving.map(|peer| peer.last_heartbeat.incarnation).collect()
        };
        let departed: Vec<Incarnation> = previously_live.difference(&live).copied().collect();
        for peer in &departed {
            log::warn!("membership: Daemon {peer} is silent or draining.");
            self.offered_tables.borrow_mut().remove(peer);
            self.process_event(Event::PeerGone(*peer));
        }
        if !departed.is_empty() {
            self.update_rank();
        }
        *previously_live = live;
    }

    fn update_rank(self: &Rc<Self>) {
        let (rank, count) = self.membership.borrow().rank(self.now());
        self.process_event(Event::Rank { rank, count });
    }
}

/// Returns the sequence number of a heartbeat. The clock makes up its high part, so that final
/// heartbeats, which have a counter of their own, still increase the sequence.
const fn sequence_number(now_ms: u64, count: u64) -> u64 {
    now_ms * 1_024 + count % 1_024
}
