//! One daemon's view of the upstream workers, and worker selection.
//!
//! Each daemon holds a share of a worker's slots and assigns a task only to a free slot in its
//! share. Workers with free slots are kept in an ordered set, so that an update costs logarithmic
//! time; see `docs/design/upstreams.md`.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::engine::Hint;
use crate::health::{HealthState, WorkerHealth};

/// Resources that a task requires of its worker, or that a worker offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Needs {
    /// Number of processor cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mb: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A worker's entry in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Address at which the worker accepts tasks.
    pub addr: SocketAddr,
    /// Availability zone of the worker.
    pub zone: String,
    /// Number of tasks that the worker runs concurrently.
    pub slots: u32,
    /// Resources of the largest task that the worker can run.
    pub size: Needs,
    /// Whether the worker is being removed and must get no new tasks.
    pub leaving: bool,
}

/// Policy by which a daemon selects the worker for a task.
///
/// Policies other than `Shares` are baselines for comparison: they bind tasks early, without regard
/// to free slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SelectionPolicy {
    /// Default: only free slots of the daemon's share are used; shares move between daemons.
    #[default]
    Shares,
    /// Baseline: a random worker.
    Random,
    /// Baseline: the workers in rotation.
    RoundRobin,
    /// Baseline: the worker with the fewest outstanding starts of this daemon.
    LeastOutstanding,
    /// Baseline: of two random workers, the one with fewer outstanding starts.
    TwoChoices,
}

/// This daemon's state for one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Latest entry of the VM list.
    pub info: WorkerInfo,
    /// Slots of the worker that are in this daemon's share, free or in use.
    pub credits: u32,
    /// Starts sent by this daemon that have not ended.
    pub outstanding: u32,
    /// Whether the worker's latest reply said that it is leaving; independent of the VM list.
    pub reported_leaving: bool,
    /// After a failed connection, no start is sent before this time; zero if there was none.
    pub unreachable_until: Millis,
    /// Moving estimate of the worker's slowdown: actual over expected run time.
    pub slowness: f64,
    /// Failure history, which decides whether the worker is ejected.
    pub health: WorkerHealth,
    /// Free slots reported by the latest reply.
    pub hint_free: u32,
    /// Time of the latest reply, or of the latest slot claim.
    pub hint_at: Millis,
    /// Consecutive replies that reported more free slots than this daemon holds free.
    unused_slot_replies: u32,
    /// Number that the worker's process drew when it started; `None` until it is known.
    ///
    /// With shares, no task is sent before that: after a lost reply, only this number shows whether
    /// the process has restarted and so cannot say whether the task ran.
    pub boot: Option<u64>,
    in_own_zone: bool,
    /// Whether the VM list no longer has the worker, so that its index may be reused.
    delisted: bool,
    key: Option<ReadyKey>,
}

impl Worker {
    /// Whether the worker is in the daemon's own zone.
    pub const fn is_in_own_zone(&self) -> bool {
        self.in_own_zone
    }
}

/// Timing of a waiting task, by which the use of a slow worker is decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct Urgency {
    /// Expected run time of the task.
    pub expected_ms: u64,
    /// How long the task may still wait without delaying its job's answer.
    pub slack_ms: u64,
    /// How long the task has waited since its slack ran out.
    pub waited_ms: u64,
}

/// Order of preference: other zone, slowness tier, load in thousandths of the slots, index.
type ReadyKey = (bool, u8, u32, u32);

