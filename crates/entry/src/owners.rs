//! Keeps the table of the cells' owners up to date, from the store and from other daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::Owner;
use dispatch::clock::Millis;
use pool::cells::Cell;
use pool::owners::Claim;

use crate::delegation::Delegation;
use crate::ownership::{GROUP, PEER_TIMEOUT_MS, TOPIC_PREFIX};
use crate::protocol::{Ownership, Reply, Request};
use crate::state::Entry;

/// Interval between two reads of the owners from the store while nothing changes, in milliseconds.
/// A change of the group's generation causes a read at once.
const READ_INTERVAL_MS: u64 = 4_000;
/// Interval between two reads while the owner of another zone's cell is unknown, in milliseconds.
const UNCONFIRMED_READ_INTERVAL_MS: u64 = 1_000;
/// Interval between two reads during a rebalance, and after a failure, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 300;
/// Minimum interval between two reads, in milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 150;
/// Maximum number of other daemons that are tracked.
const MAX_PEERS: usize = 512;

/// State of the loop that reads the owners.
#[derive(Debug, Default)]
struct WatchState {
    /// Time until the next read, in milliseconds.
    pause_ms: u64,
    /// Whether this daemon has announced itself to the other daemons.
    is_announced: bool,
}

impl Entry {
    /// Reads the owners of the cells from the store repeatedly, or from another daemon while the
    /// store is unreachable. Never returns.
    pub async fn watch_owners(self: Rc<Self>) {
        let mut state = WatchState::default();
        loop {
            self.read_owners(&mut state).await;
            if !self.is_store_reachable.get() {
                self.query_peer_for_owners().await;
                state.pause_ms = RETRY_INTERVAL_MS;
            }
            actix_rt::time::sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
            let pause = state.pause_ms.saturating_sub(MIN_READ_INTERVAL_MS);
            let pause = actix_rt::time::sleep(Duration::from_millis(pause));
            let woken = self.owners_changed.notified();
            futures_util::future::select(std::pin::pin!(pause), std::pin::pin!(woken)).await;
        }
    }

    /// Records a cell's owner as announced by another daemon, which shows that it responds, with the
    /// holder that chose it, if any. If both claim the cell, the one with the lower fencing token
    /// gives it up: this daemon at once, the other one when it learns of this daemon's ownership.
    pub fn record_owner(self: &Rc<Self>, ownership: &Ownership, holder: Option<SocketAddr>) {
        let Ownership { cell, addr, token } = ownership;
        if *addr == self.settings.advertised {
            // A previous process of this daemon issued the token.
            let mut issued = self.issued_tokens.borrow_mut();
            let last = issued.entry(cell.clone()).or_default();
            *last = (*last).max(*token);
            return;
        }
        let own_claim =
            self.owned.borrow().get(cell).map(|owned| (owned.pool.token(), owned.holder));
        match own_claim {
            Some((own_token, _)) if own_token < *token => self.release_cell(cell, "overtaken"),
            Some((own_token, own_holder)) if own_token > *token => {
                let own_addr = self.settings.advertised;
                let own = Ownership { cell: cell.clone(), addr: own_addr, token: own_token };
                self.announce_to(*addr, own, own_holder);
                return;
            }
            Some(_) | None => {}
        }
        let is_overtaken = |known: &Delegation| known.token < *token;
        if self.delegations.borrow().get(cell).is_some_and(is_overtaken) {
            self.delegations.borrow_mut().remove(cell);
        }
        let claim = Claim { addr: *addr, token: *token, holder };
        if self.owners.borrow_mut().record(cell, claim, self.now()) {
            self.responsiveness.borrow_mut().record_reply(*addr);
        }
    }

    pub(crate) fn announce_to(
        self: &Rc<Self>,
        addr: SocketAddr,
        ownership: Ownership,
        holder: Option<SocketAddr>,
    ) {
        let entry = Rc::clone(self);
        actix_rt::spawn(async move {
            let request = Request::AnnounceOwner(ownership, holder);
            if let Err(error) = entry.links.notify(addr, request).await {
                log::info!("part=ownership event=announce_failed why=\"{error}\"");
            }
        });
    }

    /// Returns the known owners of cells, including this daemon, and the holder of each cell whose
    /// owner was chosen by the holder.
    pub fn known_owners(&self) -> (Vec<Ownership>, Vec<(Cell, SocketAddr)>) {
        let own_addr = self.settings.advertised;
        let owned = self.owned.borrow();
        let own = owned.iter().map(|(cell, owned)| {
            (cell, Claim { addr: own_addr, token: owned.pool.token(), holder: owned.holder })
        });
        let owners = self.owners.borrow();
        let known_remote = owners.iter().map(|(cell, owner)| (cell, owner.claim));
        let known_remote = known_remote.filter(|(cell, claim)| {
            claim.token > 0 && claim.addr != own_addr && !owned.contains_key(*cell)
        });
        let claims: Vec<(&Cell, Claim)> = own.chain(known_remote).collect();
        let ownership = |(cell, claim): &(&Cell, Claim)| Ownership {
            cell: (*cell).clone(),
            addr: claim.addr,
            token: claim.token,
        };
        let holder = |(cell, claim): &(&Cell, Claim)| Some(((*cell).clone(), claim.holder?));
        (claims.iter().map(ownership).collect(), claims.iter().filter_map(holder).collect())
    }

    /// Queries a random other daemon for the owners of cells and the evacuations of zones, while the
    /// store is unreachable.
    async fn query_peer_for_owners(self: &Rc<Self>) {
        let peers: Vec<SocketAddr> = self.peers.borrow().keys().copied().collect();
        if peers.is_empty() {
            return;
        }
        let addr = peers[rand::random_range(0..peers.len())];
        Rc::clone(self).query_owners(addr).await;
    }

