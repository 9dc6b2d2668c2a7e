//! HTTP handlers for operators: state dump, ticket explanations, catalogue and metrics.

use std::rc::Rc;

use ::operators::metrics::GaugeValues;
use ::operators::parse::{OperatorRequest, parse};
use ::operators::wire::{
    CatalogueBody, EditBody, ErrorBody, FaultRequest, FleetBody, FleetMember, HistoryBody,
    peer_state_name,
};
use dispatch::answer::Reason;
use dispatch::catalogue::CatalogueState;
use dispatch::report::{EngineReport, Explanation};
use httpedge::server::{Request, Response};
use serde::Serialize;

use crate::daemon::Daemon;

/// State dump of a daemon.
#[derive(Debug)]
#[derive(Serialize)]
struct StateBody {
    incarnation: String,
    zone: String,
    phase: String,
    catalogue_offset: Option<u64>,
    catalogue_age_ms: Option<u64>,
    reaches_log: bool,
    cut_off_zones: Vec<String>,
    known_keys: usize,
    waiting_requests: usize,
    traffic: TrafficBody,
    engine: EngineReport,
    fleet: FleetBody,
}

#[derive(Debug)]
#[derive(Serialize)]
struct TrafficBody {
    peer_sent: u64,
    peer_received: u64,
    peer_sent_bytes: u64,
    peer_received_bytes: u64,
    peer_dropped: u64,
    worker_messages: u64,
    far_messages: u64,
    far_peer_messages: u64,
    platform_messages: u64,
    submission_log_messages: u64,
    forward_messages: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ExplainBody {
    ticket_job: String,
    home: String,
    home_zone: String,
    answered_here: bool,
    successor: Option<String>,
    here: Option<Explanation>,
}

impl Daemon {
    /// Handles one HTTP request of an operator.
    pub async fn serve_operator(self: Rc<Self>, request: Request) -> Response {
        let operator_request = match parse(&request) {
            Ok(operator_request) => operator_request,
            Err(error) => {
                let body = ErrorBody { error: error.to_string() };
                return Response::json(error.status(), &body);
            }
        };
        match operator_request {
            OperatorRequest::State => Response::json(200, &self.state()),
            OperatorRequest::Metrics => Response::text(200, self.render_metrics()),
            OperatorRequest::Explain { ticket } => self.explain(&ticket),
            OperatorRequest::Catalogue => self.with_catalogue(|catalogue| {
                let body = CatalogueBody {
                    next_offset: catalogue.next_offset(),
                    items: catalogue.items().clone(),
                };
                Response::json(200, &body)
            }),
            OperatorRequest::History => self.with_catalogue(|catalogue| {
                Response::json(200, &HistoryBody { lines: catalogue.history().cloned().collect() })
            }),
            OperatorRequest::Fleet => Response::json(200, &self.fleet()),
            OperatorRequest::Edit(edit) => edit_response(&self.edit(edit).await),
            OperatorRequest::Outcome { id } => edit_response(&self.await_outcome(&id).await),
            OperatorRequest::Faults(faults) => self.set_faults(faults),
        }
    }

    fn with_catalogue(&self, respond: impl FnOnce(&CatalogueState) -> Response) -> Response {
        match self.follower.borrow().state() {
            Some(catalogue) => respond(catalogue),
            None => Response::json(503, &ErrorBody { error: Reason::NotReady.remedy().to_owned() }),
        }
    }

    fn state(&self) -> StateBody {
        let now = self.now();
        let fleet = self.fleet();
        StateBody {
            incarnation: self.incarnation.to_string(),
            zone: self.config.zone.clone(),
            phase: format!("{:?}", self.phase.get()),
            catalogue_offset: self.follower.borrow().state().map(CatalogueState::next_offset),
            catalogue_age_ms: self.log_reached_at.get().map(|at| now.since(at)),
            reaches_log: self.reaches_log(),
            cut_off_zones: fleet.cut_off_zones.clone(),
            known_keys: self.claims.known_keys(),
            waiting_requests: self.waiting_requests(),
            traffic: TrafficBody {
                peer_sent: self.traffic.sent.get(),
                peer_received: self.traffic.received.get(),
                peer_sent_bytes: self.traffic.sent_bytes.get(),
                peer_received_bytes: self.traffic.received_bytes.get(),
                peer_dropped: self.traffic.dropped.get(),
                worker_messages: self.worker_messages.get(),
                far_messages: self.cross_zone_worker_messages.get(),
                far_peer_messages: self.cross_zone_peer_messages.get(),
                platform_messages: self.platform_messages.get(),
                submission_log_messages: self.submission_log_messages.get(),
                forward_messages: self.forward_messages.get(),
            },
            engine: self.engine.borrow().report(now),
            fleet,
        }
    }

