//! Queue of waiting tasks with weighted fair sharing between owners and classes.
//!
//! Each combination of class, owner and resource needs is a flow. The flow with the fewest running
//! tasks relative to its weight is served first, so that an owner within its share hardly waits
//! behind an owner that floods the queue. Ties are broken by the lowest virtual time (start-time
//! fair queueing).
//!
//! Within a flow, tasks are ordered by latest start time: the longest task of a job should start
//! at once, while its shorter tasks can wait without delaying the job's answer. See
//! `docs/design/upstreams.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::clock::Millis;
use crate::ticket::{JobId, TaskId};

/// Priority class of a kind of work.
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
    /// Interactive work that people wait for.
    Urgent,
    /// Work without special urgency; the default.
    #[default]
    Normal,
    /// Background work that may wait behind the other classes.
    Batch,
}

impl Class {
    /// Returns the weight of the class relative to the other classes.
    pub const fn weight(self) -> u64 {
        match self {
            Self::Urgent => 16,
            Self::Normal => 4,
            Self::Batch => 1,
        }
    }
}

/// Key of a flow; tasks with equal keys are queued in one flow.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// Priority class of the work.
    pub class: Class,
    /// Team that owns the kind of work.
    pub owner: String,
    /// Whether a task of the job states resource needs. Such work has flows of its own because it
    /// may wait for a matching worker while other work can start.
    pub has_needs: bool,
}

/// Expected run times of a job's tasks.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedWork<'a> {
    /// Index of each task in the job and its expected run time in milliseconds.
    pub tasks: &'a [(u32, u64)],
    /// Fraction of the computed slack by which a task may be delayed, from 0 to 1: the trust in the
    /// expected run times.
    pub trust: f64,
}

/// A task that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// Identity of the task.
    pub task: TaskId,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
    /// Latest start time that does not delay the answer to the task's job.
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

/// Service order of a flow: running tasks relative to its weight, virtual time and flow index.
type FlowOrder = (u64, u64, usize);

/// Fixed-point scale of virtual time, so that division by the weight keeps its precision.
const VIRTUAL_SCALE: u64 = 1_024;

