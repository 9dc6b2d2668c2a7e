//! Queued tasks, shared fairly between owners and classes.
//!
//! Each owner within a class is a flow. The flow that holds the fewest slots for its weight goes
//! first, so that an owner within its share hardly waits behind one that floods; among equals the
//! one with the least virtual time does (start-time fair queueing).
//! Within a flow the task comes first whose latest start is earliest: a job's longest task
//! should start at once, while its short ones may wait without delaying the answer. See
//! `docs/design/upstreams.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

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
    serde::Deserialize
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

/// What a job's tasks are expected to need.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedWork<'a> {
    /// Each task's place with its expected run time in milliseconds.
    pub tasks: &'a [(u32, u64)],
    /// The part of a task's slack that is counted on, from 0 to 1.
    pub trust: f64,
}

/// One task that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Its expected run time.
    pub expected_ms: u64,
    /// The latest start by which it does not delay its job's answer.
    pub due_at: Millis,
}

#[derive(Debug, Default)]
struct Flow {
    owner: String,
    weight: u64,
    virtual_time: u64,
    running: u64,
    tasks: BTreeMap<(Millis, TaskId), u64>,
    queued_ms: u64,
}

/// Slots held for the weight, virtual time, and the flow.
type FlowOrder = (u64, u64, usize);

/// Scale of virtual time, so that weights divide without loss.
const VIRTUAL_SCALE: u64 = 1_024;

/// All that waits on one daemon.
#[derive(Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    index: HashMap<FlowKey, usize>,
    active: BTreeSet<FlowOrder>,
    virtual_now: u64,
    queued_ms: u64,
    queued_tasks: usize,
}

impl Queue {
    /// Queues the tasks of a job, each with its expected run time; `share` weighs its owner
    /// against others.
    pub fn push(
        &mut self,
        key: &FlowKey,
        share: u64,
        accepted_at: Millis,
        job: JobId,
        work: &ExpectedWork<'_>,
    ) {
        let flow = self.flow_of(key);
        self.active.remove(&self.order_of(flow));
        self.flows[flow].weight = (key.class.weight() * share).max(1);
        let longest_ms = work.tasks.iter().map(|(_, expected_ms)| *expected_ms).max().unwrap_or(0);
        for (index, expected_ms) in work.tasks {
            let slack_ms = (longest_ms - expected_ms) as f64 * work.trust;
            let due_at = accepted_at.plus(slack_ms as u64);
            let task = TaskId { job, index: *index };
            self.insert(flow, QueuedTask { task, expected_ms: *expected_ms, due_at });
        }
    }

    /// Puts a task back to its place.
    pub fn put_back(&mut self, key: &FlowKey, queued: QueuedTask) {
        let flow = self.flow_of(key);
        self.insert(flow, queued);
    }

    /// Gives the next task of the flow at `place` in the order of service, without taking it.
    pub fn peek(&self, place: usize) -> Option<QueuedTask> {
        let (_, _, flow) = self.active.iter().nth(place)?;
        self.first_of(*flow)
    }

    /// Takes the next task of the flow at `place` in the order of service.
    pub fn pop(&mut self, place: usize) -> Option<QueuedTask> {
        let order = *self.active.iter().nth(place)?;
        let (_, virtual_time, index) = order;
        let queued = self.first_of(index)?;
        self.virtual_now = self.virtual_now.max(virtual_time);
        self.active.remove(&order);
        self.take(index, &queued);
        let flow = &mut self.flows[index];
        flow.running += 1;
        flow.virtual_time += queued.expected_ms * VIRTUAL_SCALE / flow.weight.max(1);
        self.activate(index);
        Some(queued)
    }

    /// Notes that a task of a flow, taken before, holds its slot no more.
    pub fn released(&mut self, key: &FlowKey) {
        let index = self.flow_of(key);
        self.active.remove(&self.order_of(index));
        self.flows[index].running = self.flows[index].running.saturating_sub(1);
        self.activate(index);
    }

    /// Takes every waiting task of a job out.
    pub fn remove_job(&mut self, key: &FlowKey, job: JobId) {
        let flow = self.flow_of(key);
        let of_job = self.flows[flow].tasks.iter().filter(|((_, task), _)| task.job == job);
        let of_job: Vec<QueuedTask> = of_job
            .map(|((due_at, task), expected_ms)| QueuedTask {
                task: *task,
                expected_ms: *expected_ms,
                due_at: *due_at,
            })
            .collect();
        self.active.remove(&self.order_of(flow));
        for queued in &of_job {
            self.take(flow, queued);
        }
        self.activate(flow);
    }

    /// Counts the tasks that should have started by `now`, up to `most`.
    pub fn due_tasks(&self, now: Millis, most: usize) -> usize {
        let flows = self.active.iter().map(|(_, _, flow)| &self.flows[*flow]);
        let due = flows.flat_map(|flow| flow.tasks.keys().take_while(|(due_at, _)| *due_at <= now));
        due.take(most).count()
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
            .map(|(_, _, flow)| &self.flows[*flow])
            .filter(|flow| own.is_none_or(|own| !std::ptr::eq(*flow, own)))
            .map(|flow| flow.weight)
            .sum();
        let fair_ms = own_ms * (others + own_weight) / own_weight / slots;
        whole_ms.min(fair_ms)
    }

