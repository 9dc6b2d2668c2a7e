//! Delegates cells whose partitions this daemon holds to daemons of its zone that can carry more,
//! and owns cells that other holders have delegated to this daemon.
//!
//! Only the holder issues fencing tokens, so that two owners never have the same one. See
//! `docs/design/balance.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::clock::Millis;
use peers::links::LinkError;
use pool::balance::{MeasuredLoad, Member, Move, SAMPLE_INTERVAL_MS, Zone, ZoneCell};
use pool::cells::Cell;
use pool::owners::Claim;
use pool::tokens::{generation_of, next_token};
use rustix::time::{ClockId, clock_gettime};

use crate::ownership::{PEER_TIMEOUT_MS, RENEWALS_PER_TTL};
use crate::protocol::{DelegationRequest, DelegationStep, Ownership, Reply, Request};
use crate::state::{Entry, OwnedCell, Phase};

/// Time-out for the reply to an offer or transfer of a cell, in milliseconds. During a transfer the
/// cell has no owner.
const TRANSFER_TIMEOUT_MS: u64 = 150;
/// How often a transfer is sent until it has a reply. A daemon that has taken the cell confirms it
/// again.
const TRANSFER_ATTEMPTS: u32 = 2;
/// Consecutive renewals without a reply after which the holder takes the cell back.
const MAX_FAILED_RENEWALS: u32 = 2;
/// Pause before a failed renewal is repeated, in milliseconds.
const RENEWAL_RETRY_MS: u64 = 50;
/// How long a daemon that was fenced off a cell leaves it alone within the same generation, in
/// milliseconds. Another owner has announced itself by then.
const FENCED_PAUSE_MS: u64 = 1_000;
/// How long the capacity of a daemon is kept that the store does not list, in milliseconds. While
/// the daemons rejoin after an outage of the store, reads 4 s apart may each lack some of them.
const CAPACITY_KEPT_MS: u64 = 10_000;
/// Minimum interval between two requests for the owners after a daemon denied a cell, in
/// milliseconds.
const OWNERS_REQUEST_INTERVAL_MS: u64 = 300;

/// A cell that this daemon holds and another daemon owns.
#[derive(Clone, Copy, Debug)]
pub struct Delegation {
    /// Address of the owner.
    pub addr: SocketAddr,
    /// Fencing token of the owner.
    pub token: u64,
    /// Whether the owner has more work than it can carry, according to its last reply.
    pub is_saturated: bool,
    /// Number of consecutive renewals without a reply.
    failures: u32,
    is_renewing: bool,
}

/// Result of asking another daemon to take over a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transfer {
    /// The daemon owns the cell under the token of the request.
    Taken,
    /// The daemon owns the cell under a higher token.
    Kept,
    /// The daemon does not own the cell.
    Refused,
    /// No reply arrived, so the daemon may own the cell.
    NoReply,
}

impl Transfer {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Kept => "kept",
            Self::Refused => "refused",
            Self::NoReply => "no_reply",
        }
    }
}

impl Entry {
    /// Renews the delegations of held cells, and moves cells to other owners. Never returns.
    pub async fn maintain_delegations(self: Rc<Self>) {
        let pause = Duration::from_millis(self.settings.ownership_ms / RENEWALS_PER_TTL);
        loop {
            actix_rt::time::sleep(pause).await;
            if self.phase.get() != Phase::Serving {
                continue;
            }
            let delegated: Vec<Cell> = self.delegations.borrow().keys().cloned().collect();
            for cell in delegated {
                actix_rt::spawn(Rc::clone(&self).renew_delegation(cell));
            }
            if let Some(chosen) = self.next_move() {
                actix_rt::spawn(Rc::clone(&self).move_cell(chosen));
            }
        }
    }

