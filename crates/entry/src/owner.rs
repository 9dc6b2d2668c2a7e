//! Performs the I/O that the pools of the owned cells request, and drives the pools.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::clock::Millis;
use peers::io::process_ready_io;
use pool::bounds::{IO_INTERVAL_MS, MAX_STALL_MS};
use pool::call::{PollCall, PollReply, StartCall, StartReply, StopCall, StopReply, Target};
use pool::cells::Cell;
use pool::contact::ContactChange;
use pool::crashes::Crash;
use pool::in_progress::{JobActivity, outcome_of_known_job};
use pool::job::{Outcome, Reason};
use pool::load_table::Demand;
use pool::loss::{ProcessChange, WorkerLoss};
use pool::pool::{Action, Pool, Submission};
use pool::queue::Backlog;
use pool::ramp::RampEvent;
use pool::run::Interruption;
use pool::shedding::Displacement;
use tokio::sync::oneshot;

use crate::protocol::Request;
use crate::state::Entry;

/// Maximum time between two iterations of the loop that drives the pools, in milliseconds.
const MAX_PAUSE_MS: u64 = IO_INTERVAL_MS - MIN_IO_INTERVAL_MS;
/// Minimum time between two checks that all I/O is processed, in milliseconds.
const MIN_IO_INTERVAL_MS: u64 = 20;
/// Maximum number of runs that the log line of a lost worker names.
const MAX_LOGGED_RUNS: usize = 16;

/// Identifies the ownership of a cell under which a call is made, so that a reply does not reach
/// the pool of a later ownership.
#[derive(Clone, Debug)]
struct OwnershipRef {
    cell: Cell,
    serial: u64,
}

/// Cancels a job in its pool if it is dropped before the job's outcome has been delivered.
struct SubmissionGuard {
    entry: Rc<Entry>,
    ownership: OwnershipRef,
    number: u64,
}

impl Drop for SubmissionGuard {
    fn drop(&mut self) {
        let (cell, serial, number) = (&self.ownership.cell, self.ownership.serial, self.number);
        if self.entry.outcome_senders.borrow_mut().remove(&(serial, number)).is_none() {
            return;
        }
        self.entry.with_pool(cell, serial, |pool, now| pool.cancel(now, number));
        self.entry.perform_actions(cell);
    }
}

impl Entry {
    /// Runs a job on an owned cell and waits for its outcome. Returns `None` if the cell is not
    /// owned, or is being given up. If another owned cell knows the job, the job is submitted there.
    /// Calls `on_submit` with the cell that gets the job, the serial of its ownership and the
    /// submission number.
    pub async fn run_locally(
        self: &Rc<Self>,
        requested: &Cell,
        mut submission: Submission,
        on_submit: impl FnOnce(&Cell, u64, u64),
    ) -> Option<(Outcome, Backlog)> {
        let now = self.now_after_stall_check();
        let (cell, activity) = self.choose_cell(requested, &submission, now)?;
        let cell = &cell;
        let is_known = activity != JobActivity::Unknown;
        if is_known {
            // A refusal would let the submitter try cells whose owners do not know the job.
            submission.may_wait = true;
        } else if !self.may_take_job(&submission) {
            return None;
        }
        let (serial, number, receiver) = {
            let mut owned = self.owned.borrow_mut();
            let owned = owned.get_mut(cell).filter(|owned| !owned.pool.is_fenced())?;
            let number = owned.pool.submit(now, submission);
            let (sender, receiver) = oneshot::channel();
            self.outcome_senders.borrow_mut().insert((owned.serial, number), sender);
            (owned.serial, number, receiver)
        };
        on_submit(cell, serial, number);
        let ownership = OwnershipRef { cell: cell.clone(), serial };
        let guard = SubmissionGuard { entry: Rc::clone(self), ownership, number };
        self.perform_actions(cell);
        let outcome = receiver.await.unwrap_or(Outcome::Aborted(Reason::NoOwner));
        drop(guard);
        let outcome =
            if is_known { outcome_of_known_job(outcome, cell == requested) } else { outcome };
        Some((outcome, self.backlog_of(requested)))
    }

