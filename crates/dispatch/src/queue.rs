//! Queued tasks, shared fairly between owners and classes.
//!
//! Each owner within a class is a flow with a virtual time (start-time fair queueing);
//! jobs of a flow go first come first served, the long tasks of a job first.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::clock::Millis;
use crate::ticket::{JobId, TaskId};

/// How urgent a kind's work is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// People are waiting.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait behind the rest.
    Batch,
}

impl Class {
    /// Gives the class's weight against the others.
    pub const fn weight(self) -> u64 {
        match self {
            Self::Urgent => 16,
            Self::Normal => 4,
            Self::Batch => 1,
        }
    }
}

/// What tasks must share to be queued in one line: class, owner and kind of need.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// How urgent the work is.
    pub class: Class,
    /// The team that owns it.
    pub owner: String,
    /// Whether the work needs more than any worker has, so that it may have to wait alone.
    pub special: bool,
}

/// One task that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Its expected run time.
    pub expected_ms: u64,
    /// When its job was accepted.
    pub queued_at: Millis,
}

#[derive(Debug)]
struct QueuedJob {
    job: JobId,
    queued_at: Millis,
    tasks: VecDeque<(u32, u64)>,
}

#[derive(Debug, Default)]
struct Flow {
    owner: String,
    weight: u64,
    virtual_time: u64,
    jobs: VecDeque<QueuedJob>,
    queued_ms: u64,
    queued_tasks: usize,
}

/// Scale of virtual time, so that weights divide without loss.
const VIRTUAL_SCALE: u64 = 1_024;

/// All that waits on one daemon.
#[derive(Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    index: HashMap<FlowKey, usize>,
    active: BTreeSet<(u64, usize)>,
    virtual_now: u64,
    queued_ms: u64,
    queued_tasks: usize,
}

impl Queue {
    /// Queues the tasks of a job; `share` weighs its owner against others.
    pub fn push(
        &mut self,
        key: &FlowKey,
        share: u64,
        queued_at: Millis,
        job: JobId,
        mut tasks: Vec<(u32, u64)>,
    ) {
        tasks.sort_by_key(|(index, expected_ms)| (std::cmp::Reverse(*expected_ms), *index));
        let flow = self.flow_of(key);
        self.flows[flow].weight = (key.class.weight() * share).max(1);
        let total_ms: u64 = tasks.iter().map(|(_, expected_ms)| expected_ms).sum();
        let count = tasks.len();
        self.activate(flow);
        self.flows[flow].jobs.push_back(QueuedJob { job, queued_at, tasks: tasks.into() });
        self.count(flow, count, total_ms);
    }

    /// Puts a task back before all others of its flow.
    pub fn push_front(&mut self, key: &FlowKey, queued: QueuedTask) {
        let flow = self.flow_of(key);
        self.activate(flow);
        let entry = (queued.task.index, queued.expected_ms);
        let jobs = &mut self.flows[flow].jobs;
        match jobs.front_mut().filter(|front| front.job == queued.task.job) {
            Some(front) => front.tasks.push_front(entry),
            None => jobs.push_front(QueuedJob {
                job: queued.task.job,
                queued_at: queued.queued_at,
                tasks: VecDeque::from([entry]),
            }),
        }
        self.count(flow, 1, queued.expected_ms);
    }

    /// Gives the next task of the flow at `place` in the order of service, without taking it.
    pub fn peek(&self, place: usize) -> Option<QueuedTask> {
        let (_, flow) = self.active.iter().nth(place)?;
        let front = self.flows[*flow].jobs.front()?;
        let (index, expected_ms) = *front.tasks.front()?;
        let task = TaskId { job: front.job, index };
        Some(QueuedTask { task, expected_ms, queued_at: front.queued_at })
    }

    /// Takes the next task of the flow at `place` in the order of service.
    pub fn pop(&mut self, place: usize) -> Option<QueuedTask> {
        let queued = self.peek(place)?;
        let (virtual_time, index) = *self.active.iter().nth(place)?;
        self.active.remove(&(virtual_time, index));
        self.virtual_now = self.virtual_now.max(virtual_time);
        let flow = &mut self.flows[index];
        let front = flow.jobs.front_mut()?;
        front.tasks.pop_front();
        if front.tasks.is_empty() {
            flow.jobs.pop_front();
        }
        flow.virtual_time += queued.expected_ms * VIRTUAL_SCALE / flow.weight.max(1);
        if !flow.jobs.is_empty() {
            self.active.insert((flow.virtual_time, index));
        }
        self.uncount(index, 1, queued.expected_ms);
        Some(queued)
    }