    /// Returns the cells and daemons of this daemon's zone.
    pub(crate) fn zone(&self) -> Zone {
        let own_addr = self.settings.advertised;
        let (owned, owners) = (self.owned.borrow(), self.owners.borrow());
        let delegations = self.delegations.borrow();
        let assignment = self.assignment.borrow();
        let zone_cell = |cell: Cell| {
            let delegated = delegations.get(&cell).map(|delegation| delegation.addr);
            let other = delegated.or_else(|| owners.remote_owner(&cell));
            let owner = if owned.contains_key(&cell) { Some(own_addr) } else { other };
            let is_held = assignment.1.contains(&cell);
            ZoneCell { cell, owner, is_held }
        };
        let cells = self.cells_in(&self.settings.zone).into_iter().map(zone_cell).collect();
        let capacities = self.capacities.borrow();
        let peers = self.peers.borrow();
        let member = |(addr, (capacity, _)): (&SocketAddr, &(u64, Millis))| {
            let is_own_zone = peers.get(addr).is_some_and(|zone| *zone == self.settings.zone);
            let is_saturated =
                delegations.values().any(|known| known.addr == *addr && known.is_saturated);
            let member = Member { capacity: *capacity, is_saturated };
            (is_own_zone && self.is_responsive(*addr)).then_some((*addr, member))
        };
        let own = self
            .settings
            .capacity_millicores()
            .map(|capacity| (own_addr, Member { capacity, is_saturated: self.is_saturated() }));
        let members = capacities.iter().filter_map(member).chain(own).collect();
        Zone { own_addr, cells, members }
    }

    /// Whether this daemon has measured that it has more work than it can carry.
    pub(crate) fn is_saturated(&self) -> bool {
        self.measured_load.borrow().as_ref().is_some_and(MeasuredLoad::is_saturated)
    }

    /// Measures this daemon's load, if its capacity is known. Never returns then.
    pub async fn measure_load(self: Rc<Self>) {
        let Some(capacity) = self.settings.capacity else { return };
        let (mut sampled_at, mut cpu_ms) = (self.now(), process_cpu_ms());
        let mut was_saturated = false;
        loop {
            actix_rt::time::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
            let (now, total_cpu_ms) = (self.now(), process_cpu_ms());
            let is_saturated = {
                let mut load = self.measured_load.borrow_mut();
                let load = load.get_or_insert_with(|| MeasuredLoad::new(capacity.cpu_millicores));
                load.record_sample(now.since(sampled_at), total_cpu_ms.saturating_sub(cpu_ms));
                load.is_saturated()
            };
            (sampled_at, cpu_ms) = (now, total_cpu_ms);
            if is_saturated != was_saturated {
                was_saturated = is_saturated;
                self.metrics.saturated.set(i64::from(is_saturated));
                log::info!("part=ownership event=saturation is_saturated={is_saturated}");
            }
        }
    }

    /// Returns the fencing token for the next owner of a cell that this daemon holds in a
    /// generation, or `None` if the cell must not get one now.
    ///
    /// A worker may have seen the token of another cell that it was in before, so the token after
    /// a refusal is also higher than those of the zone's other owners.
    pub(crate) fn token_for(&self, cell: &Cell, generation: u64) -> Option<u64> {
        let fenced = self.fenced.borrow().get(cell).copied();
        let owned = self.owned.borrow();
        let owners = self.owners.borrow();
        let mut used = vec![owners.token(cell)];
        used.extend(self.issued_tokens.borrow().get(cell));
        used.extend(owned.get(cell).map(|owned| owned.pool.token()));
        if let Some((token, at)) = fenced {
            if generation < generation_of(token)
                || generation == generation_of(token) && self.now().since(at) < FENCED_PAUSE_MS
            {
                return None;
            }
            used.push(token);
            let of_zone = owners.iter().filter(|(known, _)| known.zone == cell.zone);
            used.extend(of_zone.map(|(_, owner)| owner.claim.token));
            let own_of_zone = owned.iter().filter(|(known, _)| known.zone == cell.zone);
            used.extend(own_of_zone.map(|(_, owned)| owned.pool.token()));
        }
        next_token(generation, used)
    }

