//! Serves the HTTP requests of callers.

use std::rc::Rc;

use actix_http::Method;
use adapter::callers::{
    JobError, WAIT_HEADER, is_job_id, read_job, render_cancelled, render_error, render_not_run,
    render_outcome, render_pending, render_running, render_unknown_job,
};
use dispatch::clock::Millis;
use httpedge::server::{Request, Response};
use pool::catalogue::Route;
use pool::job::Outcome;

use crate::route::{JobRequest, Trace};
use crate::state::{Entry, Phase};

/// Maximum size of a request body, in bytes. The configuration may set a lower limit.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Delay after which a caller may retry when the daemon has no configuration yet, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 1_000;
/// A draining daemon accepts a job only if the time until it exits is at least this multiple of the
/// job's declared time.
const DRAIN_TIME_FACTOR: u64 = 3;
/// Status of a response that reports how a job ended.
const OK: u16 = 200;
/// Time reserved for sending a response to the caller, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 100;
/// Delay after which a caller may retry at another daemon when this one drains, in milliseconds.
const DRAINING_RETRY_AFTER_MS: u64 = 200;

/// Counts a request as in flight while it is served. Records that the caller disconnected if it is
/// dropped before the response.
struct InFlightGuard {
    entry: Rc<Entry>,
    job: Rc<str>,
    arrived_at: Millis,
    is_answered: bool,
}

impl InFlightGuard {
    fn new(entry: &Rc<Entry>, job: &Rc<str>, arrived_at: Millis) -> Self {
        entry.in_flight.set(entry.in_flight.get() + 1);
        Self { entry: Rc::clone(entry), job: Rc::clone(job), arrived_at, is_answered: false }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.entry.in_flight.set(self.entry.in_flight.get() - 1);
        if !self.is_answered {
            let waited_ms = self.entry.now().since(self.arrived_at);
            self.entry.metrics.requests.with_label_values(&["", "", "caller_left"]).inc();
            log::info!("part=callers event=caller_left job={} waited_ms={waited_ms}", self.job);
        }
    }
}

impl Entry {
    /// Responds to the platform's readiness check with 200 if callers should be routed to this
    /// daemon and 503 otherwise.
    pub fn handle_readiness_check(&self, request: &Request) -> Response {
        if request.path != adapter::settings::READY_PATH {
            return render_error(404, "no such path");
        }
        if self.is_ready() { Response::text(200, "") } else { Response::text(503, "") }
    }

    /// Handles a caller's request. While the daemon drains, the response closes the connection.
    pub async fn handle_caller_request(self: Rc<Self>, request: Request) -> Response {
        let mut response = self.route_request(&request).await;
        response.close_connection = self.phase.get() == Phase::Draining;
        response
    }

    async fn route_request(self: &Rc<Self>, request: &Request) -> Response {
        let catalogue = self.catalogue.borrow().clone();
        let Some(catalogue) = catalogue else {
            return render_not_run(503, "no configuration yet", NO_CONFIG_RETRY_AFTER_MS);
        };
        let host = request.header("host").unwrap_or_default();
        let Some(route) = catalogue.route(host, &request.path) else {
            log::info!(
                "part=callers event=no_route host={host} path={} config={}",
                request.path,
                catalogue.version,
            );
            return render_error(404, "no such route");
        };
        let rest = &request.path[route.path_prefix.len()..];
        if request.method == Method::GET && rest.is_empty() {
            return render_pending(self.pending_jobs());
        }
        if !is_job_id(rest) {
            return render_error(404, "the path must end with a job's id");
        }
        if request.method == Method::GET {
            let is_open = self.open_jobs.contains(rest);
            return if is_open { render_running() } else { render_unknown_job() };
        }
        if request.method == Method::DELETE {
            let found = self.cancel_job(rest).await;
            return if found { render_cancelled() } else { render_unknown_job() };
        }
        if request.method != Method::POST {
            return render_error(405, "use POST, GET or DELETE");
        }
        let max_body_bytes = catalogue.max_body_bytes.unwrap_or(MAX_BODY_BYTES);
        match request.body.as_ref().filter(|body| body.len() <= max_body_bytes) {
            None => render_error(413, "the body is too large"),
            Some(body) => self.run_request(request, route, rest, body, catalogue.version).await,
        }
    }

