//! What one daemon knows of the upstream workers, and the choice among them.
//!
//! Each daemon holds shares of a worker's slots and binds a task only to a free one.
//! The ready set keeps the choice logarithmic; see `docs/design/upstreams.md`.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::engine::Hint;
use crate::health::{Trust, WorkerHealth};

/// What a task needs of its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Needs {
    /// Processor cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// What the VM list says of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The address at which the worker takes tasks.
    pub addr: SocketAddr,
    /// The worker's availability zone.
    pub zone: String,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// The largest task that fits.
    pub size: Needs,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// How a daemon chooses a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Shares of slots that move between daemons: what is shipped.
    #[default]
    Shares,
    /// Baseline: any worker.
    Random,
    /// Baseline: one after the other.
    RoundRobin,
    /// Baseline: the fewest own outstanding starts.
    LeastOutstanding,
    /// Baseline: the less loaded of two random ones.
    TwoChoices,
}

/// One worker as this daemon knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the VM list says.
    pub info: WorkerInfo,
    /// Slots that this daemon may use.
    pub credits: u32,
    /// Own starts that have not ended.
    pub outstanding: u32,
    /// The worker said that it leaves, whatever the list says.
    pub says_leaving: bool,
    /// No start is tried before this time after a failed connection.
    pub unreachable_until: Millis,
    /// Actual over expected run time, learnt.
    pub slowness: f64,
    /// The record of failures.
    pub health: WorkerHealth,
    /// Free slots that the last reply told, and when.
    pub hint_free: u32,
    /// When the last reply came.
    pub hint_at: Millis,
    /// Replies in a row that told more free slots than this daemon holds free.
    unclaimed_hints: u32,
    /// The number that the worker's process drew; without it a lost start could not be settled.
    pub boot: Option<u64>,
    own_zone: bool,
    /// The VM list no longer names the worker, so that its place may be used again.
    gone: bool,
    key: Option<ReadyKey>,
}

impl Worker {
    /// Tells whether the worker is in the daemon's own zone.
    pub const fn is_near(&self) -> bool {
        self.own_zone
    }
}

/// How soon a task must start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Urgency {
    /// Its expected run time.
    pub expected_ms: u64,
    /// How long it may still wait without delaying its job's answer.
    pub slack_ms: u64,
    /// How long it has waited past that.
    pub waited_ms: u64,
}

type ReadyKey = (bool, u8, u32, u32);

const LEARN_SHARE: f64 = 0.12;
const TRUSTED_LEARN_SHARE: f64 = 0.5;
const UNREACHABLE_MS: u64 = 500;
/// Replies in a row that must show an unclaimed slot: one alone is a slot between two tasks.
const CLAIM_HINTS: u32 = 4;
/// A hint on free slots counts for this long.
const FRESH_HINT_MS: u64 = 300;
/// A worker of which no share is held is tried after this long without a reply.
const UNHEARD_MS: u64 = 2_000;
/// Ready workers looked at for a task without needs, which nearly every worker fits.
const PLAIN_SCAN: usize = 64;
const SLOW_TIERS: [f64; 3] = [1.8, 2.8, 4.0];
const EARLY_BINDING_LIMIT: u32 = 64;
const MOST_ASIDE_SHARE: usize = 3;

/// The workers that one daemon knows.
#[derive(Debug)]
pub struct Workers {
    zone: String,
    choice: Choice,
    list: Vec<Worker>,
    by_addr: HashMap<SocketAddr, u32>,
    ready: BTreeSet<ReadyKey>,
    rng: SmallRng,
    turn: u32,
    free_credits: u64,
    rank: (usize, usize),
}

