//! Counters, recent refusals and the state dump for operators.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::answer::{Reason, Verdict};
use crate::clock::Millis;
use crate::engine::Engine;
use crate::health::HealthState;
use crate::home::HomeSizes;
use crate::jobs::{JobPhase, TaskState};
use crate::ticket::{JobId, TaskId};

/// Counters since the daemon's start.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Starts sent to workers.
    pub starts: u64,
    /// Tasks that ended.
    pub ended: u64,
    /// Starts that a worker refused or that could not be sent.
    pub refused_starts: u64,
    /// Tasks that were started again after proof that the earlier start had not begun.
    pub retries: u64,
    /// Starts whose reply was lost, so that the task may have run.
    pub in_doubt: u64,
    /// Replies to attempts that were no longer current.
    pub late_replies: u64,
    /// Resubmissions that were answered without starting the job again.
    pub duplicates_stopped: u64,
    /// Ejections of workers.
    pub set_aside: u64,
    /// Slot requests sent to peers.
    pub slot_asks: u64,
    /// Messages that transferred idle slots to a peer that requested slots.
    pub idle_grants: u64,
    /// Messages that transferred slots to a peer whose tasks had waited longer.
    pub fair_grants: u64,
    /// Messages that returned slots to their zone.
    pub returns: u64,
    /// Slots transferred to peers.
    pub slots_given: u64,
    /// Slots received from peers.
    pub slots_received: u64,
    /// Slots claimed because no daemon appeared to use them.
    pub slots_claimed: u64,
    /// Requests refused, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Answers to requests, by verdict.
    pub answers: BTreeMap<String, u64>,
    /// Jobs that ended, by verdict.
    pub jobs: BTreeMap<String, u64>,
}

impl Counters {
    /// Increments the count of refusals for `reason`.
    pub fn count_refusal(&mut self, reason: Reason) {
        *self.refusals.entry(name_of(&reason)).or_insert(0) += 1;
    }

    /// Increments the count of answers with `verdict`.
    pub fn count_answer(&mut self, verdict: Verdict) {
        *self.answers.entry(name_of(&verdict)).or_insert(0) += 1;
    }

    /// Increments the count of ended jobs with `verdict`.
    pub fn count_finished_job(&mut self, verdict: Verdict) {
        *self.jobs.entry(name_of(&verdict)).or_insert(0) += 1;
    }
}

/// One refused request, kept for operators' queries.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Refusal {
    /// Job id of the ticket, as text.
    pub job: String,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time of the refusal on the daemon's clock.
    pub at_ms: Millis,
}

/// One worker in the state dump.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkerReport {
    /// Address of the worker.
    pub addr: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Slots of the worker in this daemon's share, free or in use.
    pub credits: u32,
    /// Starts sent by this daemon that have not ended.
    pub outstanding: u32,
    /// Health, with the reason why the worker gets fewer or no tasks.
    pub state: String,
    /// Slowdown: run time over expected run time.
    pub slowness: f64,
    /// Free slots reported by the latest reply.
    pub hint_free: u32,
    /// Time since the latest reply or slot claim.
    pub hint_age_ms: u64,
}

/// State of one engine for the state dump.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct EngineReport {
    /// Jobs without an answer.
    pub open_jobs: usize,
    /// Tasks in the queue.
    pub queued_tasks: usize,
    /// Tasks that were sent to a worker and have not ended.
    pub running_tasks: usize,
    /// Tasks in doubt with their workers: the reply was lost, so that the task may have run.
    pub in_doubt: Vec<(String, String)>,
    /// Queued tasks by owner.
    pub owners_waiting: BTreeMap<String, usize>,
    /// Running tasks by owner.
    pub owners_running: BTreeMap<String, usize>,
    /// Sizes of the home table.
    pub home: HomeSizes,
    /// Incarnations whose tickets the daemon answers for.
    pub answers_for: Vec<String>,
    /// Free slots that the daemon may use.
    pub free_slots: u64,
    /// State of each known worker.
    pub workers: Vec<WorkerReport>,
    /// Latest refusals, oldest first.
    pub refusals: Vec<Refusal>,
    /// Counters since the daemon's start.
    pub counters: Counters,
}

/// State of one ticket, for operators' queries.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Explanation {
    /// Phase of the ticket's job; `None` if no job is open.
    pub phase: Option<JobPhase>,
    /// Time since the job was accepted; `None` if no job is open.
    pub age_ms: Option<u64>,
    /// Tasks that were sent: index, worker and milliseconds since the start was sent.
    pub sent: Vec<(u32, String, u64)>,
    /// Number of tasks that wait for a slot.
    pub waiting: usize,
    /// Number of tasks that ended.
    pub ended: usize,
    /// Latest refusal of the ticket, if it is still kept.
    pub refusal: Option<Refusal>,
}