    async fn run_request(
        self: &Rc<Self>,
        request: &Request,
        route: &Route,
        id: &str,
        body: &[u8],
        version: u64,
    ) -> Response {
        let arrived_at = self.now();
        let spec = match read_job(id, body) {
            Ok(spec) => spec,
            Err(error) => return self.reject_job(id, route, &error),
        };
        if route.requires_policy_service {
            return self.reject_job(id, route, &JobError::Unsupported("advice"));
        }
        let wait_ms = request.header(WAIT_HEADER).and_then(|text| text.parse().ok());
        let limit_ms = wait_ms.unwrap_or(route.terms.timeout_ms);
        let left_ms = self.exits_at.get().map(|at| at.since(arrived_at));
        let declared_ms = spec.critical_path_ms(|step| step.estimate_ms);
        if left_ms
            .is_some_and(|left_ms| left_ms < declared_ms * DRAIN_TIME_FACTOR + RESPONSE_MARGIN_MS)
        {
            log::info!(
                "part=callers event=refused job={id} status=503 why=leaving left_ms={left_ms:?}"
            );
            self.metrics.requests.with_label_values(&[&route.terms.route, "503", "leaving"]).inc();
            return render_not_run(503, "this daemon ends", DRAINING_RETRY_AFTER_MS);
        }
        let limit_ms =
            limit_ms.min(left_ms.map_or(u64::MAX, |left_ms| left_ms - RESPONSE_MARGIN_MS));
        let mut guard = InFlightGuard::new(self, &spec.id, arrived_at);
        let tasks = spec.task_count();
        let job = Rc::new(JobRequest { spec, terms: route.terms.clone(), arrived_at, limit_ms });
        if self.open_jobs.contains(&job.spec.id) {
            self.metrics.joined.with_label_values(&["submitter"]).inc();
            log::info!("part=callers event=joined job={id}");
        }
        let run = {
            let (entry, job) = (Rc::clone(self), Rc::clone(&job));
            async move {
                let mut trace = Trace::default();
                let outcome = entry.run_job(&job, &mut trace).await;
                (outcome, trace)
            }
        };
        let result = self.open_jobs.run(&job.spec.id, limit_ms, run).await;
        guard.is_answered = true;
        let (outcome, trace) = result.unzip();
        let trace = trace.unwrap_or_default();
        let (response, why) = match &outcome {
            None => (render_cancelled(), "cancelled"),
            Some(outcome) => (render_outcome(outcome), outcome.as_str()),
        };
        let retry_after_ms = match outcome {
            Some(Outcome::NotRun { retry_after_ms, .. }) => Some(retry_after_ms),
            _ => None,
        };
        let numbers = (tasks, version, response.status, retry_after_ms);
        self.record_response(&job, why, &trace, numbers);
        response
    }

    fn record_response(
        &self,
        job: &JobRequest,
        why: &str,
        trace: &Trace,
        (tasks, version, status, retry_after_ms): (usize, u64, u16, Option<u64>),
    ) {
        let route = &*job.terms.route;
        let took_ms = self.now().since(job.arrived_at);
        let labels = [route, &status.to_string(), why];
        self.metrics.requests.with_label_values(&labels).inc();
        let seconds = took_ms as f64 / 1_000.0;
        self.metrics.latency_s.with_label_values(&[route]).observe(seconds);
        let cell = trace.cell.as_ref().map(ToString::to_string).unwrap_or_default();
        let load = trace.backlog.filter(|_| status != OK).map(|load| {
            format!(
                " free_millicores={} capacity_millicores={} queue_ms={} known_ms={}",
                load.free_millicores,
                load.capacity_millicores,
                load.wait_ms(),
                trace.known_ms.map_or_else(|| "-".to_owned(), |known_ms| known_ms.to_string()),
            )
        });
        let retry_after_ms = retry_after_ms.map(|delay_ms| format!(" retry_after_ms={delay_ms}"));
        log::info!(
            "part=callers event=answer job={} route={route} status={status} why={why} \
             took_ms={took_ms} limit_ms={} longest_ms={} tasks={tasks} cell={cell} tries={} \
             config={version}{}{}",
            job.spec.id,
            job.limit_ms,
            job.spec.critical_path_ms(|step| step.estimate_ms),
            trace.attempts,
            load.unwrap_or_default(),
            retry_after_ms.unwrap_or_default(),
        );
    }

    fn reject_job(&self, id: &str, route: &Route, error: &JobError) -> Response {
        let status = match error {
            JobError::Unreadable(_) => 400,
            JobError::Unsupported(_) => 503,
        };
        let labels = [&*route.terms.route, &status.to_string(), "refused"];
        self.metrics.requests.with_label_values(&labels).inc();
        log::info!("part=callers event=refused job={id} status={status} why=\"{error}\"");
        render_error(status, &error.to_string())
    }

    fn pending_jobs(&self) -> usize {
        self.owned.borrow().values().map(|owned| owned.pool.pending_jobs()).sum()
    }
}