    /// Returns the owned cell that gets a submission, with what its pool knows of the job, or `None` if
    /// the requested cell is not owned.
    fn choose_cell(
        &self,
        requested: &Cell,
        submission: &Submission,
        now: Millis,
    ) -> Option<(Cell, JobActivity)> {
        let owned = self.owned.borrow();
        let (requested, _) = owned.get_key_value(requested)?;
        let pools = owned.iter().map(|(cell, owned)| (cell, &owned.pool));
        let (cell, activity) = submission.choose_pool(requested, pools, now);
        if activity != JobActivity::Unknown {
            self.metrics.joined.with_label_values(&["owner"]).inc();
            log::info!(
                "part=owner event=joined job={} cell={cell} requested={requested} state={}",
                submission.spec.id,
                activity.as_str(),
            );
        }
        Some((cell.clone(), activity))
    }

    /// Returns the load of an owned cell.
    pub fn backlog_of(&self, cell: &Cell) -> Backlog {
        let now = self.now();
        let owned = self.owned.borrow();
        owned.get(cell).map(|owned| owned.pool.backlog(now)).unwrap_or_default()
    }

    /// Updates what this daemon knows of the loads of the cells that it owns itself.
    pub fn refresh_owned_loads(&self) {
        let now = self.now();
        let owned = self.owned.borrow();
        let mut loads = self.loads.borrow_mut();
        for (cell, owned) in owned.iter() {
            loads.record_backlog(cell, owned.pool.backlog(now), now);
        }
    }

    /// Passes an event to the pool of a cell, unless the event belongs to a previous ownership.
    pub fn with_pool(
        self: &Rc<Self>,
        cell: &Cell,
        serial: u64,
        event: impl FnOnce(&mut Pool, Millis),
    ) {
        let now = self.now_after_stall_check();
        let mut owned = self.owned.borrow_mut();
        let Some(owned) = owned.get_mut(cell).filter(|owned| owned.serial == serial) else {
            return;
        };
        event(&mut owned.pool, now);
    }

    /// Performs the actions that a cell's pool requests, and drops the cell if it has been fenced.
    pub fn perform_actions(self: &Rc<Self>, cell: &Cell) {
        let (serial, actions, fenced) = {
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            let fenced = owned.pool.is_fenced().then(|| owned.pool.token());
            (owned.serial, owned.pool.take_actions(), fenced)
        };
        let ownership = OwnershipRef { cell: cell.clone(), serial };
        for action in actions {
            self.perform_action(&ownership, action);
        }
        if let Some(token) = fenced {
            self.release_fenced_cell(cell, token);
        }
        self.send_free_notices(cell);
        self.pools_changed.notify_one();
    }

    /// Records that an owned cell had no room for a job of a daemon, which may be this one.
    pub fn record_refused_daemon(&self, cell: &Cell, addr: SocketAddr, demand: Demand) {
        let mut refused = self.refused_daemons.borrow_mut();
        refused.entry(cell.clone()).or_default().record(addr, demand, self.now());
    }

    /// Tells the daemons whose jobs an owned cell had no room for that it has room again.
    fn send_free_notices(self: &Rc<Self>, cell: &Cell) {
        let now = self.now();
        let addrs = {
            let mut refused = self.refused_daemons.borrow_mut();
            let Some(daemons) = refused.get_mut(cell).filter(|daemons| !daemons.is_empty()) else {
                return;
            };
            let backlog = self.backlog_of(cell);
            self.loads.borrow_mut().record_backlog(cell, backlog, now);
            daemons.take_due(&backlog, now)
        };
        let Some(report) = self.loads.borrow().report(cell, now) else { return };
        for addr in addrs {
            if addr == self.settings.advertised {
                self.loads_changed.notify_waiters();
                continue;
            }
            let entry = Rc::clone(self);
            log::debug!("part=owner event=free_notice cell={cell} to={addr}");
            actix_rt::spawn(async move {
                let result = entry.links.notify(addr, Request::CellLoad(report)).await;
                let label = if result.is_ok() { "sent" } else { "lost" };
                entry.metrics.free_notices.with_label_values(&[label]).inc();
            });
        }
    }