/// Weight of a new observation in `slowness` where declared run times are not trusted.
const SMOOTHING_FACTOR: f64 = 0.12;
/// Weight of a new observation in `slowness` where declared run times are fully trusted.
const TRUSTED_SMOOTHING_FACTOR: f64 = 0.5;
/// Pause after a failed connection.
const CONNECT_BACKOFF_MS: u64 = 500;
/// Consecutive replies that must report an unused slot before it is claimed.
///
/// A single reply may only show a slot that is briefly free between two tasks.
const MIN_UNUSED_SLOT_REPLIES: u32 = 4;
/// Age up to which a reply's count of free slots is used for claims.
const HINT_TTL_MS: u64 = 300;
/// Time without a reply after which a slot of a worker without credits is claimed.
///
/// Without credits, no tasks are sent and so no replies arrive that could report a free slot.
const NO_REPLY_CLAIM_MS: u64 = 2_000;
/// Ready workers examined for a task without needs, which fits nearly every worker.
const MAX_SCAN_WITHOUT_NEEDS: usize = 64;
/// Upper limits of `slowness` for the tiers; workers of a faster tier are preferred.
///
/// Slots of workers above the last limit are not given to peers that ask, and workers up to the
/// first limit are used for any task.
const SLOWNESS_TIERS: [f64; 3] = [1.8, 2.8, 4.0];
/// Outstanding starts up to which the baseline policies use a worker.
const EARLY_BINDING_LIMIT: u32 = 64;
/// At most one in this many workers of a zone is ejected at a time, but always one.
const WORKERS_PER_EJECTION: usize = 3;

/// The workers known to one daemon, with the slots that it may use.
#[derive(Debug)]
pub struct Workers {
    zone: String,
    choice: SelectionPolicy,
    list: Vec<Worker>,
    by_addr: HashMap<SocketAddr, u32>,
    /// Workers with at least one free slot.
    ready: BTreeSet<ReadyKey>,
    rng: SmallRng,
    rotation: u32,
    free_credits: u64,
    /// This daemon's position among the daemons of its zone, and their number.
    rank: (usize, usize),
}