    /// Returns the daemon that should own a held cell which has no owner, other than `excluded`.
    pub(crate) fn owner_for(&self, cell: &Cell, excluded: Option<SocketAddr>) -> SocketAddr {
        let mut zone = self.zone();
        if let Some(excluded) = excluded.filter(|addr| *addr != zone.own_addr) {
            zone.members.remove(&excluded);
        }
        if *cell.zone != *self.settings.zone || !self.may_change_owners() {
            return zone.own_addr;
        }
        self.balance.borrow().owner_for(&zone, cell, self.now())
    }

    /// Whether a newly held cell stays with its owner.
    pub(crate) fn should_keep_owner(&self, cell: &Cell, owner: SocketAddr) -> bool {
        *cell.zone == *self.settings.zone && self.balance.borrow().should_keep(&self.zone(), owner)
    }

    /// Whether owners may be changed for the sake of balance: not while the store is unreachable or
    /// the assignment settles after that.
    fn may_change_owners(&self) -> bool {
        self.is_store_reachable.get() && !self.resettlement.borrow().is_settling(self.now())
    }

    fn next_move(&self) -> Option<Move> {
        if !self.may_change_owners() || !self.requested_cells.borrow().is_empty() {
            return None;
        }
        self.balance.borrow().next_move(&self.zone(), self.now())
    }

    fn holds(&self, cell: &Cell) -> bool {
        self.phase.get() == Phase::Serving && self.assignment.borrow().1.contains(cell)
    }

    /// Moves a cell to another owner if that one accepts it. The present owner releases the cell
    /// first; its jobs are then submitted to the next one.
    async fn move_cell(self: Rc<Self>, chosen: Move) {
        let Move { cell, from, to } = chosen;
        let now = self.now();
        self.balance.borrow_mut().record_move(now);
        self.requested_cells.borrow_mut().insert(cell.clone());
        let generation = self.assignment.borrow().0;
        if let Some(token) = self.token_for(&cell, generation) {
            let offer = self.send_step(&cell, to, token, DelegationStep::Offer);
            if let Ok(Reply::Delegated { .. }) = offer.await {
                self.release_and_transfer(&cell, from, to, generation).await;
            } else {
                self.record_refusal(&cell, to, "offer_refused");
            }
        }
        self.requested_cells.borrow_mut().remove(&cell);
    }

    fn record_refusal(&self, cell: &Cell, to: SocketAddr, why: &str) {
        self.balance.borrow_mut().record_refusal(to, self.now());
        self.metrics.delegations.with_label_values(&[why]).inc();
        log::info!("part=ownership event=delegation_refused cell={cell} to={to} why={why}");
    }

    async fn release_and_transfer(
        self: &Rc<Self>,
        cell: &Cell,
        from: SocketAddr,
        to: SocketAddr,
        generation: u64,
    ) {
        if !self.holds(cell) {
            return;
        }
        if from == self.settings.advertised {
            self.release_cell(cell, "delegated");
        } else {
            let Some(token) = self.token_for(cell, generation) else { return };
            self.delegations.borrow_mut().remove(cell);
            if let Err(error) = self.send_step(cell, from, token, DelegationStep::Release).await {
                log::info!("part=ownership event=release_lost cell={cell} why=\"{error}\"");
            }
        }
        self.delegate_or_own(cell, to, "moved").await;
    }

    /// Delegates a held cell without an owner to another daemon, and owns it if that fails.
    pub(crate) async fn delegate_or_own(
        self: &Rc<Self>,
        cell: &Cell,
        to: SocketAddr,
        how: &'static str,
    ) {
        let transfer = self.transfer(cell, to, how).await;
        if transfer != Transfer::Taken {
            self.record_refusal(cell, to, transfer.as_str());
        }
        let is_owned = self.owned.borrow().contains_key(cell);
        if matches!(transfer, Transfer::Refused | Transfer::NoReply)
            && !is_owned
            && self.holds(cell)
        {
            let generation = self.assignment.borrow().0;
            self.start_assigned(cell.clone(), generation, "taken_back");
        }
    }