    /// Withdraws a submission from an owned cell if the job is still queued. The outcome of the job
    /// shows whether it was.
    pub fn withdraw_submission(self: &Rc<Self>, cell: &Cell, serial: u64, number: u64) {
        self.with_pool(cell, serial, |pool, now| {
            pool.withdraw(now, number);
        });
        self.perform_actions(cell);
    }

    fn perform_action(self: &Rc<Self>, ownership: &OwnershipRef, action: Action) {
        let (entry, ownership) = (Rc::clone(self), ownership.clone());
        match action {
            Action::Start(target, call) => {
                actix_rt::spawn(async move { entry.send_start(ownership, target, call).await });
            }
            Action::Stop(target, call) => {
                actix_rt::spawn(async move { entry.send_stop(ownership, target, call).await });
            }
            Action::Poll(target, call) => {
                actix_rt::spawn(async move { entry.send_poll(ownership, target, call).await });
            }
            Action::Answer(number, outcome) => {
                let sender = self.outcome_senders.borrow_mut().remove(&(ownership.serial, number));
                if let Some(sender) = sender {
                    let _ = sender.send(outcome);
                }
            }
            Action::ReportLoss(loss) => {
                self.log_loss(&ownership, &loss);
                if let Some(crash) = Crash::from_loss(&loss) {
                    self.report_crash(crash, &ownership.cell);
                }
            }
            Action::ReportReturn(life) => {
                self.metrics.worker_losses.with_label_values(&["returned"]).inc();
                log::info!(
                    "part=owner event=worker_returned worker={} started_at={}",
                    life.worker,
                    life.started_at_ms.unwrap_or_default(),
                );
                self.report_return(life, &ownership.cell);
            }
            Action::ReportProcess(change) => self.log_process_change(&ownership, &change),
            Action::ReportOrphan(worker, task, run) => {
                self.metrics.orphaned_runs.inc();
                log::info!(
                    "part=owner event=orphan_found task={task} run={run} worker={worker} cell={}",
                    ownership.cell,
                );
            }
            Action::ReportInterruption(interruption) => {
                self.log_interruption(&ownership, &interruption);
            }
            Action::ReportRamp(event) => self.log_ramp(&ownership, event),
            Action::ReportSlow(speed) => {
                self.metrics.slow_workers.inc();
                log::info!(
                    "part=owner event=worker_slow worker={} cell={} speed_percent={}",
                    speed.worker,
                    ownership.cell,
                    speed.percent,
                );
            }
            Action::ReportContact(change) => self.log_contact(&ownership, change),
            Action::ReportDisplaced(displacement) => {
                self.log_displacement(&ownership, &displacement);
            }
        }
    }

    fn log_ramp(&self, ownership: &OwnershipRef, event: RampEvent) {
        let cell = &ownership.cell;
        match event {
            RampEvent::Began { capacity_millicores } => log::info!(
                "part=owner event=ramp_begun cell={cell} returned_millicores={capacity_millicores} \
                 cold_workers={}",
                self.cold_workers_of(cell),
            ),
            RampEvent::Ended { capacity_millicores, took_ms } => log::info!(
                "part=owner event=ramp_ended cell={cell} returned_millicores={capacity_millicores} \
                 took_ms={took_ms}",
            ),
        }
    }

    fn log_contact(&self, ownership: &OwnershipRef, change: ContactChange) {
        let cell = &ownership.cell;
        match change {
            ContactChange::Lost { jobs, age_ms } => {
                self.metrics.contact_losses.inc();
                log::info!("part=owner event=contact_lost cell={cell} jobs={jobs} age_ms={age_ms}");
            }
            ContactChange::Restored { after_ms } => {
                log::info!("part=owner event=contact_restored cell={cell} after_ms={after_ms}");
            }
        }
    }

