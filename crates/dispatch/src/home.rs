//! The home table: who may start a ticket's tasks and what is still held of past ones.
//!
//! A table answers for its own incarnation and for those it inherited from drained
//! daemons. See `docs/design/tickets.md`.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::clock::Millis;
use crate::ticket::{Incarnation, JobId};
use crate::window::{Mark, Window};

/// What the table says of one ticket.
#[derive(Clone, Debug)]
pub enum Standing {
    /// The ticket may be used now.
    Fresh,
    /// The ticket was used and its answer is held, with the digest of its request.
    Held(Rc<Answer>, u64),
    /// The ticket was used and no answer is held.
    UsedNotHeld,
    /// The ticket's validity is over.
    Expired,
    /// This daemon does not answer for the ticket's incarnation.
    NotMine,
}

/// Bounds on the answers that are held for resubmissions.
#[derive(Clone, Copy, Debug)]
pub struct HoldLimits {
    /// How long an answer is held.
    pub hold_ms: u64,
    /// How many bytes of answers are held.
    pub hold_bytes: usize,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct HeldAnswer {
    answer: Rc<Answer>,
    request_digest: u64,
    until_ms: Millis,
}

/// One incarnation's table as it goes to a successor, with times as spans from the handover.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct HandedTable {
    /// The incarnation that the table answers for.
    pub incarnation: Incarnation,
    /// The used bits and the unused range.
    pub window: Window,
    /// The giver's clock at the handover, by which the successor shifts all times.
    pub given_at_ms: Millis,
    held: Vec<(u64, HeldAnswer)>,
}

impl HandedTable {
    /// Forgets what was used: the fault that the failure tests plant to see it found.
    #[doc(hidden)]
    pub fn plant_forgotten_use(&mut self) {
        self.window.forget_used();
        self.held.clear();
    }
}

#[derive(Debug)]
struct Table {
    window: Window,
    /// What to add to this daemon's clock to get the clock of the tickets' issuer.
    clock_offset_ms: i64,
}

/// The tables of one daemon and the answers that it holds.
#[derive(Debug)]
pub struct HomeTable {
    own: Incarnation,
    tables: BTreeMap<Incarnation, Table>,
    held: HashMap<JobId, HeldAnswer>,
    order: VecDeque<(JobId, usize)>,
    held_bytes: usize,
    limits: HoldLimits,
}

impl HomeTable {
    /// Builds the table of a daemon that has just drawn its incarnation.
    pub fn new(own: Incarnation, limits: HoldLimits) -> Self {
        let table = Table { window: Window::default(), clock_offset_ms: 0 };
        Self {
            own,
            tables: BTreeMap::from([(own, table)]),
            held: HashMap::new(),
            order: VecDeque::new(),
            held_bytes: 0,
            limits,
        }
    }

    /// Issues the next own ticket's sequence number.
    pub fn issue(&mut self, expiry_ms: Millis) -> JobId {
        let own = self.own;
        let seq = self.tables.get_mut(&own).map_or(u64::MAX, |t| t.window.issue(expiry_ms));
        JobId { incarnation: own, seq }
    }

    /// Tells how a ticket stands; `expiry_ms` is the ticket's, on its issuer's clock.
    pub fn standing(&self, job: JobId, expiry_ms: Millis, now: Millis) -> Standing {
        let Some(table) = self.tables.get(&job.incarnation) else {
            return Standing::NotMine;
        };
        if let Some(held) = self.held.get(&job) {
            return Standing::Held(Rc::clone(&held.answer), held.request_digest);
        }
        match table.window.mark(job.seq) {
            Mark::Used => Standing::UsedNotHeld,
            Mark::Expired | Mark::NeverIssued => Standing::Expired,
            Mark::Unused if shifted(now, table.clock_offset_ms) > expiry_ms => Standing::Expired,
            Mark::Unused => Standing::Fresh,
        }
    }

