//! Serves callers: every submission finds its home, here or at another daemon.

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

/// What a link needs beyond the wait that its question names.
const LINK_MARGIN_MS: u64 = 3_000;
/// How long a request waits for a handover under way.
const HANDOVER_WAIT_MS: u64 = 3_000;
const HANDOVER_LOOK_MS: u64 = 20;

/// An answer with the ticket that it belongs to.
#[derive(Clone, Debug)]
pub struct Ticketed {
    /// The ticket, empty where none can be told.
    pub ticket: String,
    /// The answer.
    pub answer: Answer,
}

/// What is asked of a ticket's home.
#[derive(Clone, Debug)]
pub enum HomeCall {
    /// Run a job.
    Submit {
        /// The job.
        request: JobRequest,
        /// How long to wait.
        wait_ms: u64,
    },
    /// Wait for the answer.
    Wait {
        /// How long.
        wait_ms: u64,
    },
    /// Cancel what runs.
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
    /// Answers one HTTP request of a caller.
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
                self.by_ticket(&ticket, HomeCall::Wait { wait_ms }, 0).await
            }
            Call::Cancel { ticket } => self.by_ticket(&ticket, HomeCall::Cancel, 0).await,
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
            Identity::Ticket(ticket) => return self.by_ticket(&ticket, call, next_tickets).await,
            Identity::Key { key, key_ms } => self.by_key(key, key_ms, call).await,
            Identity::Unspecified => self.run_here_or_near(call).await,
        };
        render(&ticketed.ticket, &ticketed.answer, self.draw_tickets(next_tickets))
    }

    async fn by_ticket(self: Rc<Self>, text: &str, call: HomeCall, next: usize) -> Response {
        let ticket = match self.keys.check(text) {
            Ok(ticket) => ticket,
            Err(error) => {
                return Response::json(400, &ErrorBody { error: error.to_string() });
            }
        };
        let answer = self.call_home(&ticket, text, call).await;
        render(text, &answer, self.draw_tickets(next))
    }

    fn tickets(&self, count: usize) -> Response {
        let tickets = self.draw_tickets(count);
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

    /// Runs a job under a new ticket: here, or at a peer where this daemon does not serve.
    pub async fn run_here_or_near(self: &Rc<Self>, call: HomeCall) -> Ticketed {
        let ready = self.follower.borrow().state().is_some();
        if ready && self.phase.get() == Phase::Serving {
            let (ticket, text) = self.draw_ticket();
            let answer = self.call_engine(&ticket, call).await;
            return Ticketed { ticket: text, answer };
        }
        let reason = if ready { Reason::Draining } else { Reason::NotReady };
        let successors = self.membership.borrow().successors(self.now());
        let (Some(peer), HomeCall::Submit { request, wait_ms }) = (successors.first(), call) else {
            return Ticketed { ticket: String::new(), answer: Answer::not_run(reason) };
        };
        let ask = PeerRequest::Submit { ticket: None, request, wait_ms };
        self.count_forward();
        let told = self.links.call(peer.last_heartbeat.addr, ask, wait_ms + LINK_MARGIN_MS).await;
        match told {
            Ok(PeerReply::Answer { ticket, answer }) => Ticketed { ticket, answer },
            Err(::peers::links::LinkError::NoConnection(_)) => {
                Ticketed { ticket: String::new(), answer: Answer::not_run(reason) }
            }
            Ok(_) | Err(::peers::links::LinkError::ReplyLost(_)) => {
                Ticketed { ticket: String::new(), answer: Answer::unknown(Reason::HomeUnreachable) }
            }
        }
    }

    /// Puts a call to the home of a ticket, wherever that is.
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
        self.prove(ticket, &request, answer).await
    }

    /// Tries to prove what became of a job whose home does not answer, without starting anything.
    ///
    /// Workers are asked only where the home is known to be dead: a home that is merely out of
    /// reach will answer itself, at fewer messages.
    async fn prove(self: &Rc<Self>, ticket: &Ticket, request: &JobRequest, lost: Answer) -> Answer {
        let journalled = if self.is_proof_kind(&request.kind) {
            self.void(ticket, &request.kind).await
        } else {
            None
        };
        if let Some(answer) = journalled.as_ref().filter(|a| a.verdict == Verdict::NotRun) {
            return answer.clone();
        }
        if lost.reason == Reason::HomeGone
            && let Some(answer) = self.recover(ticket.job, request).await
        {
            return answer;
        }
        journalled.unwrap_or(lost)
    }

    /// Answers as the home, or asks the known successor; none where neither is known.
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
            let leaving = self.phase.get() == Phase::HandedOver;
            if !leaving || waited_ms >= HANDOVER_WAIT_MS {
                break;
            }
            waited_ms += HANDOVER_LOOK_MS;
            let look = std::time::Duration::from_millis(HANDOVER_LOOK_MS);
            actix_rt::time::sleep(look).await;
        }
        let gone =
            ticket.home == self.config.peers || self.membership.borrow().is_replaced(incarnation);
        gone.then(|| Answer::unknown(Reason::HomeGone))
    }

    /// Puts a call to the engine of this daemon, which is the ticket's home.
    pub async fn call_engine(self: &Rc<Self>, ticket: &Ticket, call: HomeCall) -> Answer {
        let (job, expiry_ms) = (ticket.job, ticket.expiry_ms);
        let wait_ms = call.wait_ms();
        let answer = match call {
            HomeCall::Submit { request, .. } => {
                let digest = digest_of(&request);
                let work = Rc::new(request);
                self.ask_engine(job, wait_ms, |request| {
                    Event::Submit(Submission { request, job, expiry_ms, digest, work })
                })
                .await
            }
            HomeCall::Wait { .. } => {
                let event = |request| Event::Wait { request, job, expiry_ms };
                self.ask_engine(job, wait_ms, event).await
            }
            HomeCall::Cancel => {
                let event = |request| Event::Cancel { request, job, expiry_ms };
                self.ask_engine(job, wait_ms, event).await
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
        let wait_ms = call.wait_ms() + LINK_MARGIN_MS;
        let ticket = text.to_owned();
        let ask = match call {
            HomeCall::Submit { request, wait_ms } => {
                PeerRequest::Submit { ticket: Some(ticket), request, wait_ms }
            }
            HomeCall::Wait { wait_ms } => PeerRequest::Wait { ticket, wait_ms },
            HomeCall::Cancel => PeerRequest::Cancel { ticket },
        };
        self.count_forward();
        match self.links.call(addr, ask, wait_ms).await {
            Ok(PeerReply::Answer { answer, .. }) => answer,
            Ok(_) | Err(_) => Answer::without_tasks(Verdict::Unknown, Reason::HomeUnreachable),
        }
    }

    fn count_forward(&self) {
        self.forward_messages.set(self.forward_messages.get() + 2);
    }

    fn is_proof_kind(&self, kind: &str) -> bool {
        let follower = self.follower.borrow();
        follower
            .state()
            .and_then(|fold| fold.kind(kind))
            .is_some_and(KindSpec::journals_every_start)
    }
}

/// Gives the digest by which a resubmission is told from another request.
fn digest_of(request: &JobRequest) -> u64 {
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
