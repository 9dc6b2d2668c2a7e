//! Assignment of waiting tasks to free slots, and transfer of slots between daemons.

use crate::clock::Millis;
use crate::engine::{Action, Engine};
use crate::shares::{SlotDemand, SlotGrant};
use crate::ticket::Incarnation;
use crate::workers::{Choice, Urgency};

/// Maximum number of flows that are skipped because no free worker suits their first task.
const MAX_SKIPPED: usize = 16;
/// Maximum number of due tasks counted for a slot request.
const MAX_DUE_COUNTED: usize = 64;
/// Interval at which free slots on workers of other zones are returned to those zones.
const RETURN_INTERVAL_MS: u64 = 400;
/// Time past the due time of the first waiting task from which slots that no daemon seems to use
/// are claimed.
const CLAIM_WAIT_MS: u64 = 300;
/// Minimum interval between two such claims.
const CLAIM_INTERVAL_MS: u64 = 10;

impl Engine {
    /// Grants slots to peers, starts waiting tasks on free slots and requests slots for the rest.
    pub(crate) fn dispatch_queue(&mut self, now: Millis) {
        if self.shares.has_pending_requests() {
            self.grant_slots(now);
        }
        self.serve_queue(now);
        if self.choice != Choice::Shares {
            return;
        }
        if self.queue.is_empty() {
            return;
        }
        self.request_slots(now);
    }

    /// Adds the slots that a peer granted.
    pub(crate) fn accept_grant(&mut self, peer: Incarnation, grant: &SlotGrant) {
        self.shares.accept_grant(peer, grant.idle_left);
        for (addr, slots) in &grant.slots {
            self.counters.slots_received += u64::from(*slots);
            self.workers.grant(*addr, *slots);
        }
    }

    /// Returns free slots on workers of other zones to daemons of those zones, if no tasks wait.
    pub(crate) fn return_cross_zone_slots(&mut self, now: Millis) {
        let too_soon = now.since(self.last_return_at) < RETURN_INTERVAL_MS;
        if too_soon || self.choice != Choice::Shares || !self.queue.is_empty() {
            return;
        }
        self.last_return_at = now;
        for (zone, slots) in self.workers.release_far() {
            let Some(peer) = self.shares.return_peer(&zone) else {
                for (addr, count) in slots {
                    self.workers.grant(addr, count);
                }
                continue;
            };
            let idle_left = self.workers.free_slots() as u32;
            self.counters.returns += 1;
            self.counters.slots_given += slots.iter().map(|(_, n)| u64::from(*n)).sum::<u64>();
            self.actions.push(Action::GrantSlots(peer, SlotGrant { slots, idle_left }));
        }
    }

    fn serve_queue(&mut self, now: Millis) {
        let mut skipped = 0;
        while let Some(head) = self.queue.peek(skipped) {
            let Some(job) = self.jobs.get(&head.task.job) else {
                break;
            };
            let needs = job.request.tasks[head.task.index as usize].needs;
            let urgency = Urgency {
                expected_ms: head.expected_ms,
                slack_ms: head.due_at.since(now),
                waited_ms: now.since(head.due_at),
            };
            let worker = self.workers.choose(&needs, job.idempotent, urgency, now);
            match worker {
                Some(worker) => {
                    self.queue.pop(skipped);
                    self.start_task(head, worker, now);
                }
                None if skipped < MAX_SKIPPED && self.workers.free_slots() > 0 => skipped += 1,
                None => break,
            }
        }
    }

    fn request_slots(&mut self, now: Millis) {
        if !self.shares.may_request(now) {
            return;
        }
        let slots = self.workers.share_slots().max(1);
        let due = self.queue.count_due(now, MAX_DUE_COUNTED) as u64;
        let due = due.max(self.tasks_past_latest_due(slots, now));
        if due == 0 {
            return;
        }
        let waited_ms = self.queue.earliest_due().map_or(0, |due_at| now.since(due_at));
        let mean_ms = self.queue.queued_ms() / self.queue.len().max(1) as u64;
        let drain_ms = due * mean_ms / slots;
        let demand = SlotDemand { queued: due as u32, waited_ms, drain_ms };
        if let Some((peer, request)) = self.shares.choose_peer(&demand, now) {
            self.counters.slot_asks += 1;
            self.actions.push(Action::RequestSlots(peer, request));
        }
        if waited_ms > CLAIM_WAIT_MS {
            self.claim_unused_slot(now);
        }
    }

    /// Returns the estimated number of waiting tasks that this daemon's slots would start only
    /// after the latest due time in the queue. A large job needs more slots long before its first
    /// task is due.
    fn tasks_past_latest_due(&self, slots: u64, now: Millis) -> u64 {
        let drain_ms = self.queue.queued_ms() / slots;
        let slack_ms = self.queue.latest_due().map_or(0, |due_at| due_at.since(now));
        if drain_ms <= slack_ms {
            return 0;
        }
        self.queue.len() as u64 * (drain_ms - slack_ms) / drain_ms
    }

    fn claim_unused_slot(&mut self, now: Millis) {
        if now.since(self.last_claim_at) < CLAIM_INTERVAL_MS {
            return;
        }
        self.last_claim_at = now;
        if self.workers.claim_unused(now).is_some() {
            self.counters.slots_claimed += 1;
            self.serve_queue(now);
        }
    }

    fn grant_slots(&mut self, now: Millis) {
        loop {
            let free = self.workers.free_slots();
            let Some((peer, count)) =
                self.shares.choose_recipient(free, self.queue.earliest_due(), now)
            else {
                return;
            };
            let zone = self.shares.zone_of(peer).map(str::to_owned);
            let slots = self.workers.release(count, zone.as_deref());
            if slots.is_empty() {
                return;
            }
            self.counters.slots_given += u64::from(count);
            if self.queue.is_empty() {
                self.counters.idle_grants += 1;
            } else {
                self.counters.fair_grants += 1;
            }
            let idle_left = self.workers.free_slots() as u32;
            self.actions.push(Action::GrantSlots(peer, SlotGrant { slots, idle_left }));
        }
    }
}