    /// Burns a ticket and tells whether it was fresh.
    pub fn burn(&mut self, job: JobId) -> bool {
        self.tables.get_mut(&job.incarnation).is_some_and(|t| t.window.burn(job.seq))
    }

    /// Holds an answer for resubmissions, dropping the oldest past the bounds.
    pub fn hold(&mut self, job: JobId, request_digest: u64, answer: Rc<Answer>, now: Millis) {
        let bytes = answer.held_bytes();
        let until_ms = now.plus(self.limits.hold_ms);
        if self.held.insert(job, HeldAnswer { answer, request_digest, until_ms }).is_some() {
            return;
        }
        self.order.push_back((job, bytes));
        self.held_bytes += bytes;
        while self.held_bytes > self.limits.hold_bytes {
            self.drop_oldest();
        }
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Millis) {
        for table in self.tables.values_mut() {
            table.window.expire(shifted(now, table.clock_offset_ms));
        }
        while let Some((job, _)) = self.order.front() {
            if self.held.get(job).is_some_and(|held| held.until_ms >= now) {
                break;
            }
            self.drop_oldest();
        }
    }

    /// Gives every table away; afterwards this daemon answers for nothing.
    pub fn hand_over(&mut self, now: Millis) -> Vec<HandedTable> {
        let tables = std::mem::take(&mut self.tables);
        let held = std::mem::take(&mut self.held);
        self.order.clear();
        self.held_bytes = 0;
        let mut handed: Vec<HandedTable> = tables
            .into_iter()
            .map(|(incarnation, table)| HandedTable {
                incarnation,
                window: table.window,
                given_at_ms: shifted(now, table.clock_offset_ms),
                held: Vec::new(),
            })
            .collect();
        for (job, mut answer) in held {
            answer.until_ms = Millis(answer.until_ms.since(now));
            let target = handed.iter_mut().find(|table| table.incarnation == job.incarnation);
            if let Some(table) = target {
                table.held.push((job.seq, answer));
            }
        }
        handed
    }

    /// Takes over the table of a drained daemon.
    pub fn inherit(&mut self, handed: HandedTable, now: Millis) {
        let incarnation = handed.incarnation;
        let clock_offset_ms = handed.given_at_ms.0.cast_signed() - now.0.cast_signed();
        self.tables.insert(incarnation, Table { window: handed.window, clock_offset_ms });
        for (seq, held) in handed.held {
            let job = JobId { incarnation, seq };
            let bytes = held.answer.held_bytes();
            let until_ms = now.plus(held.until_ms.0);
            self.held.insert(job, HeldAnswer { until_ms, ..held });
            self.order.push_back((job, bytes));
            self.held_bytes += bytes;
        }
    }

    /// Tells whether this daemon answers for `incarnation`.
    pub fn answers_for(&self, incarnation: Incarnation) -> bool {
        self.tables.contains_key(&incarnation)
    }

    /// Lists the incarnations that this daemon answers for.
    pub fn incarnations(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.tables.keys().copied()
    }

    /// Gives the bytes of used bits and of held answers.
    pub fn sizes(&self) -> HomeSizes {
        HomeSizes {
            window_bytes: self.tables.values().map(|t| t.window.held_bytes()).sum(),
            held_answers: self.held.len(),
            held_bytes: self.held_bytes,
            issued: self.tables.values().map(|t| t.window.issued()).sum(),
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((job, bytes)) = self.order.pop_front() {
            self.held.remove(&job);
            self.held_bytes -= bytes;
        }
    }
}

/// What the home table holds, for the state dump and `docs/CAPACITY.md`.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct HomeSizes {
    /// Bytes of used bits.
    pub window_bytes: usize,
    /// Number of answers held.
    pub held_answers: usize,
    /// Bytes of answers held.
    pub held_bytes: usize,
    /// Tickets issued under all tables.
    pub issued: u64,
}

const fn shifted(now: Millis, offset_ms: i64) -> Millis {
    Millis(now.0.saturating_add_signed(offset_ms))
}
