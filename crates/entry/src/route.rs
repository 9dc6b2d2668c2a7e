//! Routes a job to the owner of a cell, and to further owners if that one refuses the job.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::clock::Millis;
use peers::links::LinkError;
use pool::catalogue::Terms;
use pool::cells::Cell;
use pool::failover::{Attempt, Decision, decide, outcome_if_too_late};
use pool::job::{JobSpec, Outcome, PreviousOwner, Reason};
use pool::load_table::{Demand, LoadReport, SentJob};
use pool::pool::Submission;
use pool::queue::Backlog;
use pool::spill::{CellSearch, Offer};

use crate::protocol::{Reply, Request, RunRequest};
use crate::state::Entry;

/// Pause between two checks for a cell's next owner, in milliseconds.
const OWNER_RETRY_INTERVAL_MS: u64 = 25;
/// Maximum time that a job waits for any cell to get an owner, in milliseconds. All daemons of a
/// zone that lost power are back and own its cells within about this time.
const MAX_OWNER_WAIT_MS: u64 = 1_500;
/// Time added to the caller's time limit when waiting for the reply of another daemon, in
/// milliseconds.
const REPLY_MARGIN_MS: u64 = 100;
/// Delay after which a caller may retry when no cell has an owner, in milliseconds. About the time
/// that a takeover needs.
const NO_OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// A caller's request to run a job, as it is routed to an owner.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Id, payload and steps of the job, as the caller sent them.
    pub spec: JobSpec,
    /// Service level of the job's route.
    pub terms: Terms,
    /// When the caller's request arrived at this daemon.
    pub arrived_at: Millis,
    /// Total time that the caller waits, counted from `arrived_at`, in milliseconds.
    pub limit_ms: u64,
}

/// Attempts that were made to run a job, for the log.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Cell of the last attempt; `None` before the first.
    pub cell: Option<Cell>,
    /// Number of attempts, each at the owner of a cell.
    pub attempts: usize,
    /// Load of the cell that replied last; `None` before the first reply.
    pub backlog: Option<Backlog>,
    /// Age of the oldest report by which a cell was passed over because it had no room for the job,
    /// in milliseconds; `None` if no cell was.
    pub known_ms: Option<u64>,
}

/// Cancels a forwarded job at its owner if no reply has arrived when it is dropped, because nobody
/// waits for that reply any more.
struct ForwardGuard {
    entry: Rc<Entry>,
    addr: SocketAddr,
    job: Rc<str>,
    is_finished: bool,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (entry, addr) = (Rc::clone(&self.entry), self.addr);
        let message = Request::Cancel(Rc::clone(&self.job));
        actix_rt::spawn(async move {
            if let Err(error) = entry.links.notify(addr, message).await {
                log::info!("part=route event=cancel_lost owner={addr} why=\"{error}\"");
            }
        });
    }
}

/// Deducts a job from the known free capacity of the cell that it was sent to, until the owner has
/// answered or nobody waits for the answer any more.
struct DeductionGuard<'a> {
    entry: &'a Entry,
    cell: &'a Cell,
    job: SentJob,
}

impl Drop for DeductionGuard<'_> {
    fn drop(&mut self) {
        self.entry.loads.borrow_mut().record_answer(self.cell, self.job);
    }
}

impl JobRequest {
    /// Returns the search for a cell that accepts the job.
    fn search(&self) -> CellSearch {
        let declared_ms = self.spec.critical_path_ms(|step| step.estimate_ms);
        let useful_ms = self.terms.useful_ms(declared_ms).min(self.limit_ms);
        let latest_start = self.arrived_at.plus(useful_ms.saturating_sub(declared_ms));
        CellSearch::new(Demand::of(&self.spec), latest_start, rand::random())
    }

    /// Returns how long the job may wait for an owner, counted from its arrival, in milliseconds:
    /// as long as an answer can still be of use to its caller.
    fn owner_wait_ms(&self) -> u64 {
        let declared_ms = self.spec.critical_path_ms(|step| step.estimate_ms);
        let useful_ms = self.terms.useful_ms(declared_ms).min(self.limit_ms);
        useful_ms.saturating_sub(declared_ms).min(MAX_OWNER_WAIT_MS)
    }
}

impl Entry {
    /// Runs a job at the owner of the best cell. If no cell has an owner, for example during a
    /// rebalance, retries while the job can still be of use to its caller.
    pub async fn run_job(self: &Rc<Self>, request: &JobRequest, trace: &mut Trace) -> Outcome {
        if self.crashes.borrow().convicts_job(&request.spec.id) {
            return Outcome::Failed(Reason::CrashesWorkers);
        }
        loop {
            let outcome = self.try_owners(request, trace).await;
            let may_find_owner = matches!(
                outcome,
                Outcome::NotRun { reason: Reason::NoOwner | Reason::NewOwner, .. }
            );
            if !may_find_owner || self.now().since(request.arrived_at) >= request.owner_wait_ms() {
                return outcome;
            }
            actix_rt::time::sleep(Duration::from_millis(OWNER_RETRY_INTERVAL_MS)).await;
        }
    }

    /// Submits a job to the owners of the best cells, each of which refuses it unless it can start
    /// all tasks that are ready at once. If all refuse, the job is queued at one of them.
    async fn try_owners(self: &Rc<Self>, request: &JobRequest, trace: &mut Trace) -> Outcome {
        let mut refusal =
            Outcome::NotRun { reason: Reason::NoOwner, retry_after_ms: NO_OWNER_RETRY_AFTER_MS };
        let mut search = request.search();
        while let Some(Offer { cell, may_wait, basis }) = self.next_cell(&mut search) {
            self.metrics.offers.with_label_values(&[basis.as_str()]).inc();
            trace.known_ms = search.known_ms();
            trace.cell = Some(cell.clone());
            trace.attempts += 1;
            let attempt = self.submit_to_cell(&cell, request, PreviousOwner::None, may_wait).await;
            trace.backlog = self.loads.borrow().backlog(&cell);
            match decide(attempt, &PreviousOwner::None) {
                Decision::Answer(outcome) => return outcome,
                Decision::SameCell(previous_owner) => {
                    return self.resume_job(&cell, request, previous_owner, trace).await;
                }
                Decision::OtherCell(refused) => refusal = refused.unwrap_or(refusal),
            }
        }
        refusal
    }

