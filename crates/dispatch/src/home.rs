//! The home table: which tickets are used, and the answers retained for resubmissions.
//!
//! The home of a ticket is the one daemon process that may start its tasks: the incarnation that
//! issued it or, after a drain, the successor. A daemon keeps one table for its own incarnation
//! and one for each that was handed over to it. See `docs/design/tickets.md`.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::clock::Millis;
use crate::ticket::{Incarnation, JobId};
use crate::window::{SeqState, Window};

/// The status of a ticket at this daemon.
#[derive(Clone, Debug)]
pub enum TicketStatus {
    /// The ticket is valid and has not been used.
    Unused,
    /// The ticket was used; its answer is retained, here with the digest of its request.
    UsedWithAnswer(Rc<Answer>, u64),
    /// The ticket was used and no answer is retained.
    UsedWithoutAnswer,
    /// The ticket has expired, or it was never issued.
    Expired,
    /// This daemon has no table for the incarnation that issued the ticket.
    NotResponsible,
}

/// Limits on the answers that are retained for resubmissions.
#[derive(Clone, Copy, Debug)]
pub struct HoldLimits {
    /// Time for which an answer is retained, in milliseconds.
    pub hold_ms: u64,
    /// Maximum total size of the retained answers, in bytes.
    pub hold_bytes: usize,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct HeldAnswer {
    answer: Rc<Answer>,
    request_digest: u64,
    until_ms: Millis,
}

/// The table of one incarnation as sent to a successor. The retention times of its answers are
/// relative to the handover, as the clocks of the two daemons differ.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct HandoverTable {
    /// Incarnation that issued the table's tickets.
    pub incarnation: Incarnation,
    /// Window of issued tickets with their used bits.
    pub window: Window,
    /// Time of the handover on the ticket issuer's clock, from which the successor computes the
    /// offset to its own clock.
    pub handover_at_ms: Millis,
    held: Vec<(u64, HeldAnswer)>,
}

impl HandoverTable {
    /// Clears the used bits and the retained answers: a fault that failure tests inject to check
    /// that they detect it.
    #[doc(hidden)]
    pub fn inject_lost_used_bits(&mut self) {
        self.window.clear_used_bits();
        self.held.clear();
    }
}

#[derive(Debug)]
struct Table {
    window: Window,
    /// Added to this daemon's clock, gives the clock of the tickets' issuer.
    clock_offset_ms: i64,
}

/// The ticket tables of one daemon and the answers that it retains.
#[derive(Debug)]
pub struct HomeTable {
    own: Incarnation,
    tables: BTreeMap<Incarnation, Table>,
    held: HashMap<JobId, HeldAnswer>,
    held_order: VecDeque<(JobId, usize)>,
    held_bytes: usize,
    limits: HoldLimits,
}

impl HomeTable {
    /// Creates the table of a daemon that has just started with the incarnation `own`.
    pub fn new(own: Incarnation, limits: HoldLimits) -> Self {
        let table = Table { window: Window::default(), clock_offset_ms: 0 };
        Self {
            own,
            tables: BTreeMap::from([(own, table)]),
            held: HashMap::new(),
            held_order: VecDeque::new(),
            held_bytes: 0,
            limits,
        }
    }

    /// Issues the next ticket of this daemon's own incarnation, valid until `expiry_ms`.
    pub fn issue(&mut self, expiry_ms: Millis) -> JobId {
        let own = self.own;
        let seq = self.tables.get_mut(&own).map_or(u64::MAX, |t| t.window.issue(expiry_ms));
        JobId { incarnation: own, seq }
    }

    /// Returns the status of a ticket; `expiry_ms` is the ticket's expiry on its issuer's clock.
    pub fn ticket_status(&self, job: JobId, expiry_ms: Millis, now: Millis) -> TicketStatus {
        let Some(table) = self.tables.get(&job.incarnation) else {
            return TicketStatus::NotResponsible;
        };
        if let Some(held) = self.held.get(&job) {
            return TicketStatus::UsedWithAnswer(Rc::clone(&held.answer), held.request_digest);
        }
        match table.window.state(job.seq) {
            SeqState::Used => TicketStatus::UsedWithoutAnswer,
            SeqState::Expired | SeqState::NeverIssued => TicketStatus::Expired,
            SeqState::Unused if issuer_time(now, table.clock_offset_ms) > expiry_ms => {
                TicketStatus::Expired
            }
            SeqState::Unused => TicketStatus::Unused,
        }
    }

