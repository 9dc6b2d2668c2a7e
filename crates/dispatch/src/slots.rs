//! Binds waiting tasks to free slots, and moves slots between daemons.

use crate::clock::Millis;
use crate::engine::{Action, Engine};
use crate::shares::{Need, SlotGrant};
use crate::ticket::Incarnation;
use crate::workers::{SelectionPolicy, Urgency};

/// Flows looked at when the first ones cannot be served.
const FLOWS_TRIED: usize = 16;
/// The most due tasks that are counted for an ask.
const MOST_DUE: usize = 64;
/// How often free slots of other zones are given back.
const RETURN_EVERY_MS: u64 = 400;
/// How long a task waits without a slot before unclaimed free slots are taken.
const CLAIM_AFTER_MS: u64 = 300;
/// The shortest time between two such claims.
const CLAIM_EVERY_MS: u64 = 10;

impl Engine {
    /// Starts what can be started, asks for slots and gives some.
    pub(crate) fn pump(&mut self, now: Millis) {
        if self.shares.has_asks() {
            self.give_slots(now);
        }
        self.serve_queue(now);
        if self.choice != SelectionPolicy::Shares {
            return;
        }
        if self.queue.is_empty() {
            return;
        }
        self.ask_for_slots(now);
    }

    /// Takes slots that a peer gave.
    pub(crate) fn granted(&mut self, peer: Incarnation, grant: &SlotGrant) {
        self.shares.granted(peer, grant.idle_left);
        for (addr, slots) in &grant.slots {
            self.counters.slots_received += u64::from(*slots);
            self.workers.grant(*addr, *slots);
        }
    }

    /// Gives free slots of other zones back to those zones, where nothing waits here.
    pub(crate) fn return_far_slots(&mut self, now: Millis) {
        let early = now.since(self.returned_at) < RETURN_EVERY_MS;
        if early || self.choice != SelectionPolicy::Shares || !self.queue.is_empty() {
            return;
        }
        self.returned_at = now;
        for (zone, slots) in self.workers.release_cross_zone_slots() {
            let Some(peer) = self.shares.peer_in(&zone) else {
                for (addr, count) in slots {
                    self.workers.grant(addr, count);
                }
                continue;
            };
            let idle_left = self.workers.free_slots() as u32;
            self.counters.returns += 1;
            self.counters.slots_given += slots.iter().map(|(_, n)| u64::from(*n)).sum::<u64>();
            self.actions.push(Action::GiveSlots(peer, SlotGrant { slots, idle_left }));
        }
    }

    fn serve_queue(&mut self, now: Millis) {
        let mut place = 0;
        while let Some(head) = self.queue.peek(place) {
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
                    self.queue.pop(place);
                    self.start(head, worker, now);
                }
                None if place < FLOWS_TRIED && self.workers.free_slots() > 0 => place += 1,
                None => break,
            }
        }
    }

    fn ask_for_slots(&mut self, now: Millis) {
        if !self.shares.may_ask(now) {
            return;
        }
        let slots = self.workers.share_slots().max(1);
        let due = self.queue.due_tasks(now, MOST_DUE) as u64;
        let due = due.max(self.tasks_past_slack(slots, now));
        if due == 0 {
            return;
        }
        let waited_ms = self.queue.first_due().map_or(0, |due_at| now.since(due_at));
        let mean_ms = self.queue.queued_ms() / self.queue.len().max(1) as u64;
        let drain_ms = due * mean_ms / slots;
        let need = Need { queued: due as u32, waited_ms, drain_ms };
        if let Some((peer, ask)) = self.shares.ask(&need, now) {
            self.counters.slot_asks += 1;
            self.actions.push(Action::AskSlots(peer, ask));
        }
        if waited_ms > CLAIM_AFTER_MS {
            self.claim_slot(now);
        }
    }

    /// Gives the tasks that the own slots would start past the last latest start: a large job needs
    /// more slots long before its first task is due.
    fn tasks_past_slack(&self, slots: u64, now: Millis) -> u64 {
        let drain_ms = self.queue.queued_ms() / slots;
        let slack_ms = self.queue.last_due().map_or(0, |due_at| due_at.since(now));
        if drain_ms <= slack_ms {
            return 0;
        }
        self.queue.len() as u64 * (drain_ms - slack_ms) / drain_ms
    }

    fn claim_slot(&mut self, now: Millis) {
        if now.since(self.claimed_at) < CLAIM_EVERY_MS {
            return;
        }
        self.claimed_at = now;
        if self.workers.claim_unused_slot(now).is_some() {
            self.counters.slots_claimed += 1;
            self.serve_queue(now);
        }
    }

    fn give_slots(&mut self, now: Millis) {
        loop {
            let free = self.workers.free_slots();
            let Some((peer, count)) = self.shares.give(free, self.queue.first_due(), now) else {
                return;
            };
            let zone = self.shares.zone_of(peer).map(str::to_owned);
            let slots = self.workers.release_slots(count, zone.as_deref());
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
            self.actions.push(Action::GiveSlots(peer, SlotGrant { slots, idle_left }));
        }
    }
}