/// Waiting tasks of one daemon.
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
    /// Queues the tasks of a job. `share` is the weight of its owner relative to other owners.
    pub fn push(
        &mut self,
        key: &FlowKey,
        share: u64,
        accepted_at: Millis,
        job: JobId,
        work: &ExpectedWork<'_>,
    ) {
        let flow = self.flow_index(key);
        self.active.remove(&self.service_order(flow));
        self.flows[flow].weight = (key.class.weight() * share).max(1);
        let longest_ms = work.tasks.iter().map(|(_, expected_ms)| *expected_ms).max().unwrap_or(0);
        for (index, expected_ms) in work.tasks {
            let slack_ms = (longest_ms - expected_ms) as f64 * work.trust;
            let due_at = accepted_at.plus(slack_ms as u64);
            let task = TaskId { job, index: *index };
            self.insert(flow, QueuedTask { task, expected_ms: *expected_ms, due_at });
        }
    }

    /// Queues a task again that was removed by [`Queue::pop`], with its original due time.
    pub fn requeue(&mut self, key: &FlowKey, queued: QueuedTask) {
        let flow = self.flow_index(key);
        self.insert(flow, queued);
    }

    /// Returns the first task of the flow at `position` in the service order, without removing it.
    pub fn peek(&self, position: usize) -> Option<QueuedTask> {
        let (_, _, flow) = self.active.iter().nth(position)?;
        self.head_of(*flow)
    }

    /// Removes and returns the first task of the flow at `position` in the service order, and
    /// counts it as running.
    pub fn pop(&mut self, position: usize) -> Option<QueuedTask> {
        let order = *self.active.iter().nth(position)?;
        let (_, virtual_time, index) = order;
        let queued = self.head_of(index)?;
        self.virtual_now = self.virtual_now.max(virtual_time);
        self.active.remove(&order);
        self.remove_task(index, &queued);
        let flow = &mut self.flows[index];
        flow.running += 1;
        flow.virtual_time += queued.expected_ms * VIRTUAL_SCALE / flow.weight.max(1);
        self.activate(index);
        Some(queued)
    }

    /// Records that a task of a flow, returned by [`Queue::pop`], has freed its slot.
    pub fn slot_freed(&mut self, key: &FlowKey) {
        let index = self.flow_index(key);
        self.active.remove(&self.service_order(index));
        self.flows[index].running = self.flows[index].running.saturating_sub(1);
        self.activate(index);
    }

    /// Removes all waiting tasks of a job.
    pub fn remove_job(&mut self, key: &FlowKey, job: JobId) {
        let flow = self.flow_index(key);
        let removed = self.flows[flow].tasks.iter().filter(|((_, task), _)| task.job == job);
        let removed: Vec<QueuedTask> = removed
            .map(|((due_at, task), expected_ms)| QueuedTask {
                task: *task,
                expected_ms: *expected_ms,
                due_at: *due_at,
            })
            .collect();
        self.active.remove(&self.service_order(flow));
        for queued in &removed {
            self.remove_task(flow, queued);
        }
        self.activate(flow);
    }

    /// Returns the number of tasks that should have started by `now`, counting at most `limit`.
    pub fn count_due(&self, now: Millis, limit: usize) -> usize {
        let flows = self.active.iter().map(|(_, _, flow)| &self.flows[*flow]);
        let due = flows.flat_map(|flow| flow.tasks.keys().take_while(|(due_at, _)| *due_at <= now));
        due.take(limit).count()
    }

    /// Returns the expected wait in milliseconds of a new job in this flow, given `slots` slots.
    ///
    /// A flow with few queued tasks is not delayed by other flows beyond its fair share: the result
    /// is the lesser of the time to drain the whole queue and the time to drain this flow at its
    /// share of the weights.
    pub fn expected_wait_ms(&self, key: &FlowKey, share: u64, slots: u64) -> u64 {
        let slots = slots.max(1);
        let total_ms = self.queued_ms / slots;
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
        total_ms.min(fair_ms)
    }

    /// Returns the number of waiting tasks of a flow.
    pub fn waiting_in_flow(&self, key: &FlowKey) -> usize {
        let flow = self.index.get(key);
        flow.map_or(0, |flow| self.flows[*flow].tasks.len())
    }

    /// Returns the earliest due time of all waiting tasks, or `None` if the queue is empty.
    pub fn earliest_due(&self) -> Option<Millis> {
        let heads = self.active.iter().filter_map(|(_, _, flow)| self.head_of(*flow));
        heads.map(|queued| queued.due_at).min()
    }

    /// Returns the latest due time of all waiting tasks, or `None` if the queue is empty.
    pub fn latest_due(&self) -> Option<Millis> {
        let flows = self.active.iter().map(|(_, _, flow)| &self.flows[*flow]);
        flows.filter_map(|flow| flow.tasks.last_key_value()).map(|((due_at, _), _)| *due_at).max()
    }

    /// Returns the number of waiting tasks.
    pub const fn len(&self) -> usize {
        self.queued_tasks
    }

    /// Returns whether no tasks are waiting.
    pub const fn is_empty(&self) -> bool {
        self.queued_tasks == 0
    }

    /// Returns the total expected run time of all waiting tasks in milliseconds.
    pub const fn queued_ms(&self) -> u64 {
        self.queued_ms
    }

    /// Returns the owner and the number of waiting tasks of each flow that is not empty, for the
    /// state dump.
    pub fn owners(&self) -> impl Iterator<Item = (&str, usize)> {
        let waiting = self.flows.iter().filter(|flow| !flow.tasks.is_empty());
        waiting.map(|flow| (flow.owner.as_str(), flow.tasks.len()))
    }

    fn flow_index(&mut self, key: &FlowKey) -> usize {
        if let Some(flow) = self.index.get(key) {
            return *flow;
        }
        self.flows.push(Flow { owner: key.owner.clone(), weight: 1, ..Flow::default() });
        self.index.insert(key.clone(), self.flows.len() - 1);
        self.flows.len() - 1
    }

    fn head_of(&self, flow: usize) -> Option<QueuedTask> {
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

    fn service_order(&self, index: usize) -> FlowOrder {
        let flow = &self.flows[index];
        (flow.running * VIRTUAL_SCALE / flow.weight.max(1), flow.virtual_time, index)
    }

    fn activate(&mut self, index: usize) {
        if !self.flows[index].tasks.is_empty() {
            self.active.insert(self.service_order(index));
        }
    }

    fn remove_task(&mut self, index: usize, queued: &QueuedTask) {
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
        FlowKey { class: Class::Normal, owner: owner.into(), has_needs: false }
    }

    const fn work(tasks: &[(u32, u64)]) -> ExpectedWork<'_> {
        ExpectedWork { tasks, trust: 1.0 }
    }

    fn job(seq: u64) -> JobId {
        JobId { incarnation: Incarnation(1), seq }
    }

    #[test]
    fn short_tasks_start_after_the_long_task_of_a_later_job() {
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
    fn owners_share_slots_by_weight_regardless_of_queue_length() {
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
    fn removing_a_job_removes_all_its_tasks() {
        let mut queue = Queue::default();
        queue.push(&key("a"), 1, Millis(0), job(1), &work(&[(0, 50), (1, 500)]));
        queue.push(&key("a"), 1, Millis(0), job(2), &work(&[(0, 70)]));
        queue.remove_job(&key("a"), job(1));
        assert_eq!((queue.len(), queue.queued_ms()), (1, 70));
        queue.remove_job(&key("a"), job(2));
        assert!(queue.is_empty() && queue.peek(0).is_none());
    }
}