    /// Gives the tasks that a flow has waiting.
    pub fn flow_tasks(&self, key: &FlowKey) -> usize {
        let flow = self.index.get(key);
        flow.map_or(0, |flow| self.flows[*flow].tasks.len())
    }

    /// Gives the earliest latest start among all that waits.
    pub fn first_due(&self) -> Option<Millis> {
        let firsts = self.active.iter().filter_map(|(_, _, flow)| self.first_of(*flow));
        firsts.map(|queued| queued.due_at).min()
    }

    /// Gives the latest of the latest starts among all that waits.
    pub fn last_due(&self) -> Option<Millis> {
        let flows = self.active.iter().map(|(_, _, flow)| &self.flows[*flow]);
        flows.filter_map(|flow| flow.tasks.last_key_value()).map(|((due_at, _), _)| *due_at).max()
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
        let waiting = self.flows.iter().filter(|flow| !flow.tasks.is_empty());
        waiting.map(|flow| (flow.owner.as_str(), flow.tasks.len()))
    }

    fn flow_of(&mut self, key: &FlowKey) -> usize {
        if let Some(flow) = self.index.get(key) {
            return *flow;
        }
        self.flows.push(Flow { owner: key.owner.clone(), weight: 1, ..Flow::default() });
        self.index.insert(key.clone(), self.flows.len() - 1);
        self.flows.len() - 1
    }

    fn first_of(&self, flow: usize) -> Option<QueuedTask> {
        let ((due_at, task), expected_ms) = self.flows[flow].tasks.first_key_value()?;
        Some(QueuedTask { task: *task, expected_ms: *expected_ms, due_at: *due_at })
    }

    fn insert(&mut self, index: usize, queued: QueuedTask) {
        let flow = &mut self.flows[index];
        if flow.tasks.is_empty() {
            flow.virtual_time = flow.virtual_time.max(self.virtual_now);
        }
        flow.tasks.insert((queued.due_at, queued.task), queued.expected_ms);
        flow.queued_ms += queued.expected_ms;
        self.queued_ms += queued.expected_ms;
        self.queued_tasks += 1;
        self.activate(index);
    }

    fn order_of(&self, index: usize) -> FlowOrder {
        let flow = &self.flows[index];
        (flow.running * VIRTUAL_SCALE / flow.weight.max(1), flow.virtual_time, index)
    }

    fn activate(&mut self, index: usize) {
        if !self.flows[index].tasks.is_empty() {
            self.active.insert(self.order_of(index));
        }
    }

    fn take(&mut self, index: usize, queued: &QueuedTask) {
        let flow = &mut self.flows[index];
        if flow.tasks.remove(&(queued.due_at, queued.task)).is_some() {
            flow.queued_ms -= queued.expected_ms;
            self.queued_ms -= queued.expected_ms;
            self.queued_tasks -= 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Class, ExpectedWork, FlowKey, Queue};
    use crate::clock::Millis;
    use crate::ticket::{Incarnation, JobId};

    fn key(owner: &str) -> FlowKey {
        FlowKey { class: Class::Normal, owner: owner.into(), special: false }
    }

    const fn work(tasks: &[(u32, u64)]) -> ExpectedWork<'_> {
        ExpectedWork { tasks, trust: 1.0 }
    }

    fn job(seq: u64) -> JobId {
        JobId { incarnation: Incarnation(1), seq }
    }

    #[test]
    fn short_tasks_yield_to_the_long_task_of_a_later_job() {
        let mut queue = Queue::default();
        queue.push(&key("a"), 1, Millis(0), job(1), &work(&[(0, 50), (1, 500)]));
        queue.push(&key("a"), 1, Millis(10), job(2), &work(&[(0, 400)]));
        let order: Vec<(u64, u32)> = std::iter::from_fn(|| queue.pop(0))
            .map(|queued| (queued.task.job.seq, queued.task.index))
            .collect();
        assert_eq!(order, [(1, 1), (2, 0), (1, 0)]);
        assert_eq!(queue.queued_ms(), 0);
    }

    #[test]
    fn owners_share_by_weight_whatever_they_queue() {
        let mut queue = Queue::default();
        let tasks: Vec<(u32, u64)> = (0..90).map(|index| (index, 100)).collect();
        queue.push(&key("flood"), 1, Millis(0), job(1), &work(&tasks));
        queue.push(&key("other"), 2, Millis(0), job(2), &work(&tasks));
        let first: Vec<u64> =
            (0..30).filter_map(|_| queue.pop(0)).map(|queued| queued.task.job.seq).collect();
        let other = first.iter().filter(|seq| **seq == 2).count();
        assert!((19..=21).contains(&other), "{other}");
    }

    #[test]
    fn a_removed_job_leaves_nothing_behind() {
        let mut queue = Queue::default();
        queue.push(&key("a"), 1, Millis(0), job(1), &work(&[(0, 50), (1, 500)]));
        queue.push(&key("a"), 1, Millis(0), job(2), &work(&[(0, 70)]));
        queue.remove_job(&key("a"), job(1));
        assert_eq!((queue.len(), queue.queued_ms()), (1, 70));
        queue.remove_job(&key("a"), job(2));
        assert!(queue.is_empty() && queue.peek(0).is_none());
    }
}