impl Engine {
    /// Counters since the daemon's start.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the numbers of free slots and of queued tasks, for heartbeats.
    pub fn load(&self) -> (u32, u32) {
        (self.workers.free_slots() as u32, self.queue.len() as u32)
    }

    /// Number of tasks in doubt.
    pub fn in_doubt_count(&self) -> usize {
        self.doubts.len()
    }

    /// Addresses of the workers whose process number is not known yet.
    pub fn unidentified_workers(&self) -> Vec<std::net::SocketAddr> {
        let unidentified = self.workers.iter().filter(|worker| worker.boot.is_none());
        unidentified.map(|worker| worker.info.addr).collect()
    }

    /// Addresses of all known workers.
    pub fn worker_addrs(&self) -> Vec<std::net::SocketAddr> {
        self.workers.iter().map(|worker| worker.info.addr).collect()
    }

    /// Whether a known worker is in another zone than the daemon; false for unknown workers.
    pub fn is_cross_zone(&self, worker: std::net::SocketAddr) -> bool {
        let index = self.workers.find(worker);
        index.is_some_and(|index| !self.workers.get(index).is_in_own_zone())
    }

    /// Addresses of up to `limit` ejected workers.
    pub fn ejected_workers(&self, limit: usize) -> Vec<std::net::SocketAddr> {
        let ejected =
            self.workers.iter().filter(|w| matches!(w.health.state, HealthState::Ejected(_)));
        ejected.map(|worker| worker.info.addr).take(limit).collect()
    }

    /// Returns the state dump.
    pub fn report(&self, now: Millis) -> EngineReport {
        EngineReport {
            open_jobs: self.jobs.len(),
            queued_tasks: self.queue.len(),
            running_tasks: self.running.len(),
            in_doubt: self.in_doubt_tasks(),
            owners_waiting: self.queue.owners().map(|(o, n)| (o.to_owned(), n)).collect(),
            owners_running: self.owners_running.iter().map(|(o, n)| (o.clone(), *n)).collect(),
            home: self.home.sizes(),
            answers_for: self.home.incarnations().map(|i| i.to_string()).collect(),
            free_slots: self.workers.free_slots(),
            workers: self.workers.iter().map(|worker| worker_report(worker, now)).collect(),
            refusals: self.refusals.iter().cloned().collect(),
            counters: self.counters.clone(),
        }
    }

    /// Returns the state of one ticket.
    pub fn explain(&self, id: JobId, now: Millis) -> Explanation {
        let job = self.jobs.get(&id);
        let states = job.map(|job| job.tasks.as_slice()).unwrap_or_default();
        let count = |wanted: fn(&TaskState) -> bool| states.iter().filter(|s| wanted(s)).count();
        let sent = (0..states.len() as u32).filter_map(|index| {
            let running = self.running.get(&TaskId { job: id, index })?;
            let worker = self.workers.get(running.worker).info.addr.to_string();
            Some((index, worker, now.since(running.sent_at)))
        });
        let name = id.to_string();
        Explanation {
            phase: job.map(|job| job.phase),
            age_ms: job.map(|job| now.since(job.accepted_at)),
            sent: sent.collect(),
            waiting: count(|state| *state == TaskState::Waiting),
            ended: count(|state| matches!(state, TaskState::Ended(_))),
            refusal: self.refusals.iter().rev().find(|refusal| refusal.job == name).cloned(),
        }
    }

    fn in_doubt_tasks(&self) -> Vec<(String, String)> {
        let tasks = self.doubts.iter().filter_map(|task| {
            let running = self.running.get(task)?;
            let worker = self.workers.get(running.worker).info.addr;
            Some((task.to_string(), worker.to_string()))
        });
        tasks.collect()
    }
}

fn worker_report(worker: &crate::workers::Worker, now: Millis) -> WorkerReport {
    let state = if worker.info.leaving || worker.reported_leaving {
        "leaving".to_owned()
    } else if worker.unreachable_until > now {
        "unreachable".to_owned()
    } else {
        match worker.health.state {
            HealthState::Healthy => "trusted".to_owned(),
            HealthState::Ejected(until) => {
                format!(
                    "set aside for {} ms: its tasks fail where others' succeed",
                    until.since(now)
                )
            }
            HealthState::Probing(done) => format!("probing, {done} of 3 succeeded"),
        }
    };
    WorkerReport {
        addr: worker.info.addr.to_string(),
        zone: worker.info.zone.clone(),
        credits: worker.credits,
        outstanding: worker.outstanding,
        state,
        slowness: worker.slowness,
        hint_free: worker.hint_free,
        hint_age_ms: now.since(worker.hint_at),
    }
}

/// Name of an enum's value in JSON and metrics; empty for values that do not serialize to a string.
pub fn name_of(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}