    /// Resubmits a job that may have been started to the next owner of the same cell.
    async fn resume_job(
        self: &Rc<Self>,
        cell: &Cell,
        request: &JobRequest,
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
            actix_rt::time::sleep(Duration::from_millis(OWNER_RETRY_INTERVAL_MS)).await;
            if self.owner_of(cell).is_none() {
                continue;
            }
            trace.attempts += 1;
            let attempt = self.submit_to_cell(cell, request, previous_owner.clone(), true).await;
            trace.backlog = self.loads.borrow().backlog(cell);
            match decide(attempt, &previous_owner) {
                Decision::Answer(outcome) => return outcome,
                Decision::SameCell(known) => previous_owner = known,
                Decision::OtherCell(_) => {}
            }
        }
    }

    async fn submit_to_cell(
        self: &Rc<Self>,
        cell: &Cell,
        request: &JobRequest,
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
        let demand = Demand::of(&request.spec);
        let sent = self.loads.borrow_mut().record_sent(cell, demand, self.now());
        let deduction = DeductionGuard { entry: self, cell, job: sent };
        let result = if self.owned.borrow().contains_key(cell) {
            let result = self.run_locally(cell, submission, |_, _| {}).await;
            result.map(|(outcome, backlog)| (outcome, backlog, Vec::new()))
        } else {
            let Some(addr) = self.owner_of(cell) else { return Attempt::NotStarted };
            let message = RunRequest { cell: cell.clone(), submission };
            match self.run_remotely(addr, message).await {
                Ok(result) => {
                    self.responsiveness.borrow_mut().record_reply(addr);
                    if result.is_none() {
                        self.owners.borrow_mut().reject(cell, addr);
                    }
                    result
                }
                Err(LinkError::NoConnection(addr)) => {
                    self.responsiveness.borrow_mut().record_failure(addr, self.now());
                    None
                }
                Err(LinkError::ReplyLost(addr)) => {
                    self.responsiveness.borrow_mut().record_failure(addr, self.now());
                    self.metrics.forwarded.with_label_values(&["lost"]).inc();
                    log::info!(
                        "part=route event=owner_lost job={} cell={cell} owner={addr}",
                        request.spec.id,
                    );
                    return Attempt::ConnectionLost;
                }
            }
        };
        drop(deduction);
        let Some((outcome, backlog, reports)) = result else {
            self.loads.borrow_mut().record_unowned(cell, self.now());
            return Attempt::NotStarted;
        };
        let (mut loads, now) = (self.loads.borrow_mut(), self.now());
        loads.record(cell, demand, &outcome, backlog, now);
        loads.record_reports(&reports, now);
        Attempt::Outcome(outcome)
    }

    async fn run_remotely(
        self: &Rc<Self>,
        addr: SocketAddr,
        message: RunRequest,
    ) -> Result<Option<(Outcome, Backlog, Vec<LoadReport>)>, LinkError> {
        let job = Rc::clone(&message.submission.spec.id);
        let left_ms = message.submission.limit_ms.saturating_sub(message.submission.age_ms);
        let wait_ms = left_ms + REPLY_MARGIN_MS;
        let mut guard = ForwardGuard { entry: Rc::clone(self), addr, job, is_finished: false };
        let reply = self.links.call(addr, Request::Run(Box::new(message)), wait_ms).await;
        guard.is_finished = reply.is_ok();
        match reply? {
            Reply::Outcome(outcome, backlog, reports) => {
                self.metrics.forwarded.with_label_values(&["answered"]).inc();
                Ok(Some((outcome, backlog, reports)))
            }
            Reply::NotOwner
            | Reply::TakenOver
            | Reply::Owners(_)
            | Reply::WorkerCounts(_)
            | Reply::KeepsCell
            | Reply::Crashes(_)
            | Reply::Cancelled
            | Reply::JobNotFound => {
                self.metrics.forwarded.with_label_values(&["not_owner"]).inc();
                Ok(None)
            }
        }
    }

    /// Returns the address of a cell's owner, or `None` if the owner is unknown or unresponsive.
    pub fn owner_of(&self, cell: &Cell) -> Option<SocketAddr> {
        if self.owned.borrow().contains_key(cell) {
            return Some(self.settings.advertised);
        }
        let addr = self.owners.borrow().remote_owner(cell)?;
        self.is_responsive(addr).then_some(addr)
    }

    fn next_cell(&self, search: &mut CellSearch) -> Option<Offer> {
        self.refresh_owned_loads();
        let own_zone = self.settings.zone.as_str();
        let zones = self.settings.zones.iter().filter(|zone| **zone != own_zone);
        let others: Vec<Cell> = zones.flat_map(|zone| self.reachable_cells(zone)).collect();
        let own = self.reachable_cells(own_zone);
        search.next(&self.loads.borrow(), &own, &others, self.now())
    }

    /// Returns the cells of a zone whose owner is known and not unresponsive.
    fn reachable_cells(&self, zone: &str) -> Vec<Cell> {
        let cells = self.cells_in(zone).into_iter();
        cells.filter(|cell| self.owner_of(cell).is_some()).collect()
    }
}
