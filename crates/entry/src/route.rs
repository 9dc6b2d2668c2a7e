//! Finds the owner that runs a job, and the next one where that refuses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::clock::Millis;
use peers::links::LinkError;
use pool::catalogue::Terms;
use pool::cells::Cell;
use pool::failover::{Attempt, Decision, decide, outcome_if_too_late};
use pool::job::{JobSpec, Outcome, PreviousOwner, Reason};
use pool::pool::Submission;
use pool::queue::Backlog;
use pool::spill::CellSearch;

use crate::fleet::{Ask, RunAsk, Tell};
use crate::state::Entry;

/// The pause between two looks for a cell's next owner, in milliseconds.
const NEXT_OWNER_PAUSE_MS: u64 = 25;
/// How long a job waits for any cell to get an owner, in milliseconds: a little over the time
/// between two renewals of the ownership.
const NO_OWNER_WAIT_MS: u64 = 350;
/// What a reply of another daemon may take beyond the caller's time, in milliseconds.
const REPLY_SLACK_MS: u64 = 100;
/// When a caller may ask again where no daemon owns workers: about the time of a takeover.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// A job on its way to an owner.
#[derive(Clone, Debug)]
pub struct Request {
    /// The job.
    pub spec: JobSpec,
    /// What its route promises.
    pub terms: Terms,
    /// When the request arrived.
    pub arrived_at: Millis,
    /// How long the caller waits in all, in milliseconds.
    pub limit_ms: u64,
}

/// Where a job's last try went, and how many there were.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// The cell.
    pub cell: Option<Cell>,
    /// How many owners were asked.
    pub tries: usize,
}

/// Tells the owner that nobody waits, where the question is dropped.
struct Forwarded {
    entry: Rc<Entry>,
    addr: SocketAddr,
    job: Rc<str>,
    ended: bool,
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (entry, addr) = (Rc::clone(&self.entry), self.addr);
        let ask = Ask::Cancel(Rc::clone(&self.job));
        actix_rt::spawn(async move {
            if let Err(error) = entry.links.notify(addr, ask).await {
                log::info!("part=route event=cancel_lost owner={addr} why=\"{error}\"");
            }
        });
    }
}

impl Entry {
    /// Runs a job at the best owner. Where no cell has one, such as while cells are dealt anew, it
    /// waits a moment for the next.
    pub async fn run_job(self: &Rc<Self>, request: &Request, trace: &mut Trace) -> Outcome {
        loop {
            let outcome = self.ask_owners(request, trace).await;
            let has_no_owner = matches!(outcome, Outcome::NotRun { reason: Reason::NoOwner, .. });
            if !has_no_owner || self.now().since(request.arrived_at) >= NO_OWNER_WAIT_MS {
                return outcome;
            }
            actix_rt::time::sleep(Duration::from_millis(NEXT_OWNER_PAUSE_MS)).await;
        }
    }

    /// Asks owners to begin all tasks at once; where none of the best has the room, the job waits
    /// at one of them.
    async fn ask_owners(self: &Rc<Self>, request: &Request, trace: &mut Trace) -> Outcome {
        let mut refusal =
            Outcome::NotRun { reason: Reason::NoOwner, retry_after_ms: NO_OWNER_RETRY_MS };
        let mut search = CellSearch::default();
        while let Some((cell, may_wait)) = self.next_cell(&mut search) {
            trace.cell = Some(cell.clone());
            trace.tries += 1;
            let tried = self.try_cell(&cell, request, PreviousOwner::None, may_wait).await;
            match decide(tried, &PreviousOwner::None) {
                Decision::Answer(outcome) => return outcome,
                Decision::SameCell(previous_owner) => {
                    return self.resume(&cell, request, previous_owner, trace).await;
                }
                Decision::OtherCell(refused) => refusal = refused.unwrap_or(refusal),
            }
        }
        refusal
    }

