//! Chooses which work is refused when a cell cannot serve all of its queue in time.
//!
//! Load above the capacity costs some callers their answers. If each arriving job is judged by
//! itself, a flood of one route fills the queue before the jobs of other routes arrive, and waiting
//! jobs whose loss costs little keep out those whose loss costs much. Here the arriving job and all
//! waiting jobs of which no task has started are weighed against each other. See
//! `docs/design/shedding.md`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

use dispatch::clock::Millis;

use crate::queue;

/// Share of its value that a late answer has for its caller.
pub const LATE_VALUE_SHARE: f64 = 0.2;
/// Share of the value of a route's mean job that does not depend on the job's work.
const BASE_VALUE: f64 = 0.3;
/// Upper limit of a job's value.
const MAX_VALUE: f64 = 4.0;

/// Safety factor on the estimated wait of a job of the most urgent class while another job arrives.
/// The estimate knows neither fragmentation nor the jobs that will arrive and go first. Derived from
/// simulations with `clementinelab` (docs/design/shedding.md).
const ARRIVAL_MARGIN: f64 = 1.5;
/// Weight of a class relative to the next more urgent one. A smaller weight starved the least urgent
/// class in simulations, since its jobs also need the most work.
const CLASS_WEIGHT: f64 = 0.8;
/// Exponent of the weight by which a route gains on others that are served more of their work.
/// Larger ones made no difference in simulations.
const BALANCE_EXPONENT: f64 = 2.0;
/// Time constant over which a route's work is summed, in milliseconds. The load oscillates with a
/// period of 11 s or more, and a flood has to be recognised within seconds.
const WINDOW_MS: f64 = 3_000.0;
/// Multiple of its fair share from which a route's work counts as a flood. At 1.5 times the work that
/// fits, the largest kind of the deployments in docs/design/hard-load.md asks for twice its share.
const FLOOD_RATIO: f64 = 3.0;
/// Number of mean jobs that are assumed to have been served, so that the first refusal of a rare
/// route does not count as starvation.
const PRIOR_JOBS: f64 = 2.0;
/// Lower limit of the served share, which keeps the weights finite.
const MIN_SERVED_SHARE: f64 = 0.02;
/// Weight of the latest job in the mean work of its route.
const MEAN_WEIGHT: f64 = 0.05;
/// Maximum number of jobs that one decision displaces. Bounds its cost; a limit of 16 gave the same
/// results in simulations.
const MAX_VICTIMS: usize = 8;

/// Returns the value of a job to its caller, given its work and the mean work of its route.
pub fn value(work: f64, mean_work: f64) -> f64 {
    (BASE_VALUE + (1.0 - BASE_VALUE) * work / mean_work.max(1.0)).min(MAX_VALUE)
}

/// Work of one route: exponentially decaying sums, in millicore-milliseconds.
#[derive(Clone, Copy, Debug)]
struct RouteWork {
    mean_work: f64,
    offered: f64,
    admitted: f64,
    updated_at: Millis,
}

impl RouteWork {
    fn at(self, now: Millis) -> Self {
        let factor = (-(now.since(self.updated_at) as f64) / WINDOW_MS).exp();
        let (offered, admitted) = (self.offered * factor, self.admitted * factor);
        Self { offered, admitted, updated_at: now, ..self }
    }

    fn served_share(&self) -> f64 {
        let prior = self.mean_work * PRIOR_JOBS;
        (self.admitted + prior) / (self.offered + prior).max(1.0)
    }
}

/// Mean work of a route's jobs and the weight of the route against others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteWeight {
    /// Mean work of a job, in millicore-milliseconds.
    pub mean_work: f64,
    /// Weight of the route's jobs: larger for routes that were served less of their work than
    /// others, smaller for a route that floods the cell.
    pub weight: f64,
    /// Whether the route floods the cell: it asks for several times its fair share.
    pub is_flood: bool,
}

/// Recent demand and service of the routes of a cell.
#[derive(Debug, Default)]
pub struct RouteDemand {
    routes: HashMap<Rc<str>, RouteWork>,
}

