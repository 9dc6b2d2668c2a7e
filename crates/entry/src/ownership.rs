//! Maintains this daemon's membership in the store's group, and acquires and releases cells as the
//! store assigns the partitions to which they are mapped.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::{HeldPartition, JoinReply, Membership, StoreError};
use dispatch::clock::Millis;
use pool::arrival::{Arrival, GroupCall};
use pool::cells::{Cell, cell_of_worker, cells_of_zone, is_cell_partition};
use pool::pool::Pool;
use pool::resettle::ReleaseDecision;

use crate::protocol::{Ownership, ReleaseRequest, Reply, Request};
use crate::state::{Entry, OwnedCell, Phase};

/// Store group whose members are all daemons of an installation.
pub(crate) const GROUP: &str = "entry";
/// Prefix of the name of a zone's topic; the zone follows it.
pub(crate) const TOPIC_PREFIX: &str = "cells.";
/// Number of membership renewals within the lifetime of an ownership.
pub(crate) const RENEWALS_PER_TTL: u64 = 4;
/// Pause between two renewals while the assignment changes, in milliseconds. The store reassigns a
/// partition only after its previous holder has joined with the new generation.
const UNSETTLED_RENEWAL_INTERVAL_MS: u64 = 75;
/// Maximum number of renewals without a reply. Covers the time-out of a call to the store.
const MAX_RENEWALS_IN_FLIGHT: usize = 4;
/// Interval between two checks for renewals in flight, in milliseconds.
const RENEWAL_CHECK_INTERVAL_MS: u64 = 5;
/// Time-out for a reply of another daemon to a handover or a query for owners, in milliseconds.
pub(crate) const PEER_TIMEOUT_MS: u64 = 250;
/// Time-out for the last known owner's reply to a request to release a cell, in milliseconds. The
/// cell has no owner meanwhile if that daemon is gone.
const RELEASE_TIMEOUT_MS: u64 = 100;
/// How long a zone must be without any daemon before daemons of other zones acquire its cells, in
/// milliseconds. A zone that is only cut off keeps serving itself; the entries of its workers have
/// disappeared by then, and the cells of a zone without workers are not acquired.
const EMPTY_ZONE_DELAY_MS: u64 = 5_500;

/// State of this daemon's membership in the group.
#[derive(Debug, Default)]
pub struct GroupState {
    generation: u64,
    /// Whether the last renewal changed the generation.
    is_changing: bool,
    is_reachable: Option<bool>,
    /// Number of renewals sent.
    sent: u64,
    /// Number of the latest renewal whose reply was applied.
    applied: u64,
    /// Number of calls that join or leave the group without a reply or a failure so far.
    in_flight: usize,
    /// Whether the membership of a previous process has ended.
    arrival: Arrival,
}

impl Entry {
    /// Runs the membership loop: ends the membership of a previous process, joins, and renews the
    /// membership until the daemon drains. A call is sent even if the previous ones have got no reply
    /// yet, because the store may lose replies.
    pub async fn maintain_membership(self: Rc<Self>) {
        let regular_pause = Duration::from_millis(self.settings.ownership_ms / RENEWALS_PER_TTL);
        let short_pause = Duration::from_millis(UNSETTLED_RENEWAL_INTERVAL_MS).min(regular_pause);
        loop {
            let (is_changing, in_flight, call) = {
                let mut group = self.group.borrow_mut();
                (group.is_changing, group.in_flight, group.arrival.next_call(self.now()))
            };
            if self.phase.get() == Phase::Serving && in_flight < MAX_RENEWALS_IN_FLIGHT {
                match call {
                    GroupCall::Wait => {}
                    GroupCall::Leave => {
                        actix_rt::spawn(Rc::clone(&self).end_previous_membership());
                    }
                    GroupCall::Join => {
                        actix_rt::spawn(Rc::clone(&self).renew_membership());
                    }
                }
            }
            let pause = if is_changing { short_pause } else { regular_pause };
            let pause = actix_rt::time::sleep(pause);
            let woken = self.rejoin.notified();
            futures_util::future::select(std::pin::pin!(pause), std::pin::pin!(woken)).await;
        }
    }