    /// Marks a ticket as used and returns whether it was unused before.
    pub fn mark_used(&mut self, job: JobId) -> bool {
        self.tables.get_mut(&job.incarnation).is_some_and(|t| t.window.mark_used(job.seq))
    }

    /// Retains an answer for resubmissions and drops the oldest answers beyond the size limit.
    pub fn hold(&mut self, job: JobId, request_digest: u64, answer: Rc<Answer>, now: Millis) {
        let bytes = answer.held_bytes();
        let until_ms = now.plus(self.limits.hold_ms);
        if self.held.insert(job, HeldAnswer { answer, request_digest, until_ms }).is_some() {
            return;
        }
        self.held_order.push_back((job, bytes));
        self.held_bytes += bytes;
        while self.held_bytes > self.limits.hold_bytes {
            self.drop_oldest();
        }
    }

    /// Drops expired tickets and answers.
    pub fn expire(&mut self, now: Millis) {
        for table in self.tables.values_mut() {
            table.window.expire(issuer_time(now, table.clock_offset_ms));
        }
        while let Some((job, _)) = self.held_order.front() {
            if self.held.get(job).is_some_and(|held| held.until_ms >= now) {
                break;
            }
            self.drop_oldest();
        }
    }

    /// Removes and returns all tables for a successor; afterwards this daemon is the home of no
    /// ticket.
    pub fn hand_over(&mut self, now: Millis) -> Vec<HandoverTable> {
        let tables = std::mem::take(&mut self.tables);
        let held = std::mem::take(&mut self.held);
        self.held_order.clear();
        self.held_bytes = 0;
        let mut handover: Vec<HandoverTable> = tables
            .into_iter()
            .map(|(incarnation, table)| HandoverTable {
                incarnation,
                window: table.window,
                handover_at_ms: issuer_time(now, table.clock_offset_ms),
                held: Vec::new(),
            })
            .collect();
        for (job, mut answer) in held {
            answer.until_ms = Millis(answer.until_ms.since(now));
            let target = handover.iter_mut().find(|table| table.incarnation == job.incarnation);
            if let Some(table) = target {
                table.held.push((job.seq, answer));
            }
        }
        handover
    }

    /// Installs a table that a drained daemon handed over.
    pub fn install_table(&mut self, handover: HandoverTable, now: Millis) {
        let incarnation = handover.incarnation;
        let clock_offset_ms = handover.handover_at_ms.0.cast_signed() - now.0.cast_signed();
        self.tables.insert(incarnation, Table { window: handover.window, clock_offset_ms });
        for (seq, held) in handover.held {
            let job = JobId { incarnation, seq };
            let bytes = held.answer.held_bytes();
            let until_ms = now.plus(held.until_ms.0);
            self.held.insert(job, HeldAnswer { until_ms, ..held });
            self.held_order.push_back((job, bytes));
            self.held_bytes += bytes;
        }
    }

    /// Returns whether this daemon is the home of the tickets that `incarnation` issued.
    pub fn answers_for(&self, incarnation: Incarnation) -> bool {
        self.tables.contains_key(&incarnation)
    }

    /// Returns the incarnations for whose tickets this daemon is the home.
    pub fn incarnations(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.tables.keys().copied()
    }

    /// Returns the sizes of the tables and of the retained answers.
    pub fn sizes(&self) -> HomeSizes {
        HomeSizes {
            window_bytes: self.tables.values().map(|t| t.window.held_bytes()).sum(),
            held_answers: self.held.len(),
            held_bytes: self.held_bytes,
            issued: self.tables.values().map(|t| t.window.issued()).sum(),
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((job, bytes)) = self.held_order.pop_front() {
            self.held.remove(&job);
            self.held_bytes -= bytes;
        }
    }
}

/// The sizes of a home table, for the state dump and `docs/CAPACITY.md`.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct HomeSizes {
    /// Size of all ticket windows, in bytes.
    pub window_bytes: usize,
    /// Number of retained answers.
    pub held_answers: usize,
    /// Total size of the retained answers, in bytes.
    pub held_bytes: usize,
    /// Number of tickets issued under all tables.
    pub issued: u64,
}

const fn issuer_time(now: Millis, offset_ms: i64) -> Millis {
    Millis(now.0.saturating_add_signed(offset_ms))
}