    /// Makes the present owner of a newly held cell continue under a token of this generation.
    pub(crate) async fn keep_owner(self: Rc<Self>, cell: Cell, owner: SocketAddr) {
        let transfer = self.transfer(&cell, owner, "kept").await;
        self.requested_cells.borrow_mut().remove(&cell);
        match transfer {
            Transfer::Taken => return,
            Transfer::Kept => {
                log::info!("part=ownership event=cell_kept cell={cell} owner={owner}");
                return;
            }
            Transfer::Refused | Transfer::NoReply => {}
        }
        if self.holds(&cell) && !self.owned.borrow().contains_key(&cell) {
            let generation = self.assignment.borrow().0;
            let how = if transfer == Transfer::Refused { "released" } else { "no_reply" };
            self.start_assigned(cell, generation, how);
        }
    }

    /// Asks another daemon to own a held cell under the next token. Each attempt has a token of its own,
    /// since the process that got the one before may have used it and been replaced meanwhile.
    async fn transfer(self: &Rc<Self>, cell: &Cell, to: SocketAddr, how: &str) -> Transfer {
        let mut transfer = Transfer::NoReply;
        let mut token = 0;
        for _ in 0..TRANSFER_ATTEMPTS {
            // Only the holder issues the steps of a generation, and the cell may have been assigned to
            // another daemon since the transfer was decided.
            if !self.holds(cell) {
                return Transfer::Kept;
            }
            let generation = self.assignment.borrow().0;
            let Some(next) = self.token_for(cell, generation) else { return Transfer::Kept };
            token = next;
            self.issued_tokens.borrow_mut().insert(cell.clone(), token);
            transfer = match self.send_step(cell, to, token, DelegationStep::TakeOver).await {
                Ok(Reply::Delegated { .. }) => Transfer::Taken,
                Ok(Reply::KeepsCell) => Transfer::Kept,
                Ok(_) => Transfer::Refused,
                Err(LinkError::NoConnection(_) | LinkError::ReplyLost(_)) => Transfer::NoReply,
            };
            if transfer != Transfer::NoReply {
                break;
            }
        }
        if transfer == Transfer::Taken {
            log::info!(
                "part=ownership event=cell_delegated cell={cell} to={to} token={token} how={how}"
            );
            self.metrics.delegations.with_label_values(&[how]).inc();
            let holder = Some(self.settings.advertised);
            self.record_owner(&Ownership { cell: cell.clone(), addr: to, token }, holder);
            self.balance.borrow_mut().record_change(cell, self.now());
            if self.holds(cell) {
                let delegation = Delegation {
                    addr: to,
                    token,
                    is_saturated: false,
                    failures: 0,
                    is_renewing: false,
                };
                self.delegations.borrow_mut().insert(cell.clone(), delegation);
            }
        }
        transfer
    }

    async fn send_step(
        &self,
        cell: &Cell,
        to: SocketAddr,
        token: u64,
        step: DelegationStep,
    ) -> Result<Reply, LinkError> {
        let holder = self.settings.advertised;
        let request = DelegationRequest { cell: cell.clone(), token, holder, step };
        let timeout_ms =
            if step == DelegationStep::Renew { PEER_TIMEOUT_MS } else { TRANSFER_TIMEOUT_MS };
        let reply = self.links.call(to, Request::Delegate(request), timeout_ms).await;
        let now = self.now();
        match &reply {
            Ok(_) => self.responsiveness.borrow_mut().record_reply(to),
            Err(_) => self.responsiveness.borrow_mut().record_failure(to, now),
        }
        reply
    }

