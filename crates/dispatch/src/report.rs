//! What a daemon tells of itself: counters, refusals and the state dump.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::answer::{Reason, Verdict};
use crate::clock::Millis;
use crate::engine::Engine;
use crate::health::Trust;
use crate::home::HomeSizes;
use crate::jobs::{JobPhase, TaskState};
use crate::ticket::{JobId, TaskId};

/// Counts since the daemon's start.
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
    /// Starts made anew after a proof that nothing had begun.
    pub retries: u64,
    /// Starts whose reply was lost.
    pub in_doubt: u64,
    /// Replies for tasks that were no longer open.
    pub late_replies: u64,
    /// Resubmissions that were answered without a start.
    pub duplicates_stopped: u64,
    /// Times that a worker was set aside.
    pub set_aside: u64,
    /// Asks for slots sent to peers.
    pub slot_asks: u64,
    /// Messages that gave idle slots to a peer that asked.
    pub idle_grants: u64,
    /// Messages that gave a slot to a peer whose tasks had waited longer.
    pub fair_grants: u64,
    /// Messages that gave slots back to their zone.
    pub returns: u64,
    /// Slots given to peers.
    pub slots_given: u64,
    /// Slots received from peers.
    pub slots_received: u64,
    /// Slots claimed because replies showed them unused.
    pub slots_claimed: u64,
    /// Requests refused, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Answers given, by verdict.
    pub answers: BTreeMap<String, u64>,
    /// Jobs that ended, by verdict.
    pub jobs: BTreeMap<String, u64>,
}

impl Counters {
    /// Counts a refusal.
    pub fn refused(&mut self, reason: Reason) {
        *self.refusals.entry(name_of(&reason)).or_insert(0) += 1;
    }

    /// Counts an answer.
    pub fn answered(&mut self, verdict: Verdict) {
        *self.answers.entry(name_of(&verdict)).or_insert(0) += 1;
    }

    /// Counts a job that ended.
    pub fn finished(&mut self, verdict: Verdict) {
        *self.jobs.entry(name_of(&verdict)).or_insert(0) += 1;
    }
}

/// One refusal, kept so that an operator can ask why.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Refusal {
    /// The ticket's identity.
    pub job: String,
    /// Why it was refused.
    pub reason: Reason,
    /// When, on the daemon's clock.
    pub at_ms: Millis,
}

/// One worker in the state dump.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkerReport {
    /// Its address.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Slots that this daemon may use.
    pub credits: u32,
    /// Own starts that have not ended.
    pub outstanding: u32,
    /// Why it gets no or less work, where that is so.
    pub state: String,
    /// Run time against expectation.
    pub slowness: f64,
    /// Free slots by its last reply.
    pub hint_free: u32,
    /// The age of that reply.
    pub hint_age_ms: u64,
}

/// The state of one engine.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct EngineReport {
    /// Jobs without an answer.
    pub open_jobs: usize,
    /// Tasks that wait.
    pub queued_tasks: usize,
    /// Tasks that run.
    pub running_tasks: usize,
    /// Tasks in doubt, with their workers.
    pub in_doubt: Vec<(String, String)>,
    /// Waiting tasks by owner.
    pub owners_waiting: BTreeMap<String, usize>,
    /// Running tasks by owner.
    pub owners_running: BTreeMap<String, usize>,
    /// What the home table holds.
    pub home: HomeSizes,
    /// The incarnations that the daemon answers for.
    pub answers_for: Vec<String>,
    /// Free slots that the daemon may use.
    pub free_slots: u64,
    /// The workers.
    pub workers: Vec<WorkerReport>,
    /// The latest refusals.
    pub refusals: Vec<Refusal>,
    /// The counts.
    pub counters: Counters,
}

/// What is known of one ticket.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Explanation {
    /// The phase of its job, where it is open.
    pub phase: Option<JobPhase>,
    /// How long ago it was accepted.
    pub age_ms: Option<u64>,
    /// Each task that is sent, with its worker and the time since.
    pub sent: Vec<(u32, String, u64)>,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that ended.
    pub ended: usize,
    /// The refusal, where it was refused lately.
    pub refusal: Option<Refusal>,
}

impl Engine {
    /// Gives the counters.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Gives free slots and waiting tasks, for heartbeats.
    pub fn load(&self) -> (u32, u32) {
        (self.workers.free_slots() as u32, self.queue.len() as u32)
    }

    /// Gives the number of tasks in doubt.
    pub fn doubts(&self) -> usize {
        self.tasks_in_doubt.len()
    }

    /// Lists the workers whose number is not known yet.
    pub fn strange_workers(&self) -> Vec<std::net::SocketAddr> {
        let strange = self.workers.iter().filter(|worker| worker.boot.is_none());
        strange.map(|worker| worker.info.addr).collect()
    }

    /// Lists the addresses of the workers.
    pub fn worker_addrs(&self) -> Vec<std::net::SocketAddr> {
        self.workers.iter().map(|worker| worker.info.addr).collect()
    }

    /// Tells whether a worker is in another zone than the daemon.
    pub fn is_far(&self, worker: std::net::SocketAddr) -> bool {
        let index = self.workers.find(worker);
        index.is_some_and(|index| !self.workers.get(index).is_near())
    }

    /// Lists up to `most` workers that are set aside.
    pub fn aside(&self, most: usize) -> Vec<std::net::SocketAddr> {
        let aside = self.workers.iter().filter(|w| matches!(w.health.trust, Trust::Aside(_)));
        aside.map(|worker| worker.info.addr).take(most).collect()
    }

    /// Gives the whole state.
    pub fn report(&self, now: Millis) -> EngineReport {
        EngineReport {
            open_jobs: self.jobs.len(),
            queued_tasks: self.queue.len(),
            running_tasks: self.running.len(),
            in_doubt: self.doubt_list(),
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

    /// Tells what is known of one ticket.
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

    fn doubt_list(&self) -> Vec<(String, String)> {
        let tasks = self.tasks_in_doubt.iter().filter_map(|task| {
            let running = self.running.get(task)?;
            let worker = self.workers.get(running.worker).info.addr;
            Some((task.to_string(), worker.to_string()))
        });
        tasks.collect()
    }
}

fn worker_report(worker: &crate::workers::Worker, now: Millis) -> WorkerReport {
    let state = if worker.info.leaving || worker.says_leaving {
        "leaving".to_owned()
    } else if worker.unreachable_until > now {
        "unreachable".to_owned()
    } else {
        match worker.health.trust {
            Trust::Full => "trusted".to_owned(),
            Trust::Aside(until) => {
                format!(
                    "set aside for {} ms: its tasks fail where others' succeed",
                    until.since(now)
                )
            }
            Trust::Probing(done) => format!("probing, {done} of 3 succeeded"),
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

/// Gives the name under which an enum's value stands in JSON and metrics.
pub fn name_of(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}