impl RouteDemand {
    /// Records a job that was admitted, or refused although it might have waited.
    pub fn record(&mut self, route: &Rc<str>, work: u64, is_admitted: bool, now: Millis) {
        let work = work as f64;
        let initial = RouteWork { mean_work: work, offered: 0.0, admitted: 0.0, updated_at: now };
        let stats = self.routes.entry(Rc::clone(route)).or_insert(initial);
        *stats = stats.at(now);
        stats.mean_work += MEAN_WEIGHT * (work - stats.mean_work);
        stats.offered += work;
        if is_admitted {
            stats.admitted += work;
        }
    }

    /// Records that an admitted job was displaced.
    pub fn record_displaced(&mut self, route: &str, work: u64, now: Millis) {
        if let Some(stats) = self.routes.get_mut(route) {
            *stats = stats.at(now);
            stats.admitted = (stats.admitted - work as f64).max(0.0);
        }
    }

    /// Returns the mean work of a route's jobs, or `None` if none has arrived.
    pub fn mean_work(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|stats| stats.mean_work)
    }

    /// Returns the weights of all routes of a cell with `usable_millicores`. The fair shares divide
    /// the capacity evenly among the routes; what a route leaves unused goes to the others.
    pub fn weights(&self, usable_millicores: f64, now: Millis) -> HashMap<Rc<str>, RouteWeight> {
        let mut routes: Vec<_> =
            self.routes.iter().map(|(route, stats)| (route, stats.at(now))).collect();
        routes.sort_unstable_by(|(a_route, a), (b_route, b)| {
            a.offered.total_cmp(&b.offered).then_with(|| a_route.cmp(b_route))
        });
        let mut work_left = usable_millicores * WINDOW_MS;
        let count = routes.len();
        let weigh = |(at, (route, stats)): (usize, (&Rc<str>, RouteWork))| {
            let fair_share = work_left / (count - at) as f64;
            work_left -= stats.offered.min(fair_share);
            let demand_ratio = stats.offered / fair_share.max(1.0);
            let is_flood = demand_ratio > FLOOD_RATIO;
            let target_share = if is_flood { 1.0 / demand_ratio } else { 1.0 };
            let served_share = stats.served_share().max(MIN_SERVED_SHARE);
            let weight = (target_share / served_share).powf(BALANCE_EXPONENT);
            (Rc::clone(route), RouteWeight { mean_work: stats.mean_work, weight, is_flood })
        };
        routes.into_iter().enumerate().map(weigh).collect()
    }
}

/// A job in the queue of a cell, or one that arrives.
#[derive(Clone, Debug)]
pub struct QueuedJob {
    /// Submission number of the job.
    pub number: u64,
    /// Latest time at which the job can start and still meet its latency objective.
    pub latest_start: Millis,
    /// Number of tasks that wait for a worker.
    pub tasks: usize,
    /// Expected run time of the longest task, in milliseconds.
    pub task_ms: u64,
    /// Expected work of all tasks, in millicore-milliseconds.
    pub work: u64,
    /// Priority of the job's route; zero is the most urgent.
    pub priority: u32,
    /// Mean work and weight of the job's route.
    pub route: RouteWeight,
    /// Whether a task of the job has started. Such a job is never displaced.
    pub is_started: bool,
    /// Whether the job is the arriving one.
    pub is_arriving: bool,
}

impl QueuedJob {
    /// Returns the value of the job to its caller.
    pub fn value(&self) -> f64 {
        value(self.work as f64, self.route.mean_work)
    }

    fn lower_classes(&self) -> u32 {
        self.priority.min(queue::MAX_LOWER_CLASSES)
    }

    /// Returns the weighted value that is lost for each unit of capacity that dropping the job
    /// frees, relative to a mean job of the route. Without that relation, the routes with the
    /// largest jobs would lose all of theirs first.
    fn loss_rate(&self) -> f64 {
        let relative_work = self.work.max(1) as f64 / self.route.mean_work.max(1.0);
        let class_weight = CLASS_WEIGHT.powf(f64::from(self.lower_classes()));
        self.value() / relative_work * class_weight * self.route.weight
    }