    /// Renews a delegation, and takes the cell back if its owner has lost it or does not reply.
    async fn renew_delegation(self: Rc<Self>, cell: Cell) {
        let known = self.delegations.borrow().get(&cell).copied();
        let Some(known) = known.filter(|known| !known.is_renewing) else { return };
        self.set_renewing(&cell, known.token, true);
        loop {
            let reply = self.send_step(&cell, known.addr, known.token, DelegationStep::Renew).await;
            let failures = {
                let mut delegations = self.delegations.borrow_mut();
                let Some(delegation) =
                    delegations.get_mut(&cell).filter(|now| now.token == known.token)
                else {
                    return;
                };
                match reply {
                    Ok(Reply::Delegated { is_saturated }) => {
                        delegation.is_saturated = is_saturated;
                        delegation.failures = 0;
                        let (addr, token) = (known.addr, known.token);
                        let claim = Claim { addr, token, holder: Some(self.settings.advertised) };
                        self.owners.borrow_mut().record(&cell, claim, self.now());
                    }
                    Ok(Reply::KeepsCell) => {
                        delegations.remove(&cell);
                        return;
                    }
                    Ok(_) => delegation.failures = u32::MAX,
                    Err(_) => delegation.failures = delegation.failures.saturating_add(1),
                }
                delegations.get(&cell).map_or(0, |delegation| delegation.failures)
            };
            if failures == 0 {
                break;
            }
            if failures >= MAX_FAILED_RENEWALS {
                let why = if failures == u32::MAX { "not_owner" } else { "no_reply" };
                self.take_back(cell, known, why).await;
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(RENEWAL_RETRY_MS)).await;
        }
        self.set_renewing(&cell, known.token, false);
    }

    fn set_renewing(&self, cell: &Cell, token: u64, is_renewing: bool) {
        let mut delegations = self.delegations.borrow_mut();
        if let Some(delegation) = delegations.get_mut(cell).filter(|known| known.token == token) {
            delegation.is_renewing = is_renewing;
        }
    }

    /// Ends a delegation and gives the cell to another daemon that can carry it, or to this one.
    /// Does nothing if this daemon has lost its membership: it may no longer hold the cell.
    async fn take_back(self: Rc<Self>, cell: Cell, ended: Delegation, why: &'static str) {
        let is_member = self.resettlement.borrow().is_member(self.now());
        if !is_member || !self.holds(&cell) {
            self.set_renewing(&cell, ended.token, false);
            return;
        }
        if !self.requested_cells.borrow_mut().insert(cell.clone()) {
            self.set_renewing(&cell, ended.token, false);
            return;
        }
        self.delegations.borrow_mut().remove(&cell);
        log::info!(
            "part=ownership event=delegation_ended cell={cell} from={} token={} why={why}",
            ended.addr,
            ended.token,
        );
        self.metrics.delegations.with_label_values(&[why]).inc();
        self.balance.borrow_mut().record_refusal(ended.addr, self.now());
        let to = self.owner_for(&cell, Some(ended.addr));
        if to == self.settings.advertised {
            let generation = self.assignment.borrow().0;
            self.start_assigned(cell.clone(), generation, "taken_back");
        } else {
            self.delegate_or_own(&cell, to, why).await;
        }
        self.requested_cells.borrow_mut().remove(&cell);
    }