    fn fleet(&self) -> FleetBody {
        let now = self.now();
        let own = FleetMember {
            addr: self.config.peers,
            operators: Some(self.config.operators),
            zone: Some(self.config.zone.clone()),
            state: "self".to_owned(),
            incarnation: Some(self.incarnation.to_string()),
            catalogue_offset: self.follower.borrow().state().map(CatalogueState::next_offset),
            log_reached: Some(self.reaches_log()),
            age_ms: Some(0),
        };
        let membership = self.membership.borrow();
        let others = membership.peers(now).map(|(addr, state, peer)| FleetMember {
            addr,
            operators: peer.map(|peer| peer.last_heartbeat.operators),
            zone: peer.map(|peer| peer.last_heartbeat.zone.clone()),
            state: peer_state_name(state),
            incarnation: peer.map(|peer| peer.last_heartbeat.incarnation.to_string()),
            catalogue_offset: peer.map(|peer| peer.last_heartbeat.catalogue_offset),
            log_reached: peer.map(|peer| peer.last_heartbeat.log_reached),
            age_ms: peer.map(|peer| now.since(peer.last_heard_at)),
        });
        FleetBody {
            daemons: std::iter::once(own).chain(others).collect(),
            cut_off_zones: membership.cut_off_zones(now),
        }
    }

    fn explain(&self, text: &str) -> Response {
        let ticket = match self.keys.check(text) {
            Ok(ticket) => ticket,
            Err(error) => {
                return Response::json(400, &ErrorBody { error: error.to_string() });
            }
        };
        let incarnation = ticket.job.incarnation;
        let here = self.engine.borrow().answers_for(incarnation);
        let successor = self.membership.borrow().successor_of(incarnation);
        let body = ExplainBody {
            ticket_job: ticket.job.to_string(),
            home: ticket.home.to_string(),
            home_zone: ticket.zone,
            answered_here: here,
            successor: successor
                .map(|successor| format!("{} at {}", successor.to, successor.to_addr)),
            here: here.then(|| self.engine.borrow().explain(ticket.job, self.now())),
        };
        Response::json(200, &body)
    }

    fn render_metrics(&self) -> String {
        let engine = self.engine.borrow();
        let (free_slots, queued) = engine.load();
        let age_ms = self.log_reached_at.get().map_or(u64::MAX, |at| self.now().since(at));
        let gauges = GaugeValues {
            queued,
            free_slots,
            in_doubt: engine.in_doubt_count(),
            catalogue_offset: self.follower.borrow().state().map_or(0, CatalogueState::next_offset),
            catalogue_age_ms: age_ms,
        };
        let extra_totals = [
            ("peer_messages_sent", self.traffic.sent.get()),
            ("peer_messages_received", self.traffic.received.get()),
            ("peer_messages_dropped", self.traffic.dropped.get()),
            ("worker_messages", self.worker_messages.get()),
            ("platform_messages", self.platform_messages.get()),
            ("forward_messages", self.forward_messages.get()),
            ("lost_homes_proved", self.recovery.proved.get()),
            ("lost_homes_unproved", self.recovery.unproved.get()),
        ];
        self.metrics.render(engine.counters(), &extra_totals, gauges)
    }

    fn set_faults(&self, faults: FaultRequest) -> Response {
        if !self.config.allow_faults {
            let error = "faults are not allowed; set testing.allow_faults = true in a test";
            return Response::json(403, &ErrorBody { error: error.to_owned() });
        }
        self.links.close(&faults.cut);
        self.cuts.replace(faults.cut);
        Response::text(200, "done\n")
    }
}

fn edit_response(body: &EditBody) -> Response {
    use dispatch::catalogue::Outcome;
    let status = match body {
        EditBody::Known { outcome: Outcome::Applied { .. } } => 200,
        EditBody::Known { outcome: Outcome::Conflict { .. } } => 409,
        EditBody::Known { outcome: Outcome::Invalid { .. } } => 422,
        EditBody::NotAccepted { .. } => 503,
        EditBody::Unknown { .. } => 504,
    };
    Response::json(status, body)
}
