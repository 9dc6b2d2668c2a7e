//! Executes the actions that the engine emits.

use std::net::SocketAddr;
use std::rc::Rc;

use ::peers::wire::PeerRequest;
use dispatch::engine::{Action, Event};
use dispatch::ticket::{Incarnation, TaskId};
use upstreams::wire::StartCall;

use crate::daemon::Daemon;

impl Daemon {
    /// Executes one action. Calls to workers and peers run in the background; results that the
    /// engine needs are passed back to it as events.
    pub fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply { request, answer } => self.answer(request, answer),
            Action::Start { task, attempt, worker, boot, work, lease_ms, hold } => {
                let call = StartCall {
                    task: task.to_string(),
                    kind: work.kind.clone(),
                    input: work.tasks[task.index as usize].input.clone(),
                    lease_ms,
                    boot,
                    hold,
                };
                self.start(task, attempt, worker, call);
            }
            Action::QueryTask { task, attempt, worker } => self.query_task(task, attempt, worker),
            Action::Stop { worker, tasks } => self.stop(worker, tasks),
            Action::Renew { worker, tasks, lease_ms } => self.renew(worker, tasks, lease_ms),
            Action::Journal(job) => self.journal_start(job),
            Action::RequestSlots(peer, request) => self.notify(peer, PeerRequest::Slots(request)),
            Action::GrantSlots(peer, grant) => self.notify(peer, PeerRequest::Grant(grant)),
            Action::JobEnded { kind, verdict, response_ms, ideal_ms } => {
                self.metrics.record_job_end(&kind, verdict, response_ms, ideal_ms);
            }
        }
    }

    fn start(self: &Rc<Self>, task: TaskId, attempt: u64, worker: SocketAddr, call: StartCall) {
        let daemon = Rc::clone(self);
        daemon.count_worker_messages(worker, 2);
        actix_rt::spawn(async move {
            let (end, hint) = daemon.workers.start(worker, task, &call).await;
            daemon.process_event(Event::TaskOutcome { task, attempt, end, hint });
        });
    }

    fn query_task(self: &Rc<Self>, task: TaskId, attempt: u64, worker: SocketAddr) {
        let daemon = Rc::clone(self);
        daemon.count_worker_messages(worker, 2);
        actix_rt::spawn(async move {
            let (end, hint) = daemon.workers.settle(worker, task).await;
            log::info!("upstreams: Query for task {task} in doubt on {worker} returned {end:?}.");
            daemon.process_event(Event::TaskOutcome { task, attempt, end, hint });
        });
    }

    fn stop(self: &Rc<Self>, worker: SocketAddr, tasks: Vec<TaskId>) {
        let daemon = Rc::clone(self);
        daemon.count_worker_messages(worker, 2);
        actix_rt::spawn(async move {
            if let Err(error) = daemon.workers.stop(worker, &tasks).await {
                log::warn!("upstreams: Request to stop tasks on {worker} failed: {error}.");
            }
        });
    }

    fn renew(self: &Rc<Self>, worker: SocketAddr, tasks: Vec<TaskId>, lease_ms: u64) {
        let daemon = Rc::clone(self);
        daemon.count_worker_messages(worker, 2);
        actix_rt::spawn(async move {
            let renewed = daemon.workers.renew(worker, &tasks, lease_ms).await;
            if renewed.as_ref().is_ok_and(|count| *count == tasks.len()) {
                return;
            }
            log::warn!(
                "upstreams: Worker {worker} did not confirm all lease renewals; querying its tasks."
            );
            for task in tasks {
                daemon.process_event(Event::LeaseUnconfirmed(task));
            }
        });
    }

    fn notify(self: &Rc<Self>, peer: Incarnation, request: PeerRequest) {
        let found = self.membership.borrow().find(peer).map(|peer| {
            let is_cross_zone = peer.last_heartbeat.zone != self.config.zone;
            (peer.last_heartbeat.addr, is_cross_zone)
        });
        let Some((addr, is_cross_zone)) = found else { return };
        self.cross_zone_peer_messages
            .set(self.cross_zone_peer_messages.get() + u64::from(is_cross_zone));
        let daemon = Rc::clone(self);
        actix_rt::spawn(async move {
            if let Err(error) = daemon.links.notify(addr, request).await {
                log::debug!("peers: {error}.");
            }
        });
    }

    fn count_worker_messages(&self, worker: SocketAddr, count: u64) {
        self.worker_messages.set(self.worker_messages.get() + count);
        let is_cross_zone =
            self.engine.try_borrow().is_ok_and(|engine| engine.is_cross_zone(worker));
        if is_cross_zone {
            self.cross_zone_worker_messages.set(self.cross_zone_worker_messages.get() + count);
        }
    }
}
