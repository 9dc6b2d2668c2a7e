//! Carries out what the pools of the owned cells decide.

use std::rc::Rc;
use std::time::Duration;

use dispatch::clock::Millis;
use pool::call::{PollCall, PollReply, StartCall, StartReply, StopCall, StopReply, Target};
use pool::cells::Cell;
use pool::job::{Outcome, Progress};
use pool::pool::{Action, Pool, Submission};
use pool::queue::Backlog;
use tokio::sync::oneshot;

use crate::state::Entry;

/// The longest pause between two turns of the loop.
const LONGEST_PAUSE_MS: u64 = 100;

/// The ownership of a cell that a call belongs to.
#[derive(Clone, Debug)]
struct Place {
    cell: Cell,
    serial: u64,
}

/// Cancels a job at its pool where its waiting request goes away.
struct Submitted {
    entry: Rc<Entry>,
    place: Place,
    number: u64,
}

impl Drop for Submitted {
    fn drop(&mut self) {
        let (cell, serial, number) = (&self.place.cell, self.place.serial, self.number);
        if self.entry.waiting.borrow_mut().remove(&(serial, number)).is_none() {
            return;
        }
        self.entry.with_pool(cell, serial, |pool, now| pool.cancel(now, number));
        self.entry.perform(cell);
    }
}

impl Entry {
    /// Runs a job on an owned cell and waits for its outcome. None where the cell is not owned.
    pub async fn run_here(
        self: &Rc<Self>,
        cell: &Cell,
        submission: Submission,
        note: impl FnOnce(u64, u64),
    ) -> Option<(Outcome, Backlog)> {
        let now = self.now();
        let (serial, number, receiver) = {
            let mut owned = self.owned.borrow_mut();
            let owned = owned.get_mut(cell)?;
            let number = owned.pool.submit(now, submission);
            let (sender, receiver) = oneshot::channel();
            self.waiting.borrow_mut().insert((owned.serial, number), sender);
            (owned.serial, number, receiver)
        };
        note(serial, number);
        let place = Place { cell: cell.clone(), serial };
        let submitted = Submitted { entry: Rc::clone(self), place, number };
        self.perform(cell);
        let outcome = receiver.await.unwrap_or(Outcome::Moved(Progress::default()));
        drop(submitted);
        Some((outcome, self.backlog_of(cell)))
    }

    /// Gives the load of an owned cell.
    pub fn backlog_of(&self, cell: &Cell) -> Backlog {
        let now = self.now();
        let owned = self.owned.borrow();
        owned.get(cell).map(|owned| owned.pool.backlog(now)).unwrap_or_default()
    }

    /// Hands an event to a pool, unless it is of an earlier ownership.
    pub fn with_pool(&self, cell: &Cell, serial: u64, event: impl FnOnce(&mut Pool, Millis)) {
        let now = self.now();
        let mut owned = self.owned.borrow_mut();
        let Some(owned) = owned.get_mut(cell).filter(|owned| owned.serial == serial) else {
            return;
        };
        event(&mut owned.pool, now);
    }

    /// Carries out the actions that are due in a cell.
    pub fn perform(self: &Rc<Self>, cell: &Cell) {
        let (serial, actions, fenced) = {
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(cell) else { return };
            let fenced = owned.pool.is_fenced().then(|| owned.pool.token());
            (owned.serial, owned.pool.take_actions(), fenced)
        };
        let place = Place { cell: cell.clone(), serial };
        for action in actions {
            self.perform_one(&place, action);
        }
        if let Some(token) = fenced {
            self.note_fenced(cell, token);
        }
        self.due.notify_one();
    }