    /// Queries the zone's other daemons for the owners, in case the previous process of this daemon
    /// announced higher tokens to them than this one knows.
    pub(crate) fn query_zone_for_owners(self: &Rc<Self>) {
        let peers = self.peers.borrow();
        for (addr, _) in peers.iter().filter(|(_, zone)| **zone == self.settings.zone) {
            actix_rt::spawn(Rc::clone(self).query_owners(*addr));
        }
    }

    /// Queries another daemon for the owners of cells and for the evacuations.
    pub(crate) async fn query_owners(self: Rc<Self>, addr: SocketAddr) {
        let asked_at = self.now();
        if let Ok(Reply::Owners(owners, evacuations, holders)) =
            self.links.call(addr, Request::Owners, PEER_TIMEOUT_MS).await
        {
            let holders: BTreeMap<Cell, SocketAddr> = holders.into_iter().collect();
            for ownership in &owners {
                self.record_owner(ownership, holders.get(&ownership.cell).copied());
            }
            self.learn_evacuations(&evacuations, asked_at, addr);
        }
    }

    /// Returns the owner of a cell that the store lists at `listed`. While the assignment settles,
    /// the last known owner keeps its cell although the store lists another daemon.
    fn settled_owner(&self, cell: &Cell, listed: SocketAddr) -> SocketAddr {
        if !self.resettlement.borrow().is_settling(self.now()) {
            return listed;
        }
        let known = self.owners.borrow().remote_owner(cell);
        known.filter(|addr| self.is_responsive(*addr)).unwrap_or(listed)
    }

    async fn read_owners(self: &Rc<Self>, state: &mut WatchState) {
        let started_at = self.now();
        state.pause_ms = RETRY_INTERVAL_MS;
        let rows = self.store.owners(GROUP).await;
        self.record_store_call("owners", &rows, started_at);
        let Ok(rows) = rows else { return };
        self.record_own_listing(rows.iter().map(|row| &row.member));
        self.update_empty_zones(&rows);
        let is_zone_peer = |member: MemberName<'_>| {
            member.zone == self.settings.zone && member.addr != self.settings.advertised
        };
        self.has_zone_peers.set(rows.iter().filter_map(parse_member).any(is_zone_peer));
        let mut listed_owners = Vec::new();
        for row in &rows {
            let Some(zone) = row.topic.strip_prefix(TOPIC_PREFIX) else { continue };
            let Some(member) = parse_member(row) else { continue };
            self.add_peer(member.addr, member.zone);
            let addr = member.addr;
            let cell = Cell { zone: Rc::from(zone), partition: row.partition };
            let addr = self.settled_owner(&cell, addr);
            listed_owners.push((cell, addr));
        }
        let capacity = |member: MemberName<'_>| Some((member.addr, member.capacity?));
        self.record_capacities(rows.iter().filter_map(parse_member).filter_map(capacity));
        let owns = |cell: &Cell| self.owned.borrow().contains_key(cell);
        self.owners.borrow_mut().apply_store_rows(listed_owners.into_iter(), owns, started_at);
        state.pause_ms = self.next_read_ms(started_at);
        if !state.is_announced && !self.peers.borrow().is_empty() {
            state.is_announced = true;
            let zone = self.settings.zone.clone();
            self.broadcast(&Request::Hello(self.settings.advertised, zone));
            actix_rt::spawn(Rc::clone(self).request_crashes());
        }
    }

    /// Returns the time until the next read, in milliseconds. While a rebalance is in progress, the
    /// store lists no owner for some cells.
    fn next_read_ms(&self, read_at: Millis) -> u64 {
        let owners = self.owners.borrow();
        let is_confirmed = |zone: &str| owners.are_confirmed_since(&self.cells_in(zone), read_at);
        if !is_confirmed(&self.settings.zone) {
            return RETRY_INTERVAL_MS;
        }
        let are_others_confirmed = self.settings.zones.iter().all(|zone| is_confirmed(zone));
        if are_others_confirmed { READ_INTERVAL_MS } else { UNCONFIRMED_READ_INTERVAL_MS }
    }

    /// Adds another daemon to the known ones, up to [`MAX_PEERS`].
    pub fn add_peer(&self, addr: SocketAddr, zone: &str) {
        let mut peers = self.peers.borrow_mut();
        if addr != self.settings.advertised && peers.len() < MAX_PEERS {
            peers.entry(addr).or_insert_with(|| zone.to_owned());
        }
    }

    fn update_empty_zones(&self, rows: &[Owner]) {
        let now = self.now();
        let zones_with_daemons: BTreeSet<&str> =
            rows.iter().filter_map(parse_member).map(|member| member.zone).collect();
        let mut empty_since = self.empty_zones_since.borrow_mut();
        for zone in self.known_zones() {
            if zones_with_daemons.contains(zone.as_str()) || zone == self.settings.zone {
                empty_since.remove(&zone);
            } else {
                empty_since.entry(zone).or_insert(now);
            }
        }
    }
}

/// Name of a daemon in the store's group.
#[derive(Clone, Copy, Debug)]
struct MemberName<'a> {
    addr: SocketAddr,
    zone: &'a str,
    /// `None` if the daemon does not state its capacity.
    capacity: Option<u64>,
}

/// Parses the name of the member in a row: `ADDR|ZONE` or `ADDR|ZONE|CAPACITY`.
fn parse_member(row: &Owner) -> Option<MemberName<'_>> {
    let mut parts = row.member.split('|');
    let addr = parts.next()?.parse().ok()?;
    let zone = parts.next()?;
    let capacity = parts.next().and_then(|capacity| capacity.parse().ok());
    Some(MemberName { addr, zone, capacity })
}
