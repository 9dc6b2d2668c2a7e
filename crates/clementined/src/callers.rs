//! Serves callers: routes each request to the home of its ticket, this daemon or another one.
//!
//! The home of a ticket is the daemon process that issued it, or the successor that took over its
//! ticket tables; only the home may start the ticket's tasks.

use std::rc::Rc;

use ::callers::parse::{Call, Identity, parse};
use ::callers::render::{ErrorBody, TicketsBody, render, render_error};
use ::peers::wire::{PeerReply, PeerRequest};
use dispatch::answer::{Answer, Reason, Verdict};
use dispatch::catalogue::KindSpec;
use dispatch::engine::Event;
use dispatch::jobs::{JobRequest, Submission};
use dispatch::ticket::Ticket;
use httpedge::server::{Request, Response};

use crate::daemon::{Daemon, Phase};

/// Time that a call to another daemon may take beyond the wait that the request asks for.
const REPLY_MARGIN_MS: u64 = 3_000;
/// How long a request waits for a handover in progress to complete.
const HANDOVER_WAIT_MS: u64 = 3_000;
const HANDOVER_POLL_INTERVAL_MS: u64 = 20;

/// An answer together with its ticket.
#[derive(Clone, Debug)]
pub struct TicketedAnswer {
    /// Text of the ticket; empty if no ticket is known.
    pub ticket: String,
    /// Answer for the job of the ticket.
    pub answer: Answer,
}