    /// Replies to the holder of a cell that asks this daemon to own it.
    pub fn answer_delegation(self: &Rc<Self>, request: &DelegationRequest) -> Reply {
        let DelegationRequest { cell, token, holder, step } = request;
        let delegated = || Reply::Delegated { is_saturated: self.is_saturated() };
        let own_token = self.owned.borrow().get(cell).map(|owned| owned.pool.token());
        match (step, own_token) {
            (_, Some(own_token)) if own_token > *token => Reply::KeepsCell,
            (DelegationStep::Release, Some(own_token)) => {
                if own_token < *token {
                    self.release_cell(cell, "moved");
                }
                Reply::NotOwner
            }
            (DelegationStep::Offer, Some(_)) => delegated(),
            (DelegationStep::TakeOver | DelegationStep::Renew, Some(_)) => {
                if self.phase.get() != Phase::Serving {
                    return Reply::NotOwner;
                }
                self.continue_as_delegate(cell, *token, *holder);
                delegated()
            }
            (DelegationStep::Offer, None) => {
                // A daemon that may own a cell reads the workers' entries, so that it can take the
                // cell at a later offer.
                self.set_may_own(true);
                if self.can_take_over(cell, *token) { delegated() } else { Reply::NotOwner }
            }
            (DelegationStep::TakeOver, None) => {
                if !self.can_take_over(cell, *token) {
                    return Reply::NotOwner;
                }
                self.extend_handover(cell);
                self.start_ownership(cell.clone(), *token, "delegated", Some(*holder));
                self.continue_as_delegate(cell, *token, *holder);
                delegated()
            }
            (DelegationStep::Release | DelegationStep::Renew, None) => Reply::NotOwner,
        }
    }

    /// Keeps a delegated cell for twice the lifetime of an ownership, and raises its token to the
    /// holder's.
    fn continue_as_delegate(self: &Rc<Self>, cell: &Cell, token: u64, holder: SocketAddr) {
        self.extend_handover(cell);
        let before = {
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            let before = owned.pool.token();
            owned.holder = Some(holder);
            owned.pool.raise_token(token);
            before
        };
        if before < token {
            log::info!(
                "part=ownership event=token_raised cell={cell} token={token} before={before} \
                 holder={holder}"
            );
            self.metrics.delegations.with_label_values(&["token_raised"]).inc();
            let addr = self.settings.advertised;
            let ownership = Ownership { cell: cell.clone(), addr, token };
            self.broadcast(&Request::AnnounceOwner(ownership, Some(holder)));
        }
    }

    pub(crate) fn extend_handover(&self, cell: &Cell) {
        let until = self.now().plus(2 * self.settings.ownership_ms);
        let mut handover_until = self.handover_until.borrow_mut();
        let kept = handover_until.entry(cell.clone()).or_insert(until);
        *kept = (*kept).max(until);
    }

    /// Whether this daemon can take over a cell of its zone that another daemon gives it under a
    /// fencing token.
    pub(crate) fn can_take_over(&self, cell: &Cell, token: u64) -> bool {
        let is_fenced = self.fenced.borrow().get(cell).is_some_and(|(fenced, _)| token <= *fenced);
        // Without the store, a daemon that does not know the workers has no way to read them.
        self.phase.get() == Phase::Serving
            && self.knows_workers.get()
            && self.knows_evacuations.get()
            && *cell.zone == *self.settings.zone
            && !is_fenced
            && self.owners.borrow().token(cell) < token
            && !self.owned.borrow().contains_key(cell)
    }

    /// Returns released cells to the holders that delegated them to this daemon. Returns the cells
    /// that their holders have taken.
    pub(crate) async fn return_cells(
        self: &Rc<Self>,
        delegated: Vec<(Cell, u64, SocketAddr)>,
    ) -> Vec<Cell> {
        let returns = delegated.into_iter().map(|(cell, token, holder)| async move {
            let request = Request::ReturnCell(cell.clone(), token);
            let reply = self.links.call(holder, request, PEER_TIMEOUT_MS).await;
            matches!(reply, Ok(Reply::TakenOver)).then_some(cell)
        });
        futures_util::future::join_all(returns).await.into_iter().flatten().collect()
    }

