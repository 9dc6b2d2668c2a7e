//! Gains and loses cells as the store deals the partitions that stand for them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::{Held, Joined, Membership, Owner, StoreError};
use dispatch::clock::Millis;
use pool::cells::{Cell, cell_of_worker, cells_of_zone, is_cell_partition};
use pool::pool::Pool;

use crate::fleet::{Ask, Ownership, Tell};
use crate::state::{Entry, Owned, Phase};

/// The group in which all daemons of an installation are members.
const GROUP: &str = "entry";
/// What the names of the topics begin with, before the zone.
const TOPIC_PREFIX: &str = "cells.";
/// The renewals that fit into the time that an ownership lasts.
const RENEWALS_PER_SPAN: u64 = 4;
/// The time between two looks at who owns what, in milliseconds.
const OWNERS_EVERY_MS: u64 = 1_000;
/// How long a daemon waits for another one that takes a cell over or tells its owners.
const HAND_OVER_MS: u64 = 250;
/// The most other daemons that are remembered; the letter's size has 48.
const MAX_OTHERS: usize = 512;
/// How long a zone must be without any daemon before daemons of other zones take its cells.
/// A zone that is only cut off serves itself, and its workers' entries are gone by then.
const EMPTY_ZONE_MS: u64 = 5_500;

/// What the loop remembers from one turn to the next.
#[derive(Debug, Default)]
struct Standing {
    generation: u64,
    reached: Option<bool>,
    owners_at: Option<Millis>,
    /// Whether the others were told of this daemon.
    is_introduced: bool,
    empty_since: BTreeMap<String, Millis>,
}

impl Entry {
    /// Keeps this daemon in the group and follows what it is dealt, until the daemon drains.
    pub async fn keep_membership(self: Rc<Self>) {
        let mut standing = Standing::default();
        let pause = Duration::from_millis(self.settings.ownership_ms / RENEWALS_PER_SPAN);
        loop {
            if self.phase.get() == Phase::Serving {
                self.renew_membership(&mut standing).await;
            }
            let due = standing.owners_at.is_none_or(|at| self.now().since(at) >= OWNERS_EVERY_MS);
            if due {
                self.read_owners(&mut standing).await;
            }
            if !self.store_reached.get() {
                self.ask_others().await;
            }
            let pause = actix_rt::time::sleep(pause);
            let woken = self.rejoin.notified();
            futures_util::future::select(std::pin::pin!(pause), std::pin::pin!(woken)).await;
        }
    }

    async fn renew_membership(self: &Rc<Self>, standing: &mut Standing) {
        let joined = self.join(standing).await;
        let Some(joined) = joined.filter(|_| self.phase.get() == Phase::Serving) else { return };
        let changed = joined.generation != standing.generation;
        standing.generation = joined.generation;
        let lost = self.take_dealt(&joined);
        if lost {
            // Only a join with the new generation frees the partitions for their next holder.
            self.join(standing).await;
            self.announce_change();
        }
        if changed {
            standing.owners_at = None;
        }
    }

    async fn join(&self, standing: &mut Standing) -> Option<Joined> {
        let member = self.member_name();
        let topics: Vec<String> =
            self.zones_to_serve(standing).iter().map(|zone| topic_of(zone)).collect();
        let membership = Membership {
            group: GROUP,
            member: &member,
            topics: &topics,
            ttl_ms: self.settings.ownership_ms,
            generation: standing.generation,
        };
        let began = self.now();
        let joined = self.store.join(&membership).await;
        self.count_store_call("join", &joined, began);
        self.note_reached(standing, joined.as_ref().err());
        joined.ok()
    }

    /// Tells the store's state once it changes.
    fn note_reached(&self, standing: &mut Standing, error: Option<&StoreError>) {
        let reached = error.is_none();
        self.store_reached.set(reached);
        if standing.reached == Some(reached) {
            return;
        }
        standing.reached = Some(reached);
        match error {
            None => log::info!("part=ownership event=store_regained"),
            Some(error) => log::warn!("part=ownership event=store_lost why=\"{error}\""),
        }
    }

