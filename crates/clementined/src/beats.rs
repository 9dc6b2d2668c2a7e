//! Sends and hears heartbeats, and acts on changes among the daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::engine::Event;
use dispatch::membership::{Heartbeat, HeartbeatOutcome, Peer};
use dispatch::shares::PeerLoad;
use dispatch::ticket::Incarnation;

use crate::daemon::{Daemon, Phase};

/// Daemons of other zones get every so-many-th heartbeat.
const FAR_BEAT_EVERY: u64 = 2;
const INHERITANCES_TOLD: usize = 8;
const ASIDE_TOLD: usize = 8;

impl Daemon {
    /// Sends heartbeats until the process ends.
    pub async fn send_beats(self: Rc<Self>) {
        let mut seen: BTreeSet<Incarnation> = BTreeSet::new();
        let mut count = 0;
        loop {
            count += 1;
            self.send_beat(count, count % FAR_BEAT_EVERY == 1).await;
            self.notice_changes(&mut seen);
            actix_rt::time::sleep(Duration::from_millis(self.config.heartbeat_ms)).await;
        }
    }

    /// Hears heartbeats until the process ends.
    pub async fn hear_beats(self: Rc<Self>) {
        loop {
            let beat = self.beats.receive().await;
            let now = self.now();
            let heard = self.membership.borrow_mut().record_heartbeat(beat.clone(), now);
            match heard {
                HeartbeatOutcome::Recorded(changed) => self.take_news(&beat, changed),
                HeartbeatOutcome::Ignored => self.traffic.count_dropped(),
            }
        }
    }

    /// Sends one heartbeat to the daemons of the own zone, and `also_far` to all others.
    pub async fn send_beat(&self, count: u64, also_far: bool) {
        let (idle, queued) = self.engine.borrow().load();
        let now = self.now();
        let handovers = self.membership.borrow_mut().next_handovers(INHERITANCES_TOLD);
        let offset = self
            .follower
            .borrow()
            .state()
            .map_or(0, dispatch::catalogue::CatalogueState::next_offset);
        let beat = Heartbeat {
            incarnation: self.incarnation,
            sequence: count_of(now.0, count),
            addr: self.config.peers,
            operators: self.config.operators,
            zone: self.config.zone.clone(),
            draining: self.phase.get() != Phase::Serving,
            catalogue_offset: offset,
            log_reached: self.reaches_log(),
            idle,
            queued,
            handovers,
            ejected_workers: self.engine.borrow().ejected_workers(ASIDE_TOLD),
        };
        let to: Vec<(SocketAddr, bool)> = {
            let membership = self.membership.borrow();
            let is_far =
                |peer: Option<&Peer>| peer.is_some_and(|p| p.last_heartbeat.zone != beat.zone);
            membership.peers(now).map(|(addr, _, peer)| (addr, is_far(peer))).collect()
        };
        let to: Vec<(SocketAddr, bool)> =
            to.into_iter().filter(|(_, far)| also_far || !far).collect();
        let far = to.iter().filter(|(_, far)| *far).count() as u64;
        self.far_peer_messages.set(self.far_peer_messages.get() + far);
        let to: Vec<SocketAddr> = to.into_iter().map(|(addr, _)| addr).collect();
        self.beats.send(&beat, &to).await;
    }

    fn take_news(self: &Rc<Self>, beat: &Heartbeat, changed: bool) {
        let own_zone = beat.zone == self.config.zone;
        let load = PeerLoad { zone: beat.zone.clone(), idle: beat.idle, queued: beat.queued };
        if !beat.draining {
            self.drive(Event::PeerLoad { peer: beat.incarnation, load });
        }
        for addr in &beat.ejected_workers {
            self.drive(Event::EjectedByPeer(*addr));
        }
        if changed {
            log::info!("membership: {} at {} is live.", beat.incarnation, beat.addr);
            if own_zone {
                self.take_rank();
            }
        }
        self.catch_up_from(beat);
    }

    fn notice_changes(self: &Rc<Self>, seen: &mut BTreeSet<Incarnation>) {
        let now = self.now();
        self.membership.borrow_mut().expire(now);
        let live: BTreeSet<Incarnation> = {
            let membership = self.membership.borrow();
            let serving = membership.live(now).filter(|peer| !peer.last_heartbeat.draining);
            serving.map(|peer| peer.last_heartbeat.incarnation).collect()
        };
        let gone: Vec<Incarnation> = seen.difference(&live).copied().collect();
        for peer in &gone {
            log::warn!("membership: {peer} is silent or leaves.");
            self.offered.borrow_mut().remove(peer);
            self.drive(Event::PeerGone(*peer));
        }
        if !gone.is_empty() {
            self.take_rank();
        }
        *seen = live;
    }

    fn take_rank(self: &Rc<Self>) {
        let (rank, count) = self.membership.borrow().rank(self.now());
        self.drive(Event::Rank { rank, count });
    }
}

/// Heartbeats sent out of turn must still count up, so the clock leads the count.
const fn count_of(now_ms: u64, count: u64) -> u64 {
    now_ms * 1_024 + count % 1_024
}