    /// Takes every waiting task of a job out.
    pub fn remove_job(&mut self, key: &FlowKey, job: JobId) {
        let flow = self.flow_of(key);
        let mut removed = 0;
        let mut removed_ms = 0;
        self.flows[flow].jobs.retain(|queued| {
            if queued.job != job {
                return true;
            }
            removed += queued.tasks.len();
            removed_ms += queued.tasks.iter().map(|(_, expected_ms)| expected_ms).sum::<u64>();
            false
        });
        self.uncount(flow, removed, removed_ms);
        if self.flows[flow].jobs.is_empty() {
            self.active.remove(&(self.flows[flow].virtual_time, flow));
        }
    }

    /// Gives the wait that a new job of this flow can expect on `slots` slots.
    ///
    /// A flow with little queued is not delayed by others past its fair share.
    pub fn expected_wait_ms(&self, key: &FlowKey, share: u64, slots: u64) -> u64 {
        let slots = slots.max(1);
        let whole_ms = self.queued_ms / slots;
        let own_weight = (key.class.weight() * share).max(1);
        let own = self.index.get(key).map(|flow| &self.flows[*flow]);
        let own_ms = own.map_or(0, |flow| flow.queued_ms);
        let others: u64 = self
            .active
            .iter()
            .map(|(_, flow)| &self.flows[*flow])
            .filter(|flow| own.is_none_or(|own| !std::ptr::eq(*flow, own)))
            .map(|flow| flow.weight)
            .sum();
        let fair_ms = own_ms * (others + own_weight) / own_weight / slots;
        whole_ms.min(fair_ms)
    }

    /// Gives the tasks that a flow has waiting.
    pub fn flow_tasks(&self, key: &FlowKey) -> usize {
        let flow = self.index.get(key);
        flow.map_or(0, |flow| self.flows[*flow].queued_tasks)
    }

    /// Lists the first job of each flow with the time it was accepted.
    pub fn heads(&self) -> impl Iterator<Item = (JobId, Millis)> + '_ {
        let heads = self.active.iter().filter_map(|(_, flow)| self.flows[*flow].jobs.front());
        heads.map(|head| (head.job, head.queued_at))
    }

    /// Gives the acceptance time of the longest wait among the flows' first jobs.
    pub fn oldest(&self) -> Option<Millis> {
        self.heads().map(|(_, queued_at)| queued_at).min()
    }

    /// Gives the number of waiting tasks.
    pub const fn len(&self) -> usize {
        self.queued_tasks
    }

    /// Tells whether nothing waits.
    pub const fn is_empty(&self) -> bool {
        self.queued_tasks == 0
    }

    /// Gives the expected run time of all that waits.
    pub const fn queued_ms(&self) -> u64 {
        self.queued_ms
    }

    /// Lists owners with what they have waiting, for the state dump.
    pub fn owners(&self) -> impl Iterator<Item = (&str, usize)> {
        let waiting = self.flows.iter().filter(|flow| flow.queued_tasks > 0);
        waiting.map(|flow| (flow.owner.as_str(), flow.queued_tasks))
    }

    fn flow_of(&mut self, key: &FlowKey) -> usize {
        if let Some(flow) = self.index.get(key) {
            return *flow;
        }
        self.flows.push(Flow { owner: key.owner.clone(), weight: 1, ..Flow::default() });
        self.index.insert(key.clone(), self.flows.len() - 1);
        self.flows.len() - 1
    }

    fn activate(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        if flow.jobs.is_empty() {
            flow.virtual_time = flow.virtual_time.max(self.virtual_now);
            self.active.insert((flow.virtual_time, index));
        }
    }

    fn count(&mut self, flow: usize, tasks: usize, total_ms: u64) {
        self.flows[flow].queued_ms += total_ms;
        self.flows[flow].queued_tasks += tasks;
        self.queued_ms += total_ms;
        self.queued_tasks += tasks;
    }

    fn uncount(&mut self, flow: usize, tasks: usize, total_ms: u64) {
        self.flows[flow].queued_ms -= total_ms;
        self.flows[flow].queued_tasks -= tasks;
        self.queued_ms -= total_ms;
        self.queued_tasks -= tasks;
    }
}