impl Workers {
    /// Builds an empty view of a daemon in `zone`.
    pub fn new(zone: &str, choice: Choice, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            choice,
            list: Vec::new(),
            by_addr: HashMap::new(),
            ready: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            turn: 0,
            free_credits: 0,
            rank: (0, 1),
        }
    }

    /// Takes a new VM list; workers that it no longer names get nothing new.
    pub fn update(&mut self, infos: &[WorkerInfo]) {
        let listed: HashSet<SocketAddr> = infos.iter().map(|info| info.addr).collect();
        for index in 0..self.list.len() as u32 {
            let gone = !listed.contains(&self.list[index as usize].info.addr);
            self.change(index, |worker| {
                worker.gone = gone;
                worker.info.leaving |= gone;
            });
        }
        for info in infos {
            match self.by_addr.get(&info.addr).copied() {
                Some(index) => self.change(index, |worker| worker.info = info.clone()),
                None => self.add(info.clone()),
            }
        }
    }

    /// Sets the shares of the own zone's slots: daemon `rank` of `count` by address.
    pub fn set_shares(&mut self, rank: usize, count: usize) {
        self.rank = (rank, count);
        for index in 0..self.list.len() as u32 {
            let worker = &self.list[index as usize];
            let credits = if worker.own_zone { base_share(&worker.info, rank, count) } else { 0 };
            self.change(index, |worker| worker.credits = credits);
        }
    }

    /// Adds slots that a peer gave.
    pub fn grant(&mut self, addr: SocketAddr, slots: u32) {
        if let Some(index) = self.by_addr.get(&addr).copied() {
            self.change(index, |worker| worker.credits += slots);
        }
    }

    /// Takes up to `most` free slots out, to give them to a peer; those of its zone first.
    pub fn release(&mut self, most: u32, zone: Option<&str>) -> Vec<(SocketAddr, u32)> {
        let usable = self.ready.iter().rev().filter(|key| usize::from(key.1) < SLOW_TIERS.len());
        let mut order: Vec<u32> = usable.map(|key| key.3).collect();
        order.sort_by_key(|index| Some(self.list[*index as usize].info.zone.as_str()) != zone);
        let mut given = Vec::new();
        let mut left = most;
        for index in order {
            let worker = &self.list[index as usize];
            let slots = left.min(free_of(worker) as u32);
            if slots > 0 {
                given.push((worker.info.addr, slots));
                self.change(index, |worker| worker.credits -= slots);
            }
            left -= slots;
        }
        given
    }

    /// Takes every free slot of other zones out, by zone, to give them back.
    pub fn release_far(&mut self) -> Vec<(String, Vec<(SocketAddr, u32)>)> {
        let far = self.ready.iter().filter(|key| key.0).map(|key| key.3);
        let far: Vec<u32> = far.collect();
        let mut by_zone: Vec<(String, Vec<(SocketAddr, u32)>)> = Vec::new();
        for index in far {
            let worker = &self.list[index as usize];
            let slots = free_of(worker) as u32;
            let (zone, addr) = (worker.info.zone.clone(), worker.info.addr);
            self.change(index, |worker| worker.credits -= slots);
            match by_zone.iter_mut().find(|(other, _)| *other == zone) {
                Some((_, given)) => given.push((addr, slots)),
                None => by_zone.push((zone, vec![(addr, slots)])),
            }
        }
        by_zone
    }

    /// Chooses a worker for a task, or none where the task should wait.
    ///
    /// `idempotent` work alone is used for probes; slow workers get what their slowness does not
    /// delay.
    pub fn choose(
        &mut self,
        needs: &Needs,
        idempotent: bool,
        urgency: Urgency,
        now: Millis,
    ) -> Option<u32> {
        match self.choice {
            Choice::Shares => self.choose_ready(needs, idempotent, urgency, now),
            Choice::Random | Choice::RoundRobin | Choice::LeastOutstanding | Choice::TwoChoices => {
                self.choose_early(needs)
            }
        }
    }

    /// Notes that a start went to a worker.
    pub fn started(&mut self, index: u32) {
        self.change(index, |worker| worker.outstanding += 1);
    }

    /// Notes that a start has ended in whatever way.
    pub fn ended(&mut self, index: u32) {
        self.change(index, |worker| {
            worker.outstanding = worker.outstanding.saturating_sub(1);
        });
    }

    /// Notes what a reply told of the worker's free slots and intent to leave.
    pub fn hinted(&mut self, index: u32, hint: Hint, now: Millis) {
        let worker = &mut self.list[index as usize];
        let own_free = worker.credits.saturating_sub(worker.outstanding.saturating_sub(1));
        let unclaimed = hint.free > own_free;
        worker.unclaimed_hints = if unclaimed { worker.unclaimed_hints + 1 } else { 0 };
        worker.hint_free = hint.free;
        worker.boot = Some(hint.boot);
        worker.hint_at = now;
        if worker.says_leaving != hint.leaving {
            self.change(index, |worker| worker.says_leaving = hint.leaving);
        }
    }

    /// Takes the number that a worker's process drew.
    pub fn set_boot(&mut self, addr: SocketAddr, boot: u64) {
        if let Some(index) = self.by_addr.get(&addr).copied() {
            self.change(index, |worker| worker.boot = Some(boot));
        }
    }

    /// Drops one share after the worker itself had no slot for it.
    pub fn was_full(&mut self, index: u32) {
        self.change(index, |worker| {
            worker.credits = worker.credits.saturating_sub(1);
        });
    }

    /// Claims one more share of a worker of the own zone: of one whose replies show unused slots,
    /// or of one that was long not heard because no share of it is held.
    pub fn claim_unused(&mut self, now: Millis) -> Option<u32> {
        let index = self.list.iter().position(|worker| {
            let age_ms = now.since(worker.hint_at);
            let shown = age_ms < FRESH_HINT_MS && worker.unclaimed_hints >= CLAIM_HINTS;
            let unheard = worker.credits == 0 && age_ms > UNHEARD_MS;
            worker.own_zone && (shown || unheard) && available(worker)
        })? as u32;
        self.change(index, |worker| {
            worker.credits += 1;
            worker.unclaimed_hints = 0;
            worker.hint_at = now;
        });
        Some(index)
    }

    /// Notes a connection that could not be made.
    pub fn unreachable(&mut self, index: u32, now: Millis) {
        self.change(index, |worker| {
            worker.unreachable_until = now.plus(UNREACHABLE_MS);
        });
    }

    /// Learns how fast the worker is: `log_ratio` is the logarithm of actual over expected time.
    ///
    /// `trust` in expected times, from 0 to 1, makes one observation count for more.
    pub fn learn_speed(&mut self, index: u32, log_ratio: f64, trust: f64) {
        let share = LEARN_SHARE + trust * (TRUSTED_LEARN_SHARE - LEARN_SHARE);
        let step = share * (log_ratio.clamp(-3.0, 3.0) - self.list[index as usize].slowness.ln());
        self.change(index, |worker| {
            worker.slowness = (worker.slowness.ln() + step).exp();
        });
    }

    /// Notes a success for the worker's health.
    pub fn succeeded(&mut self, index: u32) {
        let worker = &self.list[index as usize];
        if worker.health.trust != Trust::Full || worker.health.blame > 0.01 {
            self.change(index, |worker| worker.health.succeeded());
        }
    }

    /// Notes a failure; gives true where the worker is now set aside.
    pub fn failed(&mut self, index: u32, blame: f64, now: Millis) -> bool {
        let zone = self.list[index as usize].info.zone.clone();
        let in_zone = self.list.iter().filter(|worker| worker.info.zone == zone);
        let aside = in_zone.clone().filter(|w| matches!(w.health.trust, Trust::Aside(_))).count();
        let room = (aside + 1) * MOST_ASIDE_SHARE <= in_zone.count().max(MOST_ASIDE_SHARE);
        let mut now_aside = false;
        self.change(index, |worker| {
            if worker.health.failed(blame) && room {
                worker.health.set_aside(now);
                now_aside = true;
            }
        });
        now_aside
    }

    /// Takes in a peer's report that a worker is bad.
    pub fn told_bad(&mut self, addr: SocketAddr) {
        if let Some(index) = self.by_addr.get(&addr) {
            self.list[*index as usize].health.told_bad();
        }
    }

    /// Lets time pass: probes begin and unreachable workers are tried again.
    pub fn tick(&mut self, now: Millis) {
        for index in 0..self.list.len() as u32 {
            let worker = &self.list[index as usize];
            let retry = worker.unreachable_until.0 > 0 && worker.unreachable_until <= now;
            let wakes = matches!(worker.health.trust, Trust::Aside(until) if until <= now);
            if !retry && !wakes {
                continue;
            }
            self.change(index, |worker| {
                worker.health.wake(now);
                if retry {
                    worker.unreachable_until = Millis(0);
                }
            });
        }
    }

    /// Tells whether any worker that is not leaving could hold the task.
    pub fn fits_any(&self, needs: &Needs) -> bool {
        self.list.iter().any(|worker| fits(worker, needs))
    }

    /// Gives one worker.
    pub fn get(&self, index: u32) -> &Worker {
        &self.list[index as usize]
    }

    /// Finds a worker by its address.
    pub fn find(&self, addr: SocketAddr) -> Option<u32> {
        self.by_addr.get(&addr).copied()
    }

    /// Lists the workers.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.list.iter()
    }

    /// Gives the free slots that this daemon may use now.
    pub const fn free_slots(&self) -> u64 {
        self.free_credits
    }

    /// Gives the slots that this daemon counts on for its queue.
    pub fn share_slots(&self) -> u64 {
        match self.choice {
            Choice::Shares => {
                let usable = self.list.iter().filter(|worker| available(worker));
                let held: u64 = usable.clone().map(|worker| u64::from(worker.credits)).sum();
                let (rank, count) = self.rank;
                let own = usable.filter(|worker| worker.own_zone);
                held.max(own.map(|w| u64::from(base_share(&w.info, rank, count))).sum())
            }
            Choice::Random | Choice::RoundRobin | Choice::LeastOutstanding | Choice::TwoChoices => {
                self.list.iter().map(|worker| u64::from(worker.info.slots)).sum()
            }
        }
    }

    fn add(&mut self, info: WorkerInfo) {
        let own_zone = info.zone == self.zone;
        let worker = Worker {
            info,
            credits: 0,
            outstanding: 0,
            says_leaving: false,
            unreachable_until: Millis(0),
            slowness: 1.0,
            health: WorkerHealth::default(),
            hint_free: 0,
            hint_at: Millis(0),
            unclaimed_hints: 0,
            boot: None,
            own_zone,
            gone: false,
            key: None,
        };
        let index = self.place_for(worker);
        if own_zone {
            let (rank, count) = self.rank;
            self.change(index, |worker| {
                worker.credits = base_share(&worker.info, rank, count);
            });
        }
    }

    /// Puts a worker where one was that is gone for good, or at the end.
    fn place_for(&mut self, worker: Worker) -> u32 {
        let addr = worker.info.addr;
        let reusable = self.list.iter().position(|old| old.gone && old.outstanding == 0);
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

    fn change(&mut self, index: u32, change: impl FnOnce(&mut Worker)) {
        let worker = &mut self.list[index as usize];
        let old = worker.key;
        let old_free = free_of(worker);
        change(worker);
        let new = ready_key(worker, index);
        worker.key = new;
        self.free_credits = self.free_credits + free_of(worker) - old_free;
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
        let plain = *needs == Needs::default();
        let scan = if plain { PLAIN_SCAN } else { usize::MAX };
        let candidates = self.ready.iter().take(scan).map(|key| key.3);
        candidates.into_iter().find(|index| {
            let worker = &self.list[*index as usize];
            let probing = matches!(worker.health.trust, Trust::Probing(_));
            fits(worker, needs)
                && (idempotent || !probing)
                && worker.unreachable_until <= now
                && worth_it(worker, urgency)
        })
    }

    fn choose_early(&mut self, needs: &Needs) -> Option<u32> {
        let open: Vec<u32> = (0..self.list.len() as u32)
            .filter(|index| {
                let worker = &self.list[*index as usize];
                let room = worker.outstanding < EARLY_BINDING_LIMIT;
                room && !worker.info.leaving && !worker.says_leaving && fits(worker, needs)
            })
            .collect();
        if open.is_empty() {
            return None;
        }
        let any = open[self.rng.random_range(0..open.len())];
        let outstanding = |index: &u32| self.list[*index as usize].outstanding;
        match self.choice {
            Choice::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                Some(open[self.turn as usize % open.len()])
            }
            Choice::LeastOutstanding => {
                let start = self.rng.random_range(0..open.len());
                let rotated = open[start..].iter().chain(&open[..start]);
                rotated.min_by_key(|index| outstanding(index)).copied()
            }
            Choice::TwoChoices => {
                let other = open[self.rng.random_range(0..open.len())];
                Some(if outstanding(&other) < outstanding(&any) { other } else { any })
            }
            Choice::Random | Choice::Shares => Some(any),
        }
    }
}