    fn perform_one(self: &Rc<Self>, place: &Place, action: Action) {
        let (entry, place) = (Rc::clone(self), place.clone());
        match action {
            Action::Start(target, call) => {
                actix_rt::spawn(async move { entry.send_start(place, target, call).await });
            }
            Action::Stop(target, call) => {
                actix_rt::spawn(async move { entry.send_stop(place, target, call).await });
            }
            Action::Poll(target, call) => {
                actix_rt::spawn(async move { entry.send_look(place, target, call).await });
            }
            Action::Answer(number, outcome) => {
                let sender = self.waiting.borrow_mut().remove(&(place.serial, number));
                if let Some(sender) = sender {
                    let _ = sender.send(outcome);
                }
            }
        }
    }

    async fn send_start(self: Rc<Self>, place: Place, target: Target, call: StartCall) {
        let reply = self.workers.start(&target, &call).await;
        let said = match reply {
            StartReply::Started { .. } => "started",
            StartReply::Refused(refusal) => refusal.as_str(),
            StartReply::Lost => "lost",
        };
        self.metrics.starts.with_label_values(&[said]).inc();
        let level = if said == "started" { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level,
            "part=owner event=start task={} run={} worker={} token={} lease_until={} reply={said}",
            call.task,
            call.run,
            target.id,
            call.token,
            call.lease_until_ms,
        );
        self.with_pool(&place.cell, place.serial, |pool, now| {
            pool.start_reply(now, &target.id, &call, reply);
        });
        self.perform(&place.cell);
    }

    async fn send_stop(self: Rc<Self>, place: Place, target: Target, call: StopCall) {
        let reply = self.workers.stop(&target, &call).await;
        let said = match reply {
            StopReply::Stopped => "stopped",
            StopReply::Refused(refusal) => refusal.as_str(),
            StopReply::Lost => "lost",
        };
        self.metrics.stops.with_label_values(&[said]).inc();
        log::info!(
            "part=owner event=stop task={} run={} worker={} token={} reply={said}",
            call.task,
            call.run,
            target.id,
            call.token,
        );
        self.with_pool(&place.cell, place.serial, |pool, now| {
            pool.stop_reply(now, &target.id, &call, reply);
        });
        self.perform(&place.cell);
    }

    async fn send_look(self: Rc<Self>, place: Place, target: Target, call: PollCall) {
        let sent_at = self.now();
        let reply = self.workers.poll(&target, call).await;
        let said = match &reply {
            PollReply::Report(report) => {
                let unseen = report.ended.iter().filter(|ended| ended.number > call.ack_cursor);
                self.metrics.ended_runs.inc_by(unseen.count() as u64);
                "report"
            }
            PollReply::Refused(refusal) => refusal.as_str(),
            PollReply::Lost => "lost",
        };
        self.metrics.polls.with_label_values(&[said]).inc();
        if said != "report" {
            log::info!(
                "part=owner event=look worker={} token={} took_ms={} reply={said}",
                target.id,
                call.token,
                self.now().since(sent_at),
            );
        }
        self.with_pool(&place.cell, place.serial, |pool, now| {
            pool.poll_reply(now, &target.id, sent_at, &reply);
        });
        self.perform(&place.cell);
    }

    /// Lets time pass in the owned cells, each time something is due.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let now = self.now();
            let cells: Vec<Cell> = self.owned.borrow().keys().cloned().collect();
            for cell in &cells {
                if let Some(owned) = self.owned.borrow_mut().get_mut(cell) {
                    owned.pool.advance(now);
                }
                if self.has_actions(cell) {
                    self.perform(cell);
                }
            }
            let due = self.owned.borrow().values().filter_map(|own| own.pool.next_due(now)).min();
            let pause_ms =
                due.map_or(LONGEST_PAUSE_MS, |due| due.since(now)).clamp(1, LONGEST_PAUSE_MS);
            let pause = actix_rt::time::sleep(Duration::from_millis(pause_ms));
            futures_util::future::select(
                std::pin::pin!(pause),
                std::pin::pin!(self.due.notified()),
            )
            .await;
        }
    }

    fn has_actions(&self, cell: &Cell) -> bool {
        self.owned.borrow().get(cell).is_some_and(|owned| owned.pool.has_actions())
    }
}
