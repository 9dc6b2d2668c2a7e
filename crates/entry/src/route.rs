//! Routes a job to the owner of a cell, and to further owners if that one refuses the job.

use std::cell::Cell as Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::clock::Millis;
use futures_util::future::{Either, select};
use peers::links::LinkError;
use pool::catalogue::Terms;
use pool::cells::Cell;
use pool::evacuation::RETRY_AFTER_MS;
use pool::failover::{Attempt, Decision, decide, outcome_if_too_late};
use pool::job::{JobSpec, Outcome, PreviousOwner, Reason};
use pool::load_table::{Demand, LoadReport, SentJob};
use pool::pool::Submission;
use pool::queue::Backlog;
use pool::spill::{CellSearch, Offer};

use crate::peers::is_lack_of_room;
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
    attempt: u64,
    is_finished: bool,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (entry, addr) = (Rc::clone(&self.entry), self.addr);
        let message = Request::Cancel(Rc::clone(&self.job), self.attempt);
        actix_rt::spawn(async move {
            if let Err(error) = entry.links.notify(addr, message).await {
                log::info!("part=route event=cancel_lost owner={addr} why=\"{error}\"");
                // The owner drops the job with the link, whose further echoes would keep it alive.
                entry.links.close(&[addr]);
            }
        });
    }
}

/// Deducts a job from the known free capacity of the cell that it was sent to, until the owner has
/// answered or nobody waits for the answer any more.
struct DeductionGuard {
    entry: Rc<Entry>,
    cell: Cell,
    job: SentJob,
}

impl DeductionGuard {
    fn new(entry: &Rc<Entry>, cell: &Cell, demand: Demand) -> Self {
        let job = entry.loads.borrow_mut().record_sent(cell, demand, entry.now());
        Self { entry: Rc::clone(entry), cell: cell.clone(), job }
    }
}

impl Drop for DeductionGuard {
    fn drop(&mut self) {
        self.entry.loads.borrow_mut().record_answer(&self.cell, self.job);
    }
}

/// Answer of a cell's owner: the outcome of the job, the load of the cell, and reports on others.
type Answer = (Outcome, Backlog, Vec<LoadReport>);

/// A job that was submitted with queueing allowed.
struct QueuedJob<'a> {
    cell: &'a Cell,
    job: Rc<str>,
    demand: Demand,
    sent_at: Millis,
    place: &'a Value<Option<Place>>,
}

/// A job that its owner has been asked to withdraw.
struct Moving {
    /// Deduction of the job from the capacity of the cell that it is to move to.
    deduction: DeductionGuard,
    /// Age of the report by which that cell was chosen, in milliseconds.
    known_ms: u64,
}