/// Gives the slots of a worker that fall to daemon `rank` of `count`.
fn base_share(info: &WorkerInfo, rank: usize, count: usize) -> u32 {
    let turn = usize::from(info.addr.port());
    let slots = 0..info.slots as usize;
    slots.filter(|slot| (slot + turn) % count.max(1) == rank).count() as u32
}

fn available(worker: &Worker) -> bool {
    !worker.info.leaving && !worker.says_leaving && !matches!(worker.health.trust, Trust::Aside(_))
}

fn usable_credits(worker: &Worker) -> u32 {
    match worker.health.trust {
        Trust::Probing(done) => worker.credits.min(done + 1),
        Trust::Full | Trust::Aside(_) => worker.credits,
    }
}

fn free_of(worker: &Worker) -> u64 {
    if !available(worker) || worker.unreachable_until.0 > 0 || worker.boot.is_none() {
        return 0;
    }
    u64::from(usable_credits(worker).saturating_sub(worker.outstanding))
}

fn ready_key(worker: &Worker, index: u32) -> Option<ReadyKey> {
    if free_of(worker) == 0 {
        return None;
    }
    let tier = SLOW_TIERS.iter().filter(|limit| worker.slowness > **limit).count();
    let load = worker.outstanding * 1_000 / worker.info.slots.max(1);
    Some((!worker.own_zone, tier as u8, load, index))
}

fn fits(worker: &Worker, needs: &Needs) -> bool {
    let size = &worker.info.size;
    size.cores >= needs.cores
        && size.memory_mb >= needs.memory_mb
        && size.accelerators >= needs.accelerators
}

/// A slow worker is worth it where its slowness fits into the task's slack, or once the wait has
/// cost what the slowness would add.
fn worth_it(worker: &Worker, urgency: Urgency) -> bool {
    if worker.slowness <= SLOW_TIERS[0] {
        return true;
    }
    let added_ms = (worker.slowness - 1.0) * urgency.expected_ms as f64;
    added_ms <= urgency.slack_ms as f64 || added_ms <= urgency.waited_ms as f64
}
