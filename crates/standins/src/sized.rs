//! A worker with a size, leases and fences, as the platform describes it: a state machine that
//! is told the time, so that it serves in virtual time as well as behind a socket.

use std::collections::HashMap;

use pool::call::{
    End, Ended, LookCall, LookReply, Refusal, Report, Running, StartCall, StartReply, StopCall,
    StopReply,
};
use pool::job::TaskName;
use pool::resources::Resources;

/// What a worker leaves out, to show that a test finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// It leaves out nothing.
    Nothing,
    /// It carries out orders of earlier owners.
    IgnoresFences,
    /// Its runs go on without a lease.
    IgnoresLeases,
    /// A stop does not keep its run from beginning later.
    IgnoresBars,
}

/// One run on a worker.
#[derive(Clone, Debug)]
pub struct Live {
    /// The number of the start.
    pub run: u32,
    /// Its size.
    pub room: Resources,
    /// When it began.
    pub began_ms: u64,
    /// When its work is done.
    pub ends_ms: u64,
    /// How it then ends.
    pub end: End,
    /// When it is stopped, where a stop was ordered.
    pub stops_ms: Option<u64>,
}

/// The work of one start.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Its size.
    pub room: Resources,
    /// How long it takes, in milliseconds.
    pub takes_ms: u64,
    /// How it ends.
    pub end: End,
}

/// A worker with its own clock.
#[derive(Debug)]
pub struct SizedWorker {
    /// What it has in all.
    pub capacity: Resources,
    /// What it leaves out.
    pub planted: Planted,
    /// When its lifetime began.
    pub born_ms: u64,
    offset_ms: u64,
    /// How much slower its clock runs, in thousandths.
    slow_permille: u64,
    /// The runs that go on.
    pub live: HashMap<TaskName, Live>,
    barred: HashMap<TaskName, u32>,
    ended: Vec<Ended>,
    ends: u64,
    token: u64,
    lease_ms: u64,
}

/// How long a stopped run takes to end, in milliseconds.
pub const STOP_MS: u64 = 50;

impl SizedWorker {
    /// Builds a worker whose clock is ahead by an offset and runs slower by so many thousandths.
    pub fn new(capacity: Resources, offset_ms: u64, slow_permille: u64) -> Self {
        Self {
            capacity,
            planted: Planted::Nothing,
            born_ms: 1,
            offset_ms,
            slow_permille,
            live: HashMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
            token: 0,
            lease_ms: 0,
        }
    }

    /// Gives its clock.
    pub fn clock(&self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms - now_ms * self.slow_permille / 1_000
    }

    /// Lets runs end up to now.
    pub fn settle(&mut self, now_ms: u64) {
        let lapsed = self.planted != Planted::IgnoresLeases && self.clock(now_ms) >= self.lease_ms;
        let mut over: Vec<(TaskName, u32, End)> = Vec::new();
        for (name, live) in &self.live {
            if live.stops_ms.is_some_and(|at| now_ms >= at) || (lapsed && now_ms < live.ends_ms) {
                over.push((name.clone(), live.run, End::Cut));
            } else if now_ms >= live.ends_ms {
                over.push((name.clone(), live.run, live.end));
            }
        }
        over.sort();
        for (name, run, end) in over {
            self.live.remove(&name);
            let barred = self.barred.entry(name.clone()).or_default();
            *barred = (*barred).max(run);
            self.ends += 1;
            self.ended.push(Ended { number: self.ends, task: Some(name), run, end });
        }
    }

    /// Begins another lifetime.
    pub fn rebirth(&mut self, now_ms: u64) {
        self.live.clear();
        self.barred.clear();
        self.ended.clear();
        self.ends = 0;
        self.token = 0;
        self.lease_ms = 0;
        self.born_ms = now_ms;
    }

    fn is_fenced(&mut self, token: u64) -> bool {
        self.token = self.token.max(token);
        token < self.token && self.planted != Planted::IgnoresFences
    }

    /// Tells whether a later owner's call was seen.
    pub fn knows_later(&self, token: u64) -> bool {
        token < self.token
    }

    /// Carries out a start. Tells whether a run began.
    pub fn start(&mut self, now_ms: u64, call: &StartCall, work: Work) -> (StartReply, bool) {
        self.settle(now_ms);
        let refuse = |refusal| (StartReply::Refused(refusal), false);
        if self.is_fenced(call.token) {
            return refuse(Refusal::Fenced);
        }
        let clock_ms = self.clock(now_ms);
        if self.live.get(&call.task).is_some_and(|live| live.run == call.run) {
            return (StartReply::Started { clock_ms }, false);
        }
        if call.lease_until_ms <= clock_ms {
            return refuse(Refusal::Late);
        }
        self.lease_ms = self.lease_ms.max(call.lease_until_ms);
        let known = self.barred.get(&call.task).copied().unwrap_or(0);
        let known = if self.planted == Planted::IgnoresBars { 0 } else { known };
        if call.run <= known || self.live.contains_key(&call.task) {
            return refuse(Refusal::OldRun);
        }
        let used = self.live.values().fold(Resources::default(), |used, live| used.plus(live.room));
        if !self.capacity.minus(used).can_fit(work.room) {
            return refuse(Refusal::NoRoom);
        }
        let live = Live {
            run: call.run,
            room: work.room,
            began_ms: now_ms,
            ends_ms: now_ms + work.takes_ms,
            end: work.end,
            stops_ms: None,
        };
        self.live.insert(call.task.clone(), live);
        (StartReply::Started { clock_ms }, true)
    }

    /// Carries out a stop.
    pub fn stop(&mut self, now_ms: u64, call: &StopCall) -> StopReply {
        self.settle(now_ms);
        if self.is_fenced(call.token) {
            return StopReply::Refused(Refusal::Fenced);
        }
        let barred = self.barred.entry(call.task.clone()).or_default();
        *barred = (*barred).max(call.run);
        if let Some(live) = self.live.get_mut(&call.task) {
            live.stops_ms.get_or_insert(now_ms + STOP_MS);
        }
        StopReply::Stopped
    }

    /// Begins a look: takes the lease and the acknowledged ends.
    pub fn look_begins(&mut self, now_ms: u64, call: &LookCall) -> Option<LookReply> {
        self.settle(now_ms);
        if self.is_fenced(call.token) {
            return Some(LookReply::Refused(Refusal::Fenced));
        }
        self.lease_ms = self.lease_ms.max(call.lease_until_ms.unwrap_or(0));
        self.ended.retain(|ended| ended.number > call.ack_cursor);
        None
    }

    /// Tells whether ends were not acknowledged yet.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Reports its runs.
    pub fn report(&mut self, now_ms: u64) -> LookReply {
        self.settle(now_ms);
        let percent = |live: &Live| {
            let span_ms = (live.ends_ms - live.began_ms).max(1);
            ((now_ms - live.began_ms) * 100 / span_ms) as u32
        };
        let running = self.live.iter().map(|(name, live)| Running {
            task: Some(name.clone()),
            run: live.run,
            percent: percent(live),
        });
        LookReply::Report(Report {
            clock_ms: self.clock(now_ms),
            born_ms: Some(self.born_ms),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}