/// Where a submitted job may be queued.
#[derive(Clone, Copy, Debug)]
enum Place {
    /// In a pool of this daemon, with the serial of the ownership and the submission number.
    Local(u64, u64),
    /// At another daemon, with the number of the request.
    Remote(SocketAddr, u64),
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
        let outcome = self.run_at_owner(request, trace).await;
        self.spread_retry(request, outcome)
    }

    /// Replaces the retry delay of a job that was refused for lack of room by one from the plan of all
    /// retries.
    fn spread_retry(&self, request: &JobRequest, outcome: Outcome) -> Outcome {
        let (now, work) = (self.now(), request.spec.declared_work());
        let mut retries = self.retries.borrow_mut();
        match outcome {
            Outcome::NotRun { reason, retry_after_ms } if is_lack_of_room(&outcome) => {
                let age_ms = now.since(request.arrived_at);
                let waited = age_ms as f64 / request.limit_ms.max(1) as f64;
                let retry_after_ms = retries.plan(work, waited, retry_after_ms, now);
                Outcome::NotRun { reason, retry_after_ms }
            }
            Outcome::Completed => {
                retries.record_served(work, now);
                outcome
            }
            _ => outcome,
        }
    }

    async fn run_at_owner(self: &Rc<Self>, request: &JobRequest, trace: &mut Trace) -> Outcome {
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
        // Zones that are evacuated by the reply of an owner, which this daemon may not have read yet.
        let mut refusing_zones = BTreeSet::new();
        while let Some(offer) = self.next_cell(&mut search, &refusing_zones) {
            let Offer { cell, may_wait, basis } = offer;
            self.metrics.offers.with_label_values(&[basis.as_str()]).inc();
            trace.known_ms = search.known_ms();
            trace.cell = Some(cell.clone());
            trace.attempts += 1;
            let movable = may_wait.then_some(&mut search);
            let submission = self.make_submission(request, PreviousOwner::None, may_wait);
            let attempt = self.submit_to_cell(&cell, submission, movable).await;
            trace.backlog = self.loads.borrow().backlog(&cell);
            match decide(attempt, &PreviousOwner::None) {
                Decision::Answer(outcome) => return outcome,
                Decision::SameCell(previous_owner) => {
                    return self.resume_job(&cell, request, previous_owner, trace).await;
                }
                Decision::OtherCell(Some(Outcome::NotRun {
                    reason: Reason::Evacuated, ..
                })) => {
                    log::info!(
                        "part=route event=zone_evacuated job={} cell={cell}",
                        request.spec.id
                    );
                    // The job may have waited there, so all cells of the other zones are asked again.
                    refusing_zones.insert(Rc::clone(&cell.zone));
                    search = request.search();
                }
                Decision::OtherCell(Some(refused)) if is_withdrawn(&refused) => {}
                Decision::OtherCell(refused) => {
                    search.stay();
                    refusal = refused.unwrap_or(refusal);
                }
            }
        }
        if self.known_zones().iter().all(|zone| self.is_zone_closed(zone, &refusing_zones)) {
            return Outcome::NotRun { reason: Reason::Evacuated, retry_after_ms: RETRY_AFTER_MS };
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
            let submission = self.make_submission(request, previous_owner.clone(), true);
            let attempt = self.submit_to_cell(cell, submission, None).await;
            trace.backlog = self.loads.borrow().backlog(cell);
            match decide(attempt, &previous_owner) {
                Decision::Answer(outcome) => return outcome,
                Decision::SameCell(known) => previous_owner = known,
                Decision::OtherCell(_) => {}
            }
        }
    }

    fn make_submission(
        &self,
        request: &JobRequest,
        previous_owner: PreviousOwner,
        may_wait: bool,
    ) -> Submission {
        Submission {
            spec: request.spec.clone(),
            terms: request.terms.clone(),
            age_ms: self.now().since(request.arrived_at),
            limit_ms: request.limit_ms,
            previous_owner,
            may_wait,
            is_remote: false,
        }
    }

    /// Submits a job to the owner of a cell and waits for its outcome. If the job is `movable`, it is
    /// withdrawn when another cell could start it while it is queued.
    async fn submit_to_cell(
        self: &Rc<Self>,
        cell: &Cell,
        submission: Submission,
        movable: Option<&mut CellSearch>,
    ) -> Attempt {
        let (job, demand) = (Rc::clone(&submission.spec.id), Demand::of(&submission.spec));
        let deduction = DeductionGuard::new(self, cell, demand);
        let place = Value::new(None);
        let running = self.submit_to_owner(cell, submission, &place);
        let result = match movable {
            None => running.await,
            Some(search) => {
                let queued = QueuedJob { cell, job, demand, sent_at: self.now(), place: &place };
                self.run_unless_moved(running, search, queued).await
            }
        };
        drop(deduction);
        let answer = match result {
            Ok(answer) => answer,
            Err(attempt) => return attempt,
        };
        let Some((outcome, backlog, reports)) = answer else {
            self.loads.borrow_mut().record_unowned(cell, self.now());
            return Attempt::NotStarted;
        };
        let now = self.now();
        self.loads.borrow_mut().record(cell, demand, &outcome, backlog, now);
        self.loads.borrow_mut().record_reports(&reports, now);
        self.loads_changed.notify_waiters();
        Attempt::Outcome(outcome)
    }

    /// Submits a job to the owner of a cell and waits for its answer; `None` if that daemon does not
    /// own the cell. Sets `place` as soon as the job may be queued.
    async fn submit_to_owner(
        self: &Rc<Self>,
        cell: &Cell,
        submission: Submission,
        place: &Value<Option<Place>>,
    ) -> Result<Option<Answer>, Attempt> {
        if self.owned.borrow().contains_key(cell) {
            let demand = Demand::of(&submission.spec);
            let on_submit = |at: &Cell, serial, number| {
                if at == cell {
                    place.set(Some(Place::Local(serial, number)));
                }
            };
            let result = self.run_locally(cell, submission, on_submit).await;
            if result.as_ref().is_some_and(|(outcome, _)| is_lack_of_room(outcome)) {
                self.record_refused_daemon(cell, self.settings.advertised, demand);
            }
            return Ok(result.map(|(outcome, backlog)| (outcome, backlog, Vec::new())));
        }
        let Some(addr) = self.owner_of(cell) else { return Err(Attempt::NotStarted) };
        let attempt = self.allocate_attempt();
        place.set(Some(Place::Remote(addr, attempt)));
        let job = Rc::clone(&submission.spec.id);
        let message = RunRequest {
            cell: cell.clone(),
            submission,
            submitter: Some(self.settings.advertised),
            echoes_pings: true,
            attempt,
        };
        match self.run_remotely(addr, message).await {
            Ok(answer) => {
                self.responsiveness.borrow_mut().record_reply(addr);
                match &answer {
                    None => {
                        self.owners.borrow_mut().reject(cell, addr);
                        self.ask_for_owners(addr);
                    }
                    Some((_, backlog, _)) if backlog.free.is_some() => {
                        self.withdrawing_peers.borrow_mut().insert(addr);
                    }
                    Some(_) => {
                        self.withdrawing_peers.borrow_mut().remove(&addr);
                    }
                }
                Ok(answer)
            }
            Err(LinkError::NoConnection(addr)) => {
                self.responsiveness.borrow_mut().record_failure(addr, self.now());
                Ok(None)
            }
            Err(LinkError::ReplyLost(addr)) => {
                self.responsiveness.borrow_mut().record_failure(addr, self.now());
                self.metrics.forwarded.with_label_values(&["lost"]).inc();
                log::info!("part=route event=owner_lost job={job} cell={cell} owner={addr}");
                Err(Attempt::ConnectionLost)
            }
        }
    }

    /// Waits for the answer to a submitted job. If another cell could start the job while it is
    /// queued, asks the owner once to withdraw it, and still waits for the answer: only
    /// [`Reason::Withdrawn`] says that the job may be submitted to the other cell.
    async fn run_unless_moved(
        self: &Rc<Self>,
        running: impl Future<Output = Result<Option<Answer>, Attempt>>,
        search: &mut CellSearch,
        queued: QueuedJob<'_>,
    ) -> Result<Option<Answer>, Attempt> {
        let mut running = std::pin::pin!(running);
        let moving = loop {
            let changed = std::pin::pin!(self.loads_changed.notified());
            match select(running.as_mut(), changed).await {
                Either::Left((result, _)) => return result,
                Either::Right(_) => {}
            }
            if let Some(moving) = self.try_withdraw(search, &queued) {
                break moving;
            }
        };
        let result = running.await;
        let answer = result.as_ref().ok().and_then(Option::as_ref);
        let is_withdrawn = answer.is_some_and(|(outcome, ..)| is_withdrawn(outcome));
        let label = if is_withdrawn { "withdrawn" } else { "kept" };
        self.metrics.moves.with_label_values(&[label]).inc();
        if is_withdrawn {
            log::info!(
                "part=route event=job_moved job={} from={} to={} queued_ms={} known_ms={}",
                queued.job,
                queued.cell,
                moving.deduction.cell,
                self.now().since(queued.sent_at),
                moving.known_ms,
            );
        }
        result
    }

    /// Asks the owner of the cell where a job is queued to withdraw it, if another cell could start
    /// it. Returns the other cell, with the job deducted from its known capacity.
    fn try_withdraw(
        self: &Rc<Self>,
        search: &mut CellSearch,
        queued: &QueuedJob<'_>,
    ) -> Option<Moving> {
        let place = queued.place.get()?;
        if let Place::Remote(addr, _) = place
            && !self.withdrawing_peers.borrow().contains(&addr)
        {
            return None;
        }
        let (now, queued_at) = (self.now(), (queued.cell, queued.sent_at));
        if !search.may_move(&self.loads.borrow(), queued_at, now) {
            return None;
        }
        let (own, others) = self.cells_by_zone(&BTreeSet::new());
        let (better, known_ms) = {
            let loads = self.loads.borrow();
            let better = search.find_better_cell(&loads, queued_at, (&own, &others), now)?;
            let known_ms = loads.age_ms(&better, now).unwrap_or_default();
            (better, known_ms)
        };
        let deduction = DeductionGuard::new(self, &better, queued.demand);
        match place {
            Place::Local(serial, number) => self.withdraw_submission(queued.cell, serial, number),
            Place::Remote(addr, attempt) => {
                let (entry, job) = (Rc::clone(self), Rc::clone(&queued.job));
                actix_rt::spawn(async move {
                    let message = Request::Withdraw(Rc::clone(&job), attempt);
                    if let Err(error) = entry.links.notify(addr, message).await {
                        log::info!(
                            "part=route event=withdraw_lost job={job} owner={addr} why=\"{error}\""
                        );
                    }
                });
            }
        }
        Some(Moving { deduction, known_ms })
    }

    async fn run_remotely(
        self: &Rc<Self>,
        addr: SocketAddr,
        message: RunRequest,
    ) -> Result<Option<Answer>, LinkError> {
        let job = Rc::clone(&message.submission.spec.id);
        let left_ms = message.submission.limit_ms.saturating_sub(message.submission.age_ms);
        let wait_ms = left_ms + REPLY_MARGIN_MS;
        let (entry, attempt) = (Rc::clone(self), message.attempt);
        let mut guard = ForwardGuard { entry, addr, job, attempt, is_finished: false };
        let reply = self.links.call(addr, Request::Run(Box::new(message)), wait_ms).await;
        guard.is_finished = reply.is_ok();
        match reply? {
            Reply::Outcome(outcome, backlog, reports) => {
                self.metrics.forwarded.with_label_values(&["answered"]).inc();
                Ok(Some((outcome, backlog, reports)))
            }
            Reply::NotOwner
            | Reply::TakenOver
            | Reply::Owners(..)
            | Reply::WorkerCounts(_)
            | Reply::KeepsCell
            | Reply::Crashes(_)
            | Reply::Delegated { .. }
            | Reply::Cancelled
            | Reply::JobNotFound => {
                self.metrics.forwarded.with_label_values(&["not_owner"]).inc();
                Ok(None)
            }
        }
    }

    /// Returns the address of a cell's owner, or `None` if the owner is unknown or unresponsive. The
    /// holder of the cell's partition takes the place of an unresponsive owner that it chose.
    pub fn owner_of(&self, cell: &Cell) -> Option<SocketAddr> {
        if self.owned.borrow().contains_key(cell) {
            return Some(self.settings.advertised);
        }
        let owners = self.owners.borrow();
        let addr = owners.remote_owner(cell)?;
        if self.is_responsive(addr) {
            return Some(addr);
        }
        owners.listed_holder(cell).filter(|addr| self.is_responsive(*addr))
    }

    /// Returns the next offer, which is to no cell of an evacuated zone.
    fn next_cell(
        &self,
        search: &mut CellSearch,
        refusing_zones: &BTreeSet<Rc<str>>,
    ) -> Option<Offer> {
        self.refresh_owned_loads();
        let (own, others) = self.cells_by_zone(refusing_zones);
        search.next(&self.loads.borrow(), &own, &others, self.now())
    }

    /// Returns the cells of this daemon's zone and those of the other zones whose owner is known and not
    /// unresponsive, without those of evacuated zones.
    fn cells_by_zone(&self, refusing_zones: &BTreeSet<Rc<str>>) -> (Vec<Cell>, Vec<Cell>) {
        let own_zone = self.settings.zone.as_str();
        let open_cells = |zone: &str| {
            let is_closed = self.is_zone_closed(zone, refusing_zones);
            if is_closed { Vec::new() } else { self.reachable_cells(zone) }
        };
        let zones = self.settings.zones.iter().filter(|zone| **zone != own_zone);
        let others = zones.flat_map(|zone| open_cells(zone)).collect();
        (open_cells(own_zone), others)
    }

    fn is_zone_closed(&self, zone: &str, refusing_zones: &BTreeSet<Rc<str>>) -> bool {
        refusing_zones.contains(zone) || self.evacuations.borrow().is_evacuated(zone)
    }

    /// Returns the cells of a zone whose owner is known and not unresponsive.
    fn reachable_cells(&self, zone: &str) -> Vec<Cell> {
        let cells = self.cells_in(zone).into_iter();
        cells.filter(|cell| self.owner_of(cell).is_some()).collect()
    }
}

/// Returns whether an outcome says that the job was withdrawn while it was queued.
const fn is_withdrawn(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { reason: Reason::Withdrawn, .. })
}