    /// Records whether the store lists this daemon as a holder, which before the first join only a
    /// previous process can be.
    pub(crate) fn record_own_listing(&self, members: impl Iterator<Item = impl AsRef<str>>) {
        let own_name = self.member_name();
        let is_listed = members.into_iter().any(|member| member.as_ref() == own_name);
        self.update_arrival(|arrival| arrival.record_listing(is_listed));
        if is_listed && !self.group.borrow().arrival.is_cleared() {
            log::info!("part=ownership event=previous_process_listed member={own_name}");
        }
    }

    /// Ends the membership of a previous process, so that this one is assigned its partitions in a
    /// later generation.
    async fn end_previous_membership(self: Rc<Self>) {
        self.group.borrow_mut().in_flight += 1;
        let started_at = self.now();
        let left = self.store.leave(GROUP, &self.member_name()).await;
        self.record_store_call("leave", &left, started_at);
        {
            let mut group = self.group.borrow_mut();
            group.in_flight -= 1;
            self.record_store_reachability(&mut group, left.as_ref().err());
        }
        if left.is_ok() {
            log::info!("part=ownership event=previous_membership_ended");
            self.update_arrival(Arrival::record_left);
        }
    }

    /// Updates what is known of the previous process, and joins at once when its membership has ended.
    fn update_arrival(&self, update: impl FnOnce(&mut Arrival)) {
        let has_changed = {
            let arrival = &mut self.group.borrow_mut().arrival;
            let before = *arrival;
            update(arrival);
            before != *arrival
        };
        if has_changed {
            self.rejoin.notify_one();
        }
    }

    async fn renew_membership(self: Rc<Self>) {
        let Some(has_released) = self.renew_once().await else { return };
        // The store frees the partitions for their next holder only once this daemon has joined
        // with the new generation.
        if has_released && self.renew_once().await.is_some() {
            self.broadcast_rejoin();
        }
    }

    /// Renews the membership and applies the assignment. Returns whether any cell was released, or
    /// `None` if the assignment was not applied.
    async fn renew_once(self: &Rc<Self>) -> Option<bool> {
        let sent_at = self.now();
        let number = {
            let mut group = self.group.borrow_mut();
            group.sent += 1;
            group.in_flight += 1;
            group.sent
        };
        let joined = self.join().await;
        {
            let mut group = self.group.borrow_mut();
            group.in_flight -= 1;
            if number <= group.applied {
                return None;
            }
            self.record_store_reachability(&mut group, joined.as_ref().err());
            let is_serving = self.phase.get() == Phase::Serving;
            let Some(joined) = joined.as_ref().ok().filter(|_| is_serving) else {
                group.is_changing = false;
                return None;
            };
            group.applied = number;
            group.is_changing = joined.generation != group.generation;
            group.generation = joined.generation;
            if group.is_changing {
                log_assignment(joined);
                self.balance.borrow_mut().record_assignment(self.now());
                self.owners_changed.notify_one();
            }
        }
        self.keep_cells_after_lapse(sent_at);
        joined.ok().map(|joined| self.apply_assignment(&joined))
    }

    /// Waits until no renewal is in flight, so that none of them rejoins a group that this daemon
    /// leaves.
    pub async fn finish_renewals(&self) {
        while self.group.borrow().in_flight > 0 {
            actix_rt::time::sleep(Duration::from_millis(RENEWAL_CHECK_INTERVAL_MS)).await;
        }
    }

    async fn join(&self) -> Result<JoinReply, StoreError> {
        let member = self.member_name();
        let topics: Vec<String> = self.zones_to_serve().iter().map(|zone| topic_of(zone)).collect();
        let membership = Membership {
            group: GROUP,
            member: &member,
            topics: &topics,
            ttl_ms: self.settings.ownership_ms,
            generation: self.group.borrow().generation,
        };
        let started_at = self.now();
        let joined = self.store.join(&membership).await;
        self.record_store_call("join", &joined, started_at);
        joined
    }