    /// Brings a job that may have been begun to the next owner of the same cell.
    async fn resume(
        self: &Rc<Self>,
        cell: &Cell,
        request: &Request,
        mut previous_owner: PreviousOwner,
        trace: &mut Trace,
    ) -> Outcome {
        let declared_ms = request.spec.critical_path_ms(|step| step.estimate_ms);
        loop {
            let age_ms = self.now().since(request.arrived_at);
            if let Some(outcome) =
                outcome_if_too_late(&previous_owner, age_ms, declared_ms, request.limit_ms)
            {
                return outcome;
            }
            actix_rt::time::sleep(Duration::from_millis(NEXT_OWNER_PAUSE_MS)).await;
            if self.owner_of(cell).is_none() {
                continue;
            }
            trace.tries += 1;
            let tried = self.try_cell(cell, request, previous_owner.clone(), true).await;
            match decide(tried, &previous_owner) {
                Decision::Answer(outcome) => return outcome,
                Decision::SameCell(known) => previous_owner = known,
                Decision::OtherCell(_) => {}
            }
        }
    }

    async fn try_cell(
        self: &Rc<Self>,
        cell: &Cell,
        request: &Request,
        previous_owner: PreviousOwner,
        may_wait: bool,
    ) -> Attempt {
        let submission = Submission {
            spec: request.spec.clone(),
            terms: request.terms.clone(),
            age_ms: self.now().since(request.arrived_at),
            limit_ms: request.limit_ms,
            previous_owner,
            may_wait,
            is_remote: false,
        };
        let ran = if self.owned.borrow().contains_key(cell) {
            self.run_here(cell, submission, |_, _| {}).await
        } else {
            let Some(addr) = self.owner_of(cell) else { return Attempt::NotStarted };
            let ask = RunAsk { cell: cell.clone(), submission };
            match self.run_there(addr, ask).await {
                Ok(ran) => ran,
                Err(LinkError::NoConnection(addr)) => {
                    self.note_silent(addr);
                    None
                }
                Err(LinkError::ReplyLost(addr)) => {
                    self.note_silent(addr);
                    self.metrics.forwarded.with_label_values(&["lost"]).inc();
                    log::info!(
                        "part=route event=owner_lost job={} cell={cell} owner={addr}",
                        request.spec.id,
                    );
                    return Attempt::ConnectionLost;
                }
            }
        };
        let Some((outcome, backlog)) = ran else { return Attempt::NotStarted };
        self.loads.borrow_mut().record(cell, &outcome, backlog, self.now());
        Attempt::Outcome(outcome)
    }

    async fn run_there(
        self: &Rc<Self>,
        addr: SocketAddr,
        ask: RunAsk,
    ) -> Result<Option<(Outcome, Backlog)>, LinkError> {
        let job = Rc::clone(&ask.submission.spec.id);
        let left_ms = ask.submission.limit_ms.saturating_sub(ask.submission.age_ms);
        let wait_ms = left_ms + REPLY_SLACK_MS;
        let mut forwarded = Forwarded { entry: Rc::clone(self), addr, job, ended: false };
        let told = self.links.call(addr, Ask::Run(Box::new(ask)), wait_ms).await;
        forwarded.ended = told.is_ok();
        match told? {
            Tell::Outcome(outcome, backlog) => {
                self.metrics.forwarded.with_label_values(&["answered"]).inc();
                Ok(Some((outcome, backlog)))
            }
            Tell::NotOwner
            | Tell::Taken
            | Tell::Owners(_)
            | Tell::WorkerCounts(_)
            | Tell::Cancelled
            | Tell::NotOpen => {
                self.metrics.forwarded.with_label_values(&["not_owner"]).inc();
                Ok(None)
            }
        }
    }

    /// Gives the address of a cell's owner, as far as it is known and answers.
    pub fn owner_of(&self, cell: &Cell) -> Option<SocketAddr> {
        if self.owned.borrow().contains_key(cell) {
            return Some(self.settings.advertised);
        }
        let addr = self.owners.borrow().remote_owner(cell)?;
        self.may_ask(addr).then_some(addr)
    }

    fn next_cell(&self, search: &mut CellSearch) -> Option<(Cell, bool)> {
        let own_zone = self.settings.zone.as_str();
        let others = || {
            let zones = self.settings.zones.iter().filter(|zone| **zone != own_zone);
            zones.flat_map(|zone| self.reachable_cells(zone)).collect()
        };
        let own = self.reachable_cells(own_zone);
        search.next(&self.loads.borrow(), &own, others, self.now())
    }

    /// Gives the cells of a zone that have an owner which may be asked.
    fn reachable_cells(&self, zone: &str) -> Vec<Cell> {
        let cells = self.cells_in(zone).into_iter();
        cells.filter(|cell| self.owner_of(cell).is_some()).collect()
    }
}