impl Workers {
    /// Creates an empty view for a daemon in `zone`; `seed` seeds the random policies.
    pub fn new(zone: &str, choice: SelectionPolicy, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            choice,
            list: Vec::new(),
            by_addr: HashMap::new(),
            ready: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            rotation: 0,
            free_credits: 0,
            rank: (0, 1),
        }
    }

    /// Applies a new VM list; workers that are no longer listed get no new tasks.
    pub fn update(&mut self, infos: &[WorkerInfo]) {
        let listed: HashSet<SocketAddr> = infos.iter().map(|info| info.addr).collect();
        for index in 0..self.list.len() as u32 {
            let delisted = !listed.contains(&self.list[index as usize].info.addr);
            self.modify(index, |worker| {
                worker.delisted = delisted;
                worker.info.leaving |= delisted;
            });
        }
        for info in infos {
            match self.by_addr.get(&info.addr).copied() {
                Some(index) => self.modify(index, |worker| worker.info = info.clone()),
                None => self.add(info.clone()),
            }
        }
    }

    /// Resets the shares of all workers: for daemon `rank` of `count` in the own zone, and none in
    /// other zones.
    pub fn set_shares(&mut self, rank: usize, count: usize) {
        self.rank = (rank, count);
        for index in 0..self.list.len() as u32 {
            let worker = &self.list[index as usize];
            let credits =
                if worker.in_own_zone { base_share(&worker.info, rank, count) } else { 0 };
            self.modify(index, |worker| worker.credits = credits);
        }
    }

    /// Adds slots that a peer transferred; unknown workers are ignored.
    pub fn grant(&mut self, addr: SocketAddr, slots: u32) {
        if let Some(index) = self.by_addr.get(&addr).copied() {
            self.modify(index, |worker| worker.credits += slots);
        }
    }

    /// Removes up to `limit` free slots for transfer to a peer: workers in `zone` first, then those
    /// that this daemon itself prefers least.
    pub fn release_slots(&mut self, limit: u32, zone: Option<&str>) -> Vec<(SocketAddr, u32)> {
        let usable =
            self.ready.iter().rev().filter(|key| usize::from(key.1) < SLOWNESS_TIERS.len());
        let mut order: Vec<u32> = usable.map(|key| key.3).collect();
        order.sort_by_key(|index| Some(self.list[*index as usize].info.zone.as_str()) != zone);
        let mut released = Vec::new();
        let mut remaining = limit;
        for index in order {
            let worker = &self.list[index as usize];
            let slots = remaining.min(free_slots_of(worker) as u32);
            if slots > 0 {
                released.push((worker.info.addr, slots));
                self.modify(index, |worker| worker.credits -= slots);
            }
            remaining -= slots;
        }
        released
    }

    /// Removes all free slots of other zones, grouped by zone, for return to those zones.
    pub fn release_cross_zone_slots(&mut self) -> Vec<(String, Vec<(SocketAddr, u32)>)> {
        let cross_zone = self.ready.iter().filter(|key| key.0).map(|key| key.3);
        let cross_zone: Vec<u32> = cross_zone.collect();
        let mut by_zone: Vec<(String, Vec<(SocketAddr, u32)>)> = Vec::new();
        for index in cross_zone {
            let worker = &self.list[index as usize];
            let slots = free_slots_of(worker) as u32;
            let (zone, addr) = (worker.info.zone.clone(), worker.info.addr);
            self.modify(index, |worker| worker.credits -= slots);
            match by_zone.iter_mut().find(|(other, _)| *other == zone) {
                Some((_, released)) => released.push((addr, slots)),
                None => by_zone.push((zone, vec![(addr, slots)])),
            }
        }
        by_zone
    }

    /// Selects a worker for a task; `None` if the task should wait.
    ///
    /// With shares, probes are made only with `idempotent` tasks, and a slow worker gets only tasks
    /// that it does not delay.
    pub fn choose(
        &mut self,
        needs: &Needs,
        idempotent: bool,
        urgency: Urgency,
        now: Millis,
    ) -> Option<u32> {
        match self.choice {
            SelectionPolicy::Shares => self.choose_ready(needs, idempotent, urgency, now),
            SelectionPolicy::Random
            | SelectionPolicy::RoundRobin
            | SelectionPolicy::LeastOutstanding
            | SelectionPolicy::TwoChoices => self.choose_early_bound(needs),
        }
    }

    /// Records that a start was sent to a worker.
    pub fn record_start(&mut self, index: u32) {
        self.modify(index, |worker| worker.outstanding += 1);
    }

    /// Records that a start has ended, with any outcome.
    pub fn record_end(&mut self, index: u32) {
        self.modify(index, |worker| {
            worker.outstanding = worker.outstanding.saturating_sub(1);
        });
    }

    /// Records the free slots, process and leaving state that a worker's reply reported.
    ///
    /// Must be called before [`Self::record_end`]: `outstanding` still counts the start replied to.
    pub fn record_hint(&mut self, index: u32, hint: Hint, now: Millis) {
        let worker = &mut self.list[index as usize];
        let own_free = worker.credits.saturating_sub(worker.outstanding.saturating_sub(1));
        let reports_unused = hint.free > own_free;
        worker.unused_slot_replies =
            if reports_unused { worker.unused_slot_replies + 1 } else { 0 };
        worker.hint_free = hint.free;
        worker.boot = Some(hint.boot);
        worker.hint_at = now;
        if worker.reported_leaving != hint.leaving {
            self.modify(index, |worker| worker.reported_leaving = hint.leaving);
        }
    }

    /// Records the number that a worker's process drew when it started.
    pub fn set_boot(&mut self, addr: SocketAddr, boot: u64) {
        if let Some(index) = self.by_addr.get(&addr).copied() {
            self.modify(index, |worker| worker.boot = Some(boot));
        }
    }

    /// Removes one credit after the worker refused a start because it had no free slot.
    pub fn record_full(&mut self, index: u32) {
        self.modify(index, |worker| {
            worker.credits = worker.credits.saturating_sub(1);
        });
    }

    /// Adds one credit for an own-zone worker that appears to have a slot that no daemon uses.
    ///
    /// That is a worker whose replies repeatedly reported unused slots, or one without credits that
    /// has not replied for `NO_REPLY_CLAIM_MS`. Returns the worker's index.
    pub fn claim_unused_slot(&mut self, now: Millis) -> Option<u32> {
        let index = self.list.iter().position(|worker| {
            let age_ms = now.since(worker.hint_at);
            let shows_unused =
                age_ms < HINT_TTL_MS && worker.unused_slot_replies >= MIN_UNUSED_SLOT_REPLIES;
            let silent = worker.credits == 0 && age_ms > NO_REPLY_CLAIM_MS;
            worker.in_own_zone && (shows_unused || silent) && available(worker)
        })? as u32;
        self.modify(index, |worker| {
            worker.credits += 1;
            worker.unused_slot_replies = 0;
            worker.hint_at = now;
        });
        Some(index)
    }

    /// Records a failed connection; the worker gets no starts for a while.
    pub fn record_unreachable(&mut self, index: u32, now: Millis) {
        self.modify(index, |worker| {
            worker.unreachable_until = now.plus(CONNECT_BACKOFF_MS);
        });
    }

    /// Updates a worker's slowness; `log_ratio` is the logarithm of actual over expected run time.
    ///
    /// The weight of the observation rises with `trust` in the expected time, from 0 to 1.
    pub fn update_slowness(&mut self, index: u32, log_ratio: f64, trust: f64) {
        let weight = SMOOTHING_FACTOR + trust * (TRUSTED_SMOOTHING_FACTOR - SMOOTHING_FACTOR);
        let step = weight * (log_ratio.clamp(-3.0, 3.0) - self.list[index as usize].slowness.ln());
        self.modify(index, |worker| {
            worker.slowness = (worker.slowness.ln() + step).exp();
        });
    }

    /// Records a successful task in the worker's health.
    pub fn record_success(&mut self, index: u32) {
        let worker = &self.list[index as usize];
        if worker.health.state != HealthState::Healthy || worker.health.failure_score > 0.01 {
            self.modify(index, |worker| worker.health.record_success());
        }
    }

    /// Records a failed task; returns true if the worker is ejected by it.
    ///
    /// No worker is ejected while too many of its zone already are.
    pub fn record_failure(&mut self, index: u32, share: f64, now: Millis) -> bool {
        let zone = self.list[index as usize].info.zone.clone();
        let in_zone = self.list.iter().filter(|worker| worker.info.zone == zone);
        let ejected =
            in_zone.clone().filter(|w| matches!(w.health.state, HealthState::Ejected(_))).count();
        let below_limit =
            (ejected + 1) * WORKERS_PER_EJECTION <= in_zone.count().max(WORKERS_PER_EJECTION);
        let mut newly_ejected = false;
        self.modify(index, |worker| {
            if worker.health.record_failure(share) && below_limit {
                worker.health.eject(now);
                newly_ejected = true;
            }
        });
        newly_ejected
    }

    /// Records that a peer has ejected a worker.
    pub fn record_peer_ejection(&mut self, addr: SocketAddr) {
        if let Some(index) = self.by_addr.get(&addr) {
            self.list[*index as usize].health.record_peer_ejection();
        }
    }

    /// Starts probes and ends connection pauses that are due.
    pub fn tick(&mut self, now: Millis) {
        for index in 0..self.list.len() as u32 {
            let worker = &self.list[index as usize];
            let retry = worker.unreachable_until.0 > 0 && worker.unreachable_until <= now;
            let probe_due =
                matches!(worker.health.state, HealthState::Ejected(until) if until <= now);
            if !retry && !probe_due {
                continue;
            }
            self.modify(index, |worker| {
                worker.health.start_probing(now);
                if retry {
                    worker.unreachable_until = Millis(0);
                }
            });
        }
    }

    /// Whether any known worker is large enough for the task, whatever its state.
    pub fn fits_any(&self, needs: &Needs) -> bool {
        self.list.iter().any(|worker| fits(worker, needs))
    }

    /// Returns the worker at `index`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn get(&self, index: u32) -> &Worker {
        &self.list[index as usize]
    }

    /// Returns the index of the worker with this address.
    pub fn find(&self, addr: SocketAddr) -> Option<u32> {
        self.by_addr.get(&addr).copied()
    }

    /// Iterates over all workers, including those no longer listed whose index is not yet reused.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.list.iter()
    }

    /// Number of free slots that this daemon may use now.
    pub const fn free_slots(&self) -> u64 {
        self.free_credits
    }

    /// Number of slots from which the wait in the queue is estimated.
    ///
    /// With shares, the larger of the credits held and the base share, both over usable workers.
    pub fn share_slots(&self) -> u64 {
        match self.choice {
            SelectionPolicy::Shares => {
                let usable = self.list.iter().filter(|worker| available(worker));
                let held: u64 = usable.clone().map(|worker| u64::from(worker.credits)).sum();
                let (rank, count) = self.rank;
                let own = usable.filter(|worker| worker.in_own_zone);
                held.max(own.map(|w| u64::from(base_share(&w.info, rank, count))).sum())
            }
            SelectionPolicy::Random
            | SelectionPolicy::RoundRobin
            | SelectionPolicy::LeastOutstanding
            | SelectionPolicy::TwoChoices => {
                self.list.iter().map(|worker| u64::from(worker.info.slots)).sum()
            }
        }
    }

    fn add(&mut self, info: WorkerInfo) {
        let in_own_zone = info.zone == self.zone;
        let worker = Worker {
            info,
            credits: 0,
            outstanding: 0,
            reported_leaving: false,
            unreachable_until: Millis(0),
            slowness: 1.0,
            health: WorkerHealth::default(),
            hint_free: 0,
            hint_at: Millis(0),
            unused_slot_replies: 0,
            boot: None,
            in_own_zone,
            delisted: false,
            key: None,
        };
        let index = self.insert_worker(worker);
        if in_own_zone {
            let (rank, count) = self.rank;
            self.modify(index, |worker| {
                worker.credits = base_share(&worker.info, rank, count);
            });
        }
    }

    /// Stores a worker at the index of a delisted one without outstanding starts, or at the end.
    fn insert_worker(&mut self, worker: Worker) -> u32 {
        let addr = worker.info.addr;
        let reusable = self.list.iter().position(|old| old.delisted && old.outstanding == 0);
        let index = if let Some(index) = reusable {
            self.by_addr.remove(&self.list[index].info.addr);
            self.list[index] = worker;
            index as u32
        } else {
            self.list.push(worker);
            self.list.len() as u32 - 1
        };
        self.by_addr.insert(addr, index);
        index
    }

    /// Modifies a worker and updates the ready set and the count of free slots.
    fn modify(&mut self, index: u32, modify: impl FnOnce(&mut Worker)) {
        let worker = &mut self.list[index as usize];
        let old = worker.key;
        let old_free = free_slots_of(worker);
        modify(worker);
        let new = ready_key(worker, index);
        worker.key = new;
        self.free_credits = self.free_credits + free_slots_of(worker) - old_free;
        if old == new {
            return;
        }
        if let Some(key) = old {
            self.ready.remove(&key);
        }
        if let Some(key) = new {
            self.ready.insert(key);
        }
    }

    fn choose_ready(
        &self,
        needs: &Needs,
        idempotent: bool,
        urgency: Urgency,
        now: Millis,
    ) -> Option<u32> {
        let without_needs = *needs == Needs::default();
        let scan_limit = if without_needs { MAX_SCAN_WITHOUT_NEEDS } else { usize::MAX };
        let candidates = self.ready.iter().take(scan_limit).map(|key| key.3);
        candidates.into_iter().find(|index| {
            let worker = &self.list[*index as usize];
            let probing = matches!(worker.health.state, HealthState::Probing(_));
            fits(worker, needs)
                && (idempotent || !probing)
                && worker.unreachable_until <= now
                && slowness_acceptable(worker, urgency)
        })
    }

    /// Selects by a baseline policy, which does not wait for a free slot.
    fn choose_early_bound(&mut self, needs: &Needs) -> Option<u32> {
        let eligible: Vec<u32> = (0..self.list.len() as u32)
            .filter(|index| {
                let worker = &self.list[*index as usize];
                let below_limit = worker.outstanding < EARLY_BINDING_LIMIT;
                below_limit
                    && !worker.info.leaving
                    && !worker.reported_leaving
                    && fits(worker, needs)
            })
            .collect();
        if eligible.is_empty() {
            return None;
        }
        let any = eligible[self.rng.random_range(0..eligible.len())];
        let outstanding = |index: &u32| self.list[*index as usize].outstanding;
        match self.choice {
            SelectionPolicy::RoundRobin => {
                self.rotation = self.rotation.wrapping_add(1);
                Some(eligible[self.rotation as usize % eligible.len()])
            }
            SelectionPolicy::LeastOutstanding => {
                let start = self.rng.random_range(0..eligible.len());
                let rotated = eligible[start..].iter().chain(&eligible[..start]);
                rotated.min_by_key(|index| outstanding(index)).copied()
            }
            SelectionPolicy::TwoChoices => {
                let other = eligible[self.rng.random_range(0..eligible.len())];
                Some(if outstanding(&other) < outstanding(&any) { other } else { any })
            }
            SelectionPolicy::Random | SelectionPolicy::Shares => Some(any),
        }
    }
}