    fn cold_workers_of(&self, cell: &Cell) -> usize {
        let now = self.now();
        self.owned.borrow().get(cell).map_or(0, |owned| owned.pool.cold_workers(now))
    }

    /// Updates the gauges of the owned cells, which are read far less often than they change.
    pub fn update_cell_gauges(&self) {
        let now = self.now();
        let owned = self.owned.borrow();
        let cold: usize = owned.values().map(|owned| owned.pool.cold_workers(now)).sum();
        let ramping = owned.values().filter(|owned| owned.pool.ramp_percent().is_some()).count();
        self.metrics.cold_workers.set(i64::try_from(cold).unwrap_or(i64::MAX));
        self.metrics.ramping_cells.set(i64::try_from(ramping).unwrap_or(i64::MAX));
    }

    fn log_displacement(&self, ownership: &OwnershipRef, displacement: &Displacement) {
        let Displacement { job, route, by, value, wait_ms } = displacement;
        let reason = if by.is_some() { "arrival" } else { "late" };
        self.metrics.displaced_jobs.with_label_values(&[&**route, reason]).inc();
        log::info!(
            "part=owner event=displaced job={job} route={route} by={} value={value:.2} \
             wait_ms={wait_ms} cell={}",
            by.as_deref().unwrap_or_default(),
            ownership.cell,
        );
    }

    fn log_interruption(&self, ownership: &OwnershipRef, interruption: &Interruption) {
        let evidence = interruption.evidence.as_str();
        self.metrics.interruptions.with_label_values(&[evidence]).inc();
        log::info!(
            "part=owner event=run_interrupted task={} run={} worker={} evidence={evidence} cell={}",
            interruption.task,
            interruption.run,
            interruption.worker.as_deref().unwrap_or_default(),
            ownership.cell,
        );
    }

    fn log_process_change(&self, ownership: &OwnershipRef, change: &ProcessChange) {
        let evidence = change.evidence.as_str();
        self.metrics.worker_processes.with_label_values(&[evidence]).inc();
        log::info!(
            "part=owner event=worker_process worker={} started_at={} before={} evidence={evidence} \
             cell={} runs={}",
            change.previous.worker,
            change.started_at_ms.unwrap_or_default(),
            change.previous.started_at_ms.unwrap_or_default(),
            ownership.cell,
            change.runs,
        );
    }

    fn log_loss(&self, ownership: &OwnershipRef, loss: &WorkerLoss) {
        let cause = loss.cause.as_str();
        self.metrics.worker_losses.with_label_values(&[cause]).inc();
        self.metrics.lost_runs.with_label_values(&[cause]).inc_by(loss.runs.len() as u64);
        let tasks: Vec<String> = loss
            .runs
            .iter()
            .take(MAX_LOGGED_RUNS)
            .map(|run| format!("{}/{}", run.task, run.run))
            .collect();
        log::info!(
            "part=owner event=worker_lost worker={} started_at={} cause={cause} draining={} \
             cell={} runs={} tasks={}",
            loss.life.worker,
            loss.life.started_at_ms.unwrap_or_default(),
            loss.was_draining,
            ownership.cell,
            loss.runs.len(),
            tasks.join(","),
        );
    }

    async fn send_start(self: Rc<Self>, ownership: OwnershipRef, target: Target, call: StartCall) {
        let reply = self.workers.start(&target, &call).await;
        let (label, clock_ms) = match reply {
            StartReply::Started { clock_ms } => ("started", Some(clock_ms)),
            StartReply::Refused(refusal) => (refusal.as_str(), None),
            StartReply::Lost => ("lost", None),
        };
        self.metrics.starts.with_label_values(&[label]).inc();
        let is_usual = label == "started" && call.run == 1;
        let level = if is_usual { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level,
            "part=owner event=start task={} run={} worker={} process={} token={} lease_until={} \
             clock={} reply={label}",
            call.task,
            call.run,
            target.id,
            target.process.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            call.token,
            call.lease_until_ms,
            clock_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
        );
        self.with_pool(&ownership.cell, ownership.serial, |pool, now| {
            pool.start_reply(now, &target.id, &call, reply);
        });
        self.perform_actions(&ownership.cell);
    }