    /// Takes back a cell whose delegate shuts down.
    pub fn accept_return(self: &Rc<Self>, cell: &Cell, token: u64) -> Reply {
        let known = self.delegations.borrow().get(cell).copied();
        let Some(known) = known.filter(|known| known.token == token) else {
            return Reply::NotOwner;
        };
        let is_member = self.resettlement.borrow().is_member(self.now());
        if !self.holds(cell) || !is_member || self.requested_cells.borrow().contains(cell) {
            return Reply::NotOwner;
        }
        actix_rt::spawn(Rc::clone(self).take_back(cell.clone(), known, "returned"));
        Reply::TakenOver
    }

    /// Announces the cells that this daemon owns without being listed by the store to a daemon that
    /// has just started: holders have delegated them, or this daemon keeps them for a while.
    pub fn announce_unlisted_cells_to(self: &Rc<Self>, addr: SocketAddr) {
        let own_addr = self.settings.advertised;
        let unlisted: Vec<(Ownership, Option<SocketAddr>)> = {
            let owned = self.owned.borrow();
            let assignment = self.assignment.borrow();
            let is_unlisted = |(cell, owned): &(&Cell, &OwnedCell)| {
                owned.holder.is_some() || !assignment.1.contains(*cell)
            };
            let ownership = |(cell, owned): (&Cell, &OwnedCell)| {
                let token = owned.pool.token();
                (Ownership { cell: cell.clone(), addr: own_addr, token }, owned.holder)
            };
            owned.iter().filter(is_unlisted).map(ownership).collect()
        };
        for (ownership, holder) in unlisted {
            self.announce_to(addr, ownership, holder);
        }
    }

    /// Asks a daemon that denied a cell for the owners that it knows, in case it has delegated the
    /// cell. Does nothing if that daemon states no capacity, since it then delegates nothing.
    pub fn ask_for_owners(self: &Rc<Self>, addr: SocketAddr) {
        let now = self.now();
        let is_recent = now.since(self.owners_asked_at.get()) < OWNERS_REQUEST_INTERVAL_MS;
        if is_recent || !self.capacities.borrow().contains_key(&addr) {
            return;
        }
        self.owners_asked_at.set(now);
        actix_rt::spawn(Rc::clone(self).query_owners(addr));
    }

    /// Records the capacities of the daemons in the store's list of members.
    pub(crate) fn record_capacities(&self, members: impl Iterator<Item = (SocketAddr, u64)>) {
        let own = self
            .settings
            .capacity_millicores()
            .map(|capacity| (self.settings.advertised, capacity));
        let now = self.now();
        let mut capacities = self.capacities.borrow_mut();
        capacities.extend(members.map(|(addr, capacity)| (addr, (capacity, now))));
        capacities.remove(&self.settings.advertised);
        capacities.retain(|_, (_, listed_at)| now.since(*listed_at) < CAPACITY_KEPT_MS);
        let peers = self.peers.borrow();
        let is_own_zone =
            |addr: &SocketAddr| peers.get(addr).is_some_and(|zone| *zone == self.settings.zone);
        let zone_capacities = capacities
            .iter()
            .filter(|(addr, _)| is_own_zone(addr))
            .map(|(_, (capacity, _))| *capacity)
            .chain(own.map(|(_, capacity)| capacity));
        self.balance.borrow_mut().record_capacities(zone_capacities);
    }

    /// When the store's assignment has changed, forgets the delegations of cells that this daemon
    /// no longer holds. Their owners go on until the next holder decides.
    pub(crate) fn retain_held_delegations(&self) {
        let assignment = self.assignment.borrow();
        self.delegations.borrow_mut().retain(|cell, _| assignment.1.contains(cell));
    }

    /// Records that this daemon owns a held cell under a token that it issued.
    pub(crate) fn record_issued(&self, cell: &Cell, token: u64, now: Millis) {
        self.issued_tokens.borrow_mut().insert(cell.clone(), token);
        self.balance.borrow_mut().record_change(cell, now);
    }
}

/// Returns the CPU time that this process has used, in milliseconds.
fn process_cpu_ms() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