    /// Records whether the store is reachable, and logs when that changes.
    fn record_store_reachability(&self, group: &mut GroupState, error: Option<&StoreError>) {
        let is_reachable = error.is_none();
        self.is_store_reachable.set(is_reachable);
        if group.is_reachable.replace(is_reachable) == Some(is_reachable) {
            return;
        }
        match error {
            None => log::info!("part=ownership event=store_regained"),
            Some(error) => log::warn!("part=ownership event=store_lost why=\"{error}\""),
        }
    }

    /// Records the result and the duration of a store call in the metrics.
    pub fn record_store_call<T>(
        &self,
        call: &str,
        result: &Result<T, StoreError>,
        started_at: Millis,
    ) {
        let result = match result {
            Ok(_) => "ok",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::Lost) => "lost",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::Unreadable) => "unreadable",
        };
        self.metrics.store_calls.with_label_values(&[call, result]).inc();
        self.metrics.store_latency_s.observe(self.now().since(started_at) as f64 / 1_000.0);
    }

    /// Returns the name of this daemon in the group. It contains the address and the capacity, if
    /// known, so that other daemons can be discovered from the store's list of members. A restarted
    /// process has the same name, so that it can end the membership of its predecessor.
    fn member_name(&self) -> String {
        let capacity = self.settings.capacity_millicores().map(|capacity| format!("|{capacity}"));
        let (addr, zone) = (self.settings.advertised, &self.settings.zone);
        format!("{addr}|{zone}{}", capacity.unwrap_or_default())
    }

    fn zones_to_serve(&self) -> BTreeSet<String> {
        let now = self.now();
        let mut zones = BTreeSet::from([self.settings.zone.clone()]);
        for (zone, since) in &*self.empty_zones_since.borrow() {
            let has_workers = self.worker_count(zone) > 0;
            if has_workers && now.since(*since) >= EMPTY_ZONE_DELAY_MS {
                zones.insert(zone.clone());
            }
        }
        zones
    }

    /// Acquires cells that are newly assigned and releases those that no longer are. Returns
    /// whether any cell was released.
    fn apply_assignment(self: &Rc<Self>, joined: &JoinReply) -> bool {
        let partitions = self.settings.partitions;
        let may_own = |held: &HeldPartition| is_cell_partition(held.partition, partitions);
        let may_be_chosen = self.balance.borrow().may_be_chosen(&self.zone());
        let owns_any = !self.owned.borrow().is_empty();
        self.set_may_own(joined.held.iter().any(may_own) || owns_any || may_be_chosen);
        let assigned = self.assigned_cells(&joined.held);
        self.assignment.replace((joined.generation, assigned.clone()));
        self.retain_held_delegations();
        let before: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
        let now = self.now();
        let is_handed_over =
            |cell: &Cell| self.handover_until.borrow().get(cell).is_some_and(|until| now < *until);
        let is_lost = |cell: &Cell| !assigned.contains(cell) && !is_handed_over(cell);
        let lost: Vec<Cell> = before.into_iter().filter(is_lost).collect();
        for cell in &lost {
            self.release_cell(cell, "dealt_away");
        }
        for cell in assigned {
            self.acquire_cell(cell, joined.generation);
        }
        !lost.is_empty()
    }

    /// Returns the cells of the held partitions. Empty while the worker counts are unknown: with
    /// one cell for the zone, its owner would attract the jobs of all cells. Also empty while it is
    /// unknown which zones are evacuated: the owner would start tasks in them.
    fn assigned_cells(&self, held: &[HeldPartition]) -> BTreeSet<Cell> {
        if !self.knows_worker_counts() || !self.knows_evacuations.get() {
            return BTreeSet::new();
        }
        let held: BTreeSet<(&str, u32)> =
            held.iter().map(|held| (held.topic.as_str(), held.partition)).collect();
        let mut assigned = BTreeSet::new();
        for zone in self.known_zones() {
            let topic = topic_of(&zone);
            let cells = self.cells_in(&zone).into_iter();
            assigned.extend(cells.filter(|cell| held.contains(&(topic.as_str(), cell.partition))));
        }
        assigned
    }

    pub(crate) fn known_zones(&self) -> BTreeSet<String> {
        let zones = self.settings.zones.iter().cloned();
        zones.chain([self.settings.zone.clone()]).collect()
    }

    /// Returns the cells of a zone, by the number of its workers that is known here.
    pub fn cells_in(&self, zone: &str) -> Vec<Cell> {
        cells_of_zone(zone, self.worker_count(zone), self.settings.partitions)
    }

    fn acquire_cell(self: &Rc<Self>, cell: Cell, generation: u64) {
        if self.owned.borrow().contains_key(&cell)
            || self.delegations.borrow().contains_key(&cell)
            || self.requested_cells.borrow().contains(&cell)
            || self.token_for(&cell, generation).is_none()
        {
            return;
        }
        let last_owner = self.owners.borrow().remote_owner(&cell);
        let last_owner = last_owner.filter(|addr| self.is_responsive(*addr));
        let next_owner = self.owner_for(&cell, None);
        if last_owner.is_none() && next_owner == self.settings.advertised {
            self.start_assigned(cell, generation, "dealt");
            return;
        }
        self.requested_cells.borrow_mut().insert(cell.clone());
        match last_owner {
            None => {
                let entry = Rc::clone(self);
                actix_rt::spawn(async move {
                    entry.delegate_or_own(&cell, next_owner, "dealt").await;
                    entry.requested_cells.borrow_mut().remove(&cell);
                });
            }
            Some(owner) if self.should_keep_owner(&cell, owner) => {
                actix_rt::spawn(Rc::clone(self).keep_owner(cell, owner));
            }
            Some(owner) => {
                actix_rt::spawn(Rc::clone(self).request_cell(cell, owner, generation));
            }
        }
    }

    /// Acquires a cell after its last known owner has released it, or does not reply. A cell that
    /// its owner keeps is requested again at the next renewal.
    async fn request_cell(self: Rc<Self>, cell: Cell, owner: SocketAddr, generation: u64) {
        let is_settling = self.resettlement.borrow().is_settling(self.now());
        let request = ReleaseRequest { cell: cell.clone(), generation, is_settling };
        let request = Request::ReleaseCell(request);
        let reply = self.links.call(owner, request, RELEASE_TIMEOUT_MS).await;
        self.requested_cells.borrow_mut().remove(&cell);
        let is_assigned = self.assignment.borrow().1.contains(&cell);
        if self.phase.get() != Phase::Serving || !is_assigned {
            return;
        }
        let how = match reply {
            Ok(Reply::KeepsCell) => {
                log::info!("part=ownership event=cell_kept cell={cell} owner={owner}");
                return;
            }
            Ok(_) => "released",
            Err(_) => "no_reply",
        };
        if !self.owned.borrow().contains_key(&cell) {
            self.start_assigned(cell, generation, how);
        }
    }

    /// Replies to a daemon to which the store has assigned a cell that this daemon may still own.
    pub fn release_on_request(self: &Rc<Self>, request: &ReleaseRequest) -> Reply {
        let cell = &request.cell;
        let token = self.owned.borrow().get(cell).map(|owned| owned.pool.token());
        let Some(token) = token else { return Reply::NotOwner };
        let confirmed = {
            let assignment = self.assignment.borrow();
            assignment.1.contains(cell).then_some(assignment.0)
        };
        let is_settling = request.is_settling || self.resettlement.borrow().is_settling(self.now());
        let decision =
            ReleaseDecision { generation: request.generation, token, confirmed, is_settling };
        if !decision.is_granted() {
            return Reply::KeepsCell;
        }
        self.release_cell(cell, "requested");
        Reply::NotOwner
    }

    /// Keeps the owned cells for a while if the membership had lapsed before this renewal.
    fn keep_cells_after_lapse(&self, sent_at: Millis) {
        let now = self.now();
        let Some(until) = self.resettlement.borrow_mut().record_renewal(sent_at, now) else {
            return;
        };
        let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
        let kept_ms = until.since(now);
        log::info!("part=ownership event=cells_kept cells={} for_ms={kept_ms}", cells.len());
        self.handover_until.borrow_mut().extend(cells.into_iter().map(|cell| (cell, until)));
    }

    /// Acquires a cell that the store has assigned with this generation. Refused when the membership
    /// has run out since, because this process was paused.
    pub(crate) fn start_assigned(self: &Rc<Self>, cell: Cell, generation: u64, how: &str) {
        let Some(token) = self.token_for(&cell, generation) else { return };
        let now = self.now();
        if !self.resettlement.borrow().is_member(now) {
            log::warn!("part=ownership event=assignment_expired cell={cell} token={token}");
            self.metrics.cells.with_label_values(&["expired"]).inc();
            return;
        }
        self.record_issued(&cell, token, now);
        self.start_ownership(cell, token, how, None);
    }

    pub(crate) fn start_ownership(
        self: &Rc<Self>,
        cell: Cell,
        token: u64,
        how: &str,
        holder: Option<SocketAddr>,
    ) {
        let mut pool = Pool::new(token).with_crashes(self.crashes.borrow().clone());
        pool.record_io(self.io_at.get());
        self.apply_start_limits(&cell, &mut pool);
        log::info!("part=ownership event=cell_gained cell={cell} token={token} how={how}");
        self.metrics.cells.with_label_values(&["gained"]).inc();
        let owned = OwnedCell { serial: self.allocate_serial(), pool, holder };
        self.owned.borrow_mut().insert(cell.clone(), owned);
        self.restore_speeds(&cell);
        self.refresh_workers(&cell);
        let addr = self.settings.advertised;
        self.broadcast(&Request::AnnounceOwner(Ownership { cell, addr, token }, holder));
    }

    /// Announces all owned cells to the other daemons.
    pub fn announce_owned_cells(self: &Rc<Self>) {
        let addr = self.settings.advertised;
        let announce = |(cell, owned): (&Cell, &OwnedCell)| {
            let ownership = Ownership { cell: cell.clone(), addr, token: owned.pool.token() };
            Request::AnnounceOwner(ownership, owned.holder)
        };
        let announcements: Vec<Request> = self.owned.borrow().iter().map(announce).collect();
        for announcement in &announcements {
            self.broadcast(announcement);
        }
    }

    /// Takes over a cell from a daemon that shuts down and cannot reach the store, in the same step
    /// of the generation but under a higher token than its orders had.
    pub fn accept_handover(self: &Rc<Self>, cell: Cell, token: u64) -> Reply {
        if !self.can_take_over(&cell, token) {
            return Reply::NotOwner;
        }
        self.extend_handover(&cell);
        self.start_ownership(cell, token, "handed", None);
        Reply::TakenOver
    }

    /// Hands over a released cell to the first other daemon of its zone that accepts it. One whose
    /// reply is lost may own the cell, so that the next one gets the next one of `tokens`.
    pub async fn hand_over(self: &Rc<Self>, cell: Cell, mut tokens: impl Iterator<Item = u64>) {
        let peers = self.peers.borrow().clone();
        let own_zone = peers.iter().filter(|(_, zone)| **zone == *cell.zone);
        let mut next = tokens.next();
        for (addr, _) in own_zone {
            let Some(token) = next else {
                log::warn!("part=ownership event=hand_over_ended cell={cell} why=no_token");
                return;
            };
            let request = Request::TakeOver(cell.clone(), token);
            match self.links.call(*addr, request, PEER_TIMEOUT_MS).await {
                Ok(Reply::TakenOver) => {
                    log::info!("part=ownership event=cell_handed cell={cell} to={addr}");
                    self.record_owner(&Ownership { cell: cell.clone(), addr: *addr, token }, None);
                    return;
                }
                Ok(_) => {}
                Err(error) => {
                    log::info!("part=ownership event=hand_over_failed cell={cell} why=\"{error}\"");
                    next = tokens.next();
                }
            }
        }
    }

    /// Releases a cell. Its runs continue under their leases, so that the next owner can adopt
    /// them.
    pub fn release_cell(self: &Rc<Self>, cell: &Cell, why: &str) {
        let token = {
            let now = self.now();
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            owned.pool.renew_all_leases(now);
            owned.pool.token()
        };
        self.perform_actions(cell);
        if let Some(owned) = self.owned.borrow_mut().get_mut(cell) {
            owned.pool.relinquish();
        }
        log::info!("part=ownership event=cell_lost cell={cell} token={token} why={why}");
        self.metrics.cells.with_label_values(&[why]).inc();
        self.remove_cell(cell);
    }

    /// Drops a cell after a worker has rejected this daemon's fencing token in favour of a later
    /// owner's, and triggers a rejoin.
    pub fn release_fenced_cell(self: &Rc<Self>, cell: &Cell, token: u64) {
        if !self.owned.borrow().contains_key(cell) {
            return;
        }
        log::warn!("part=ownership event=cell_lost cell={cell} token={token} why=fenced");
        self.metrics.cells.with_label_values(&["fenced"]).inc();
        self.fenced.borrow_mut().insert(cell.clone(), (token, self.now()));
        self.remove_cell(cell);
        self.query_zone_for_owners();
        self.rejoin.notify_one();
    }

    fn remove_cell(self: &Rc<Self>, cell: &Cell) {
        let Some(mut owned) = self.owned.borrow_mut().remove(cell) else { return };
        self.keep_speeds(cell, owned.pool.speeds());
        for action in owned.pool.take_actions() {
            if let pool::pool::Action::Answer(number, outcome) = action
                && let Some(sender) =
                    self.outcome_senders.borrow_mut().remove(&(owned.serial, number))
            {
                let _ = sender.send(outcome);
            }
        }
        self.owners.borrow_mut().remove(cell);
    }

    /// Updates the workers of an owned cell's pool from the directory. Does nothing until the
    /// directory is complete: with part of the workers, the number of cells would be too low, and
    /// workers of other cells would be assigned to this one.
    pub fn refresh_workers(self: &Rc<Self>, cell: &Cell) {
        if !self.knows_workers.get() {
            return;
        }
        let now = self.now_after_stall_check();
        let cells = self.cells_in(&cell.zone);
        {
            self.directory.borrow_mut().count_down(now);
            let directory = self.directory.borrow();
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            let of_cell = directory.iter().filter(|(id, entry)| {
                let number = cell_of_worker(id, cells.len() as u32) as usize;
                entry.zone == cell.zone && cells.get(number) == Some(cell)
            });
            owned.pool.set_workers(now, of_cell);
        }
        self.perform_actions(cell);
    }

    /// Updates the workers of every owned cell after the directory has changed.
    pub fn refresh_all_workers(self: &Rc<Self>) {
        let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
        for cell in &cells {
            self.refresh_workers(cell);
        }
    }

    /// Leaves the group, so that the store reassigns this daemon's partitions at once.
    pub async fn leave_group(&self) {
        let left = self.store.leave(GROUP, &self.member_name()).await;
        if let Err(error) = left {
            log::warn!("part=ownership event=leave_failed why=\"{error}\"");
        }
    }

    /// Requests the other daemons of this zone, one of which gets a released partition, to rejoin
    /// the group at once.
    pub fn broadcast_rejoin(self: &Rc<Self>) {
        self.broadcast_to(&Request::Rejoin, |zone| zone == self.settings.zone);
    }

    pub(crate) fn broadcast(self: &Rc<Self>, request: &Request) {
        self.broadcast_to(request, |_| true);
    }

    fn broadcast_to(self: &Rc<Self>, request: &Request, has_zone: impl Fn(&str) -> bool) {
        let peers = self.peers.borrow();
        for (addr, _) in peers.iter().filter(|(_, zone)| has_zone(zone.as_str())) {
            let addr = *addr;
            let (entry, request) = (Rc::clone(self), request.clone());
            actix_rt::spawn(async move {
                if let Err(error) = entry.links.notify(addr, request).await {
                    log::info!("part=ownership event=announce_failed why=\"{error}\"");
                }
            });
        }
    }
}

/// Logs the partitions of a new assignment. Not all of them are mapped to cells.
fn log_assignment(joined: &JoinReply) {
    let partition = |held: &HeldPartition| format!("{}/{}", held.topic, held.partition);
    let held: Vec<String> = joined.held.iter().map(partition).collect();
    log::info!(
        "part=ownership event=assigned generation={} partitions={}",
        joined.generation,
        held.join(",")
    );
}

fn topic_of(zone: &str) -> String {
    format!("{TOPIC_PREFIX}{zone}")
}