/// A call to the home of a ticket.
#[derive(Clone, Debug)]
pub enum HomeCall {
    /// Run a job and wait for its answer.
    Submit {
        /// Kind and tasks of the job.
        request: JobRequest,
        /// How long to wait for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Wait for the answer to a job that was submitted earlier.
    Wait {
        /// How long to wait for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Cancel the job of the ticket.
    Cancel,
}

impl HomeCall {
    const fn wait_ms(&self) -> u64 {
        match self {
            Self::Submit { wait_ms, .. } | Self::Wait { wait_ms } => *wait_ms,
            Self::Cancel => CANCEL_WAIT_MS,
        }
    }
}

const CANCEL_WAIT_MS: u64 = 10_000;

impl Daemon {
    /// Handles one HTTP request of a caller.
    pub async fn serve_caller(self: Rc<Self>, request: Request) -> Response {
        let call = match parse(&request, self.config.max_tasks) {
            Ok(call) => call,
            Err(problem) => return render_error(&problem),
        };
        match call {
            Call::Submit { identity, wait_ms, next_tickets, request } => {
                self.submit(identity, wait_ms, next_tickets, request).await
            }
            Call::Wait { ticket, wait_ms } => {
                self.call_by_ticket(&ticket, HomeCall::Wait { wait_ms }, 0).await
            }
            Call::Cancel { ticket } => self.call_by_ticket(&ticket, HomeCall::Cancel, 0).await,
            Call::Tickets { count } => self.tickets(count),
            Call::Health => self.health(),
        }
    }

    async fn submit(
        self: Rc<Self>,
        identity: Identity,
        wait_ms: u64,
        next_tickets: usize,
        request: JobRequest,
    ) -> Response {
        let call = HomeCall::Submit { request, wait_ms };
        let ticketed = match identity {
            Identity::Ticket(ticket) => {
                return self.call_by_ticket(&ticket, call, next_tickets).await;
            }
            Identity::Key { key, key_ms } => self.call_by_key(key, key_ms, call).await,
            Identity::Unspecified => self.run_here_or_forward(call).await,
        };
        render(&ticketed.ticket, &ticketed.answer, self.issue_tickets(next_tickets))
    }

    async fn call_by_ticket(self: Rc<Self>, text: &str, call: HomeCall, next: usize) -> Response {
        let ticket = match self.keys.check(text) {
            Ok(ticket) => ticket,
            Err(error) => {
                return Response::json(400, &ErrorBody { error: error.to_string() });
            }
        };
        let answer = self.call_home(&ticket, text, call).await;
        render(text, &answer, self.issue_tickets(next))
    }

    fn tickets(&self, count: usize) -> Response {
        let tickets = self.issue_tickets(count);
        if tickets.is_empty() && count > 0 {
            let error =
                "no tickets here: the daemon drains or has no catalogue; ask another".into();
            return Response::json(503, &ErrorBody { error });
        }
        Response::json(200, &TicketsBody { tickets, valid_ms: self.config.ticket_valid_ms })
    }

    fn health(&self) -> Response {
        let ready = self.follower.borrow().state().is_some();
        if ready && self.phase.get() == Phase::Serving {
            return Response::text(200, "serving\n");
        }
        Response::text(503, "draining or without a catalogue; use another entry VM\n")
    }

    /// Runs a job under a new ticket: on this daemon, or on a peer if this daemon is not serving.
    pub async fn run_here_or_forward(self: &Rc<Self>, call: HomeCall) -> TicketedAnswer {
        let ready = self.follower.borrow().state().is_some();
        if ready && self.phase.get() == Phase::Serving {
            let (ticket, text) = self.issue_ticket();
            let answer = self.call_engine(&ticket, call).await;
            return TicketedAnswer { ticket: text, answer };
        }
        let reason = if ready { Reason::Draining } else { Reason::NotReady };
        let successors = self.membership.borrow().successors(self.now());
        let (Some(peer), HomeCall::Submit { request, wait_ms }) = (successors.first(), call) else {
            return TicketedAnswer { ticket: String::new(), answer: Answer::not_run(reason) };
        };
        let message = PeerRequest::Submit { ticket: None, request, wait_ms };
        self.count_forward();
        let reply =
            self.links.call(peer.last_heartbeat.addr, message, wait_ms + REPLY_MARGIN_MS).await;
        match reply {
            Ok(PeerReply::Answer { ticket, answer }) => TicketedAnswer { ticket, answer },
            Err(::peers::links::LinkError::NoConnection(_)) => {
                TicketedAnswer { ticket: String::new(), answer: Answer::not_run(reason) }
            }
            Ok(_) | Err(::peers::links::LinkError::ReplyLost(_)) => TicketedAnswer {
                ticket: String::new(),
                answer: Answer::unknown(Reason::HomeUnreachable),
            },
        }
    }

    /// Sends a call to the home of a ticket, which may be this daemon.
    ///
    /// If the home of a submission is gone or unreachable, tries to determine the outcome of the
    /// job without it.
    pub async fn call_home(self: &Rc<Self>, ticket: &Ticket, text: &str, call: HomeCall) -> Answer {
        let answer = match self.call_home_or_successor(ticket, text, call.clone()).await {
            Some(answer) => answer,
            None => self.forward(ticket.home, text, call.clone()).await,
        };
        let HomeCall::Submit { request, .. } = call else {
            return answer;
        };
        let lost = matches!(answer.reason, Reason::HomeGone | Reason::HomeUnreachable);
        if !lost {
            return answer;
        }
        self.determine_outcome(ticket, &request, answer).await
    }

    /// Tries to determine the outcome of a job whose home does not answer, without starting any
    /// task; returns `lost` if nothing more is known.
    ///
    /// For kinds whose every start is journalled, the ticket is voided in the log first. Workers
    /// are queried only if the home is known to be dead: a home that is merely unreachable answers
    /// later itself, with fewer messages.
    async fn determine_outcome(
        self: &Rc<Self>,
        ticket: &Ticket,
        request: &JobRequest,
        lost: Answer,
    ) -> Answer {
        let journal_answer = if self.journals_every_start_of(&request.kind) {
            self.void_ticket(ticket, &request.kind).await
        } else {
            None
        };
        if let Some(answer) = journal_answer.as_ref().filter(|a| a.verdict == Verdict::NotRun) {
            return answer.clone();
        }
        if lost.reason == Reason::HomeGone
            && let Some(answer) = self.recover_answer(ticket.job, request).await
        {
            return answer;
        }
        journal_answer.unwrap_or(lost)
    }

    /// Answers as the home, or forwards the call to the known successor of the ticket's daemon.
    ///
    /// If this daemon has removed its ticket tables, waits for the handover to become known.
    /// Returns `None` if the ticket's daemon may still be running at its address.
    pub async fn call_home_or_successor(
        self: &Rc<Self>,
        ticket: &Ticket,
        text: &str,
        call: HomeCall,
    ) -> Option<Answer> {
        let incarnation = ticket.job.incarnation;
        if self.engine.borrow().answers_for(incarnation) {
            return Some(self.call_engine(ticket, call).await);
        }
        let mut waited_ms = 0;
        loop {
            let successor = self.membership.borrow().successor_of(incarnation);
            if let Some(successor) = successor
                && successor.to != self.incarnation
            {
                return Some(self.forward(successor.to_addr, text, call).await);
            }
            let handed_over = self.phase.get() == Phase::HandedOver;
            if !handed_over || waited_ms >= HANDOVER_WAIT_MS {
                break;
            }
            waited_ms += HANDOVER_POLL_INTERVAL_MS;
            let poll_interval = std::time::Duration::from_millis(HANDOVER_POLL_INTERVAL_MS);
            actix_rt::time::sleep(poll_interval).await;
        }
        let home_gone =
            ticket.home == self.config.peers || self.membership.borrow().is_replaced(incarnation);
        home_gone.then(|| Answer::unknown(Reason::HomeGone))
    }

    /// Passes a call to the engine of this daemon, which is the ticket's home.
    pub async fn call_engine(self: &Rc<Self>, ticket: &Ticket, call: HomeCall) -> Answer {
        let (job, expiry_ms) = (ticket.job, ticket.expiry_ms);
        let wait_ms = call.wait_ms();
        let answer = match call {
            HomeCall::Submit { request, .. } => {
                let digest = request_digest(&request);
                let work = Rc::new(request);
                self.await_answer(job, wait_ms, |request| {
                    Event::Submit(Submission { request, job, expiry_ms, digest, work })
                })
                .await
            }
            HomeCall::Wait { .. } => {
                let event = |request| Event::Wait { request, job, expiry_ms };
                self.await_answer(job, wait_ms, event).await
            }
            HomeCall::Cancel => {
                let event = |request| Event::Cancel { request, job, expiry_ms };
                self.await_answer(job, wait_ms, event).await
            }
        };
        (*answer).clone()
    }

    async fn forward(
        self: &Rc<Self>,
        addr: std::net::SocketAddr,
        text: &str,
        call: HomeCall,
    ) -> Answer {
        let wait_ms = call.wait_ms() + REPLY_MARGIN_MS;
        let ticket = text.to_owned();
        let message = match call {
            HomeCall::Submit { request, wait_ms } => {
                PeerRequest::Submit { ticket: Some(ticket), request, wait_ms }
            }
            HomeCall::Wait { wait_ms } => PeerRequest::Wait { ticket, wait_ms },
            HomeCall::Cancel => PeerRequest::Cancel { ticket },
        };
        self.count_forward();
        match self.links.call(addr, message, wait_ms).await {
            Ok(PeerReply::Answer { answer, .. }) => answer,
            Ok(_) | Err(_) => Answer::without_tasks(Verdict::Unknown, Reason::HomeUnreachable),
        }
    }

    fn count_forward(&self) {
        self.forward_messages.set(self.forward_messages.get() + 2);
    }

    fn journals_every_start_of(&self, kind: &str) -> bool {
        let follower = self.follower.borrow();
        follower
            .state()
            .and_then(|state| state.kind(kind))
            .is_some_and(KindSpec::journals_every_start)
    }
}

/// Returns the digest that distinguishes a resubmission from a different request under the same
/// ticket.
fn request_digest(request: &JobRequest) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.kind.as_bytes());
    for task in &request.tasks {
        hasher.update(&(task.input.len() as u64).to_le_bytes());
        hasher.update(task.input.as_bytes());
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