/// Number of a worker's slots in the base share of daemon `rank` of `count`.
///
/// The slots are assigned round robin, starting at an offset derived from the worker's port, which
/// spreads the slots left over by the division over the daemons.
fn base_share(info: &WorkerInfo, rank: usize, count: usize) -> u32 {
    let rotation = usize::from(info.addr.port());
    let slots = 0..info.slots as usize;
    slots.filter(|slot| (slot + rotation) % count.max(1) == rank).count() as u32
}

fn available(worker: &Worker) -> bool {
    !worker.info.leaving
        && !worker.reported_leaving
        && !matches!(worker.health.state, HealthState::Ejected(_))
}

/// Credits that may be used; during probing, one more than the probes that have succeeded.
fn usable_credits(worker: &Worker) -> u32 {
    match worker.health.state {
        HealthState::Probing(done) => worker.credits.min(done + 1),
        HealthState::Healthy | HealthState::Ejected(_) => worker.credits,
    }
}

fn free_slots_of(worker: &Worker) -> u64 {
    if !available(worker) || worker.unreachable_until.0 > 0 || worker.boot.is_none() {
        return 0;
    }
    u64::from(usable_credits(worker).saturating_sub(worker.outstanding))
}

/// The worker's key in the ready set; `None` without a free slot.
fn ready_key(worker: &Worker, index: u32) -> Option<ReadyKey> {
    if free_slots_of(worker) == 0 {
        return None;
    }
    let tier = SLOWNESS_TIERS.iter().filter(|limit| worker.slowness > **limit).count();
    let load = worker.outstanding * 1_000 / worker.info.slots.max(1);
    Some((!worker.in_own_zone, tier as u8, load, index))
}

fn fits(worker: &Worker, needs: &Needs) -> bool {
    let size = &worker.info.size;
    size.cores >= needs.cores
        && size.memory_mb >= needs.memory_mb
        && size.accelerators >= needs.accelerators
}

/// Whether the task may run on the worker in spite of its slowness.
///
/// A slow worker is used if the added run time fits into the task's slack, or once the task has
/// waited past its slack for as long as the slow worker would add.
fn slowness_acceptable(worker: &Worker, urgency: Urgency) -> bool {
    if worker.slowness <= SLOWNESS_TIERS[0] {
        return true;
    }
    let added_ms = (worker.slowness - 1.0) * urgency.expected_ms as f64;
    added_ms <= urgency.slack_ms as f64 || added_ms <= urgency.waited_ms as f64
}