    /// Counts a call of the store and its time.
    pub fn count_store_call<T>(&self, call: &str, result: &Result<T, StoreError>, began: Millis) {
        let result = match result {
            Ok(_) => "ok",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::Lost) => "lost",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::Unreadable) => "unreadable",
        };
        self.metrics.store_calls.with_label_values(&[call, result]).inc();
        self.metrics.store_latency_s.observe(self.now().since(began) as f64 / 1_000.0);
    }

    /// The name carries the address, so that the store's list of members finds the daemons. A
    /// process that restarts keeps its name, and with it its cells.
    fn member_name(&self) -> String {
        format!("{}|{}", self.settings.advertised, self.settings.zone)
    }

    fn zones_to_serve(&self, standing: &mut Standing) -> BTreeSet<String> {
        let now = self.now();
        let mut zones = BTreeSet::from([self.settings.zone.clone()]);
        for (zone, since) in &standing.empty_since {
            let has_workers = self.workers_in(zone) > 0;
            if has_workers && now.since(*since) >= EMPTY_ZONE_MS {
                zones.insert(zone.clone());
            }
        }
        zones
    }

    /// Takes over new cells and gives lost ones up. Tells whether any was lost.
    fn take_dealt(self: &Rc<Self>, joined: &Joined) -> bool {
        let partitions = self.settings.partitions;
        let may_own = |held: &Held| is_cell_partition(held.partition, partitions);
        self.note_may_own(joined.held.iter().any(may_own) || !self.owned.borrow().is_empty());
        let dealt = self.dealt_cells(&joined.held);
        let before: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
        let now = self.now();
        let is_handed =
            |cell: &Cell| self.handed_until.borrow().get(cell).is_some_and(|until| now < *until);
        let gone = |cell: &Cell| !dealt.contains(cell) && !is_handed(cell);
        let lost: Vec<Cell> = before.into_iter().filter(gone).collect();
        for cell in &lost {
            self.give_up(cell, "dealt_away");
        }
        for cell in dealt {
            self.take_over(cell, joined.generation);
        }
        !lost.is_empty()
    }

    fn dealt_cells(&self, held: &[Held]) -> BTreeSet<Cell> {
        let held: BTreeSet<(&str, u32)> =
            held.iter().map(|held| (held.topic.as_str(), held.partition)).collect();
        let mut dealt = BTreeSet::new();
        for zone in self.known_zones() {
            let topic = topic_of(&zone);
            let cells = self.cells_in(&zone).into_iter();
            dealt.extend(cells.filter(|cell| held.contains(&(topic.as_str(), cell.partition))));
        }
        dealt
    }

    fn known_zones(&self) -> BTreeSet<String> {
        let zones = self.settings.zones.iter().cloned();
        zones.chain([self.settings.zone.clone()]).collect()
    }

    /// Gives the cells of a zone.
    pub fn cells_in(&self, zone: &str) -> Vec<Cell> {
        cells_of_zone(zone, self.workers_in(zone), self.settings.partitions)
    }

    fn take_over(self: &Rc<Self>, cell: Cell, generation: u64) {
        if self.owned.borrow().contains_key(&cell) {
            return;
        }
        let fenced = self.fenced.borrow().get(&cell).copied();
        if fenced.is_some_and(|token| generation <= token) {
            return;
        }
        self.begin_cell(cell, generation, "dealt");
    }

    fn begin_cell(self: &Rc<Self>, cell: Cell, token: u64, how: &str) {
        let pool = Pool::new(token);
        log::info!("part=ownership event=cell_gained cell={cell} token={token} how={how}");
        self.metrics.cells.with_label_values(&["gained"]).inc();
        self.owned.borrow_mut().insert(cell.clone(), Owned { serial: self.draw_serial(), pool });
        self.refresh_workers(&cell);
        let addr = self.settings.advertised;
        self.tell_others(&Ask::Own(Ownership { cell, addr, token }));
    }

    /// Takes a cell over from a daemon that ends and does not reach the store. The token stays the
    /// same: that daemon has sent its last order.
    pub fn take_handed(self: &Rc<Self>, cell: Cell, token: u64) -> Tell {
        let is_own_zone = *cell.zone == *self.settings.zone;
        let overtaken = self.fenced.borrow().get(&cell).is_some_and(|fenced| token <= *fenced);
        // A daemon that does not know the workers cannot learn of them without the store.
        let serves = self.phase.get() == Phase::Serving && self.knows_workers.get();
        if !serves || !is_own_zone || overtaken || self.owned.borrow().contains_key(&cell) {
            return Tell::NotOwner;
        }
        let until = self.now().plus(2 * self.settings.ownership_ms);
        self.handed_until.borrow_mut().insert(cell.clone(), until);
        self.begin_cell(cell, token, "handed");
        Tell::Taken
    }

    /// Hands a cell that was given up to another daemon of the zone.
    pub async fn hand_over(self: &Rc<Self>, cell: &Cell, token: u64) {
        let others = self.others.borrow().clone();
        let own_zone = others.iter().filter(|(_, zone)| **zone == *cell.zone);
        for (addr, _) in own_zone {
            let ask = Ask::Take(cell.clone(), token);
            match self.links.call(*addr, ask, HAND_OVER_MS).await {
                Ok(Tell::Taken) => {
                    log::info!("part=ownership event=cell_handed cell={cell} to={addr}");
                    self.note_owner(&Ownership { cell: cell.clone(), addr: *addr, token });
                    return;
                }
                Ok(_) => {}
                Err(error) => {
                    log::info!("part=ownership event=hand_over_failed cell={cell} why=\"{error}\"");
                }
            }
        }
    }

    /// Notes what another daemon says of a cell's owner.
    pub fn note_owner(&self, ownership: &Ownership) {
        let Ownership { cell, addr, token } = ownership;
        if self.owners.borrow_mut().record(cell, *addr, *token, self.now()) {
            self.silent_until.borrow_mut().remove(addr);
        }
    }

    /// Gives the owners of cells, as far as they are known here.
    pub fn known_owners(&self) -> Vec<Ownership> {
        let owned = self.owned.borrow();
        let own = owned.iter().map(|(cell, owned)| Ownership {
            cell: cell.clone(),
            addr: self.settings.advertised,
            token: owned.pool.token(),
        });
        let owners = self.owners.borrow();
        let told = owners.iter().filter(|(cell, owner)| {
            owner.token > 0 && owner.addr != self.settings.advertised && !owned.contains_key(*cell)
        });
        let told = told.map(|(cell, owner)| Ownership {
            cell: cell.clone(),
            addr: owner.addr,
            token: owner.token,
        });
        own.chain(told).collect()
    }

    /// Asks another daemon who owns the cells, while the store does not answer.
    async fn ask_others(self: &Rc<Self>) {
        let others: Vec<SocketAddr> = self.others.borrow().keys().copied().collect();
        if others.is_empty() {
            return;
        }
        let addr = others[rand::random_range(0..others.len())];
        if let Ok(Tell::Owners(owners)) = self.links.call(addr, Ask::Owners, HAND_OVER_MS).await {
            for ownership in &owners {
                self.note_owner(ownership);
            }
        }
    }

    /// Gives a cell up; its runs go on under their lease for the next owner to find.
    pub fn give_up(self: &Rc<Self>, cell: &Cell, why: &str) {
        let token = {
            let now = self.now();
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            owned.pool.renew_all_leases(now);
            owned.pool.token()
        };
        self.perform(cell);
        if let Some(owned) = self.owned.borrow_mut().get_mut(cell) {
            owned.pool.relinquish();
        }
        log::info!("part=ownership event=cell_lost cell={cell} token={token} why={why}");
        self.metrics.cells.with_label_values(&[why]).inc();
        self.drop_cell(cell);
    }

    /// Notes that a later owner has overtaken this daemon's token.
    pub fn note_fenced(self: &Rc<Self>, cell: &Cell, token: u64) {
        if !self.owned.borrow().contains_key(cell) {
            return;
        }
        log::warn!("part=ownership event=cell_lost cell={cell} token={token} why=fenced");
        self.metrics.cells.with_label_values(&["fenced"]).inc();
        self.fenced.borrow_mut().insert(cell.clone(), token);
        self.drop_cell(cell);
        self.rejoin.notify_one();
    }

    fn drop_cell(self: &Rc<Self>, cell: &Cell) {
        let Some(mut owned) = self.owned.borrow_mut().remove(cell) else { return };
        for action in owned.pool.take_actions() {
            if let pool::pool::Action::Answer(number, outcome) = action
                && let Some(sender) = self.waiting.borrow_mut().remove(&(owned.serial, number))
            {
                let _ = sender.send(outcome);
            }
        }
        self.owners.borrow_mut().remove(cell);
    }

    /// Hands the workers of a cell to its pool, as the directory has them now. Before they are all
    /// known, too few cells would be counted, and workers of other cells taken for this one's.
    pub fn refresh_workers(self: &Rc<Self>, cell: &Cell) {
        if !self.knows_workers.get() {
            return;
        }
        let now = self.now();
        let cells = self.cells_in(&cell.zone);
        {
            let directory = self.directory.borrow();
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            let of_cell = directory.iter().filter(|(id, entry)| {
                let number = cell_of_worker(id, cells.len() as u32) as usize;
                entry.zone == cell.zone && cells.get(number) == Some(cell)
            });
            owned.pool.set_workers(now, of_cell);
        }
        self.perform(cell);
    }

    /// Hands every owned cell its workers, after the directory changed.
    pub fn refresh_all_workers(self: &Rc<Self>) {
        let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
        for cell in &cells {
            self.refresh_workers(cell);
        }
    }

    /// Leaves the group, so that others take the cells at once.
    pub async fn leave(&self) {
        let left = self.store.leave(GROUP, &self.member_name()).await;
        if let Err(error) = left {
            log::warn!("part=ownership event=leave_failed why=\"{error}\"");
        }
    }

    /// Lets the other daemons ask the store at once.
    pub fn announce_change(self: &Rc<Self>) {
        self.tell_others(&Ask::Rejoin);
    }

    fn tell_others(self: &Rc<Self>, ask: &Ask) {
        for addr in self.others.borrow().keys().copied() {
            let (entry, ask) = (Rc::clone(self), ask.clone());
            actix_rt::spawn(async move {
                if let Err(error) = entry.links.notify(addr, ask).await {
                    log::info!("part=ownership event=announce_failed why=\"{error}\"");
                }
            });
        }
    }

    async fn read_owners(self: &Rc<Self>, standing: &mut Standing) {
        let began = self.now();
        standing.owners_at = Some(began);
        let rows = self.store.owners(GROUP).await;
        self.count_store_call("owners", &rows, began);
        let Ok(rows) = rows else { return };
        self.note_empty_zones(standing, &rows);
        let mut named = Vec::new();
        for row in &rows {
            let Some(zone) = row.topic.strip_prefix(TOPIC_PREFIX) else { continue };
            let Some(addr) = member_addr(&row.member) else { continue };
            if let Some((_, zone)) = row.member.split_once('|') {
                self.note_other(addr, zone);
            }
            named.push((Cell { zone: Rc::from(zone), partition: row.partition }, addr));
        }
        let owns = |cell: &Cell| self.owned.borrow().contains_key(cell);
        self.owners.borrow_mut().apply_store_rows(named.into_iter(), owns, began);
        let own_zone = self.cells_in(&self.settings.zone);
        if !self.owners.borrow().are_confirmed_since(&own_zone, began) {
            // Partitions are being dealt anew: the store is asked again at the next turn.
            standing.owners_at = None;
        }
        if !standing.is_introduced && !self.others.borrow().is_empty() {
            standing.is_introduced = true;
            let zone = self.settings.zone.clone();
            self.tell_others(&Ask::Hello(self.settings.advertised, zone));
        }
    }

    /// Remembers another daemon.
    pub fn note_other(&self, addr: SocketAddr, zone: &str) {
        let mut others = self.others.borrow_mut();
        if addr != self.settings.advertised && others.len() < MAX_OTHERS {
            others.entry(addr).or_insert_with(|| zone.to_owned());
        }
    }

    fn note_empty_zones(&self, standing: &mut Standing, rows: &[Owner]) {
        let now = self.now();
        let staffed: BTreeSet<&str> = rows
            .iter()
            .filter_map(|row| row.member.split_once('|'))
            .map(|(_, zone)| zone)
            .collect();
        for zone in self.known_zones() {
            if staffed.contains(zone.as_str()) || zone == self.settings.zone {
                standing.empty_since.remove(&zone);
            } else {
                standing.empty_since.entry(zone).or_insert(now);
            }
        }
    }
}

fn topic_of(zone: &str) -> String {
    format!("{TOPIC_PREFIX}{zone}")
}

fn member_addr(member: &str) -> Option<SocketAddr> {
    member.split_once('|')?.0.parse().ok()
}