    async fn send_stop(self: Rc<Self>, ownership: OwnershipRef, target: Target, call: StopCall) {
        let reply = self.workers.stop(&target, &call).await;
        let label = match reply {
            StopReply::Stopped => "stopped",
            StopReply::Refused(refusal) => refusal.as_str(),
            StopReply::Lost => "lost",
        };
        self.metrics.stops.with_label_values(&[label]).inc();
        log::info!(
            "part=owner event=stop task={} run={} worker={} token={} reply={label}",
            call.task,
            call.run,
            target.id,
            call.token,
        );
        self.with_pool(&ownership.cell, ownership.serial, |pool, now| {
            pool.stop_reply(now, &target.id, &call, reply);
        });
        self.perform_actions(&ownership.cell);
    }

    async fn send_poll(self: Rc<Self>, ownership: OwnershipRef, target: Target, call: PollCall) {
        let sent_at = self.now();
        let reply = self.workers.poll(&target, call).await;
        let label = match &reply {
            PollReply::Report(report) => {
                let new_ends = report.ended.iter().filter(|ended| ended.number > call.ack_cursor);
                self.metrics.ended_runs.inc_by(new_ends.count() as u64);
                "report"
            }
            PollReply::Refused(refusal) => refusal.as_str(),
            PollReply::Lost => "lost",
        };
        self.metrics.polls.with_label_values(&[label]).inc();
        if label != "report" {
            log::info!(
                "part=owner event=look worker={} token={} took_ms={} reply={label}",
                target.id,
                call.token,
                self.now().since(sent_at),
            );
        }
        self.with_pool(&ownership.cell, ownership.serial, |pool, now| {
            pool.poll_reply(now, &target.id, sent_at, &reply);
        });
        self.perform_actions(&ownership.cell);
    }

    /// Makes sure that the pools know what had arrived by now, for example that callers have gone,
    /// before they start or renew anything after a pause of this process.
    async fn process_io(&self) {
        let at = self.now();
        if at.since(self.io_at.get()) < MIN_IO_INTERVAL_MS {
            return;
        }
        process_ready_io().await;
        self.io_at.set(at);
        for owned in self.owned.borrow_mut().values_mut() {
            owned.pool.record_io(at);
        }
    }

    /// Runs the loop that advances the pools of the owned cells whenever something is due.
    pub async fn drive_pools(self: Rc<Self>) {
        let mut last_at = self.now();
        loop {
            self.process_io().await;
            let now = self.now_after_stall_check();
            if now.since(last_at) >= MAX_STALL_MS {
                log::warn!("part=owner event=stalled for_ms={}", now.since(last_at));
                self.resettlement.borrow_mut().record_stall(now);
            }
            last_at = now;
            let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
            for cell in &cells {
                if let Some(owned) = self.owned.borrow_mut().get_mut(cell) {
                    owned.pool.advance(now);
                }
                if self.has_actions(cell) {
                    self.perform_actions(cell);
                }
            }
            let due = self.owned.borrow().values().filter_map(|own| own.pool.next_due(now)).min();
            let pause_ms = due.map_or(MAX_PAUSE_MS, |due| due.since(now)).clamp(1, MAX_PAUSE_MS);
            let pause = actix_rt::time::sleep(Duration::from_millis(pause_ms));
            futures_util::future::select(
                std::pin::pin!(pause),
                std::pin::pin!(self.pools_changed.notified()),
            )
            .await;
        }
    }

    fn has_actions(&self, cell: &Cell) -> bool {
        self.owned.borrow().get(cell).is_some_and(|owned| owned.pool.has_actions())
    }
}