    /// Returns whether the job would miss its latency objective if its last task started after
    /// `wait_ms`. Less urgent classes need a wait that fits more often, so that there is room for
    /// the urgent, wide jobs that arrive later and have to start at once.
    fn is_late_after(&self, wait_ms: u64, margin: f64, now: Millis) -> bool {
        let margin = margin * f64::from(1 + self.lower_classes());
        now.plus((wait_ms as f64 * margin) as u64) > self.latest_start
    }
}

/// What to do about a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The arriving job is refused and nothing is displaced.
    Refuse,
    /// The jobs with these submission numbers are displaced, in this order, and the arriving job is
    /// admitted.
    Displace(Vec<u64>),
}

/// Decides which jobs of a queue to refuse so that the others can meet their latency objectives
/// (weighted Moore-Hodgson): in order of the latest start, at the first job that would be late, the
/// job with the least loss among those up to it is dropped. No job is displaced by an arriving one
/// whose loss would cost less. `ends_ms` is the time until each slot
/// for a task becomes free, in milliseconds.
///
/// Jobs that are late already neither count as late nor lose their place; the time limits of the
/// queue end them.
pub fn decide(mut jobs: Vec<QueuedJob>, ends_ms: &[u64], now: Millis) -> Verdict {
    jobs.sort_by_key(|job| (queue::sort_key_of(job.latest_start, now), job.number));
    let arriving_rate = jobs.iter().find(|job| job.is_arriving).map(QueuedJob::loss_rate);
    // Without an arrival, jobs stay that admission would admit.
    let margin = if arriving_rate.is_some() { ARRIVAL_MARGIN } else { queue::WAIT_MARGIN };
    let mut victims = Vec::new();
    while let Some(late) = first_late(&jobs, ends_ms, margin, now) {
        let candidates = jobs[..=late].iter().enumerate().filter(|(_, job)| !job.is_started);
        let least = candidates.min_by(|(_, a), (_, b)| a.loss_rate().total_cmp(&b.loss_rate()));
        let Some((victim, _)) = least else { break };
        let victim = jobs.remove(victim);
        let Some(arriving_rate) = arriving_rate else {
            victims.push(victim.number);
            if victims.len() == MAX_VICTIMS {
                break;
            }
            continue;
        };
        let costs_less = !victim.is_arriving && victim.loss_rate() < arriving_rate;
        if !costs_less || victims.len() == MAX_VICTIMS {
            return Verdict::Refuse;
        }
        victims.push(victim.number);
    }
    Verdict::Displace(victims)
}

/// Returns the index of the first job that would miss its latency objective and has not started.
fn first_late(jobs: &[QueuedJob], ends_ms: &[u64], margin: f64, now: Millis) -> Option<usize> {
    let mut slots: BinaryHeap<Reverse<u64>> = ends_ms.iter().copied().map(Reverse).collect();
    jobs.iter().position(|job| {
        let mut wait_ms = 0;
        for _ in 0..job.tasks {
            let Some(mut slot) = slots.peek_mut() else { return !job.is_started };
            wait_ms = wait_ms.max(slot.0);
            slot.0 = slot.0.saturating_add(job.task_ms);
        }
        !job.is_started && job.latest_start >= now && job.is_late_after(wait_ms, margin, now)
    })
}

/// A waiting job that was displaced, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Displacement {
    /// Id of the displaced job.
    pub job: Rc<str>,
    /// Route of the displaced job.
    pub route: Rc<str>,
    /// Id of the arriving job that displaced it; `None` if the queue could not be served in time
    /// without an arrival.
    pub by: Option<Rc<str>>,
    /// Value of the displaced job to its caller.
    pub value: f64,
    /// How long the job had waited since the caller's request, in milliseconds.
    pub wait_ms: u64,
}
