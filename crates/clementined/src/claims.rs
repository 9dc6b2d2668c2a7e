//! Claims idempotency keys that came without a ticket in the log service. The first claim of a key
//! maps it to a ticket; later requests with the key are forwarded to the home of that ticket.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use dispatch::answer::{Answer, Reason};
use dispatch::clock::Millis;
use dispatch::journal::{
    AppendBatcher, CLAIMS_STREAM, ClaimRecord, ClaimState, KeyHash, is_key_within_retention,
};
use httpedge::client::CallError;
use platform::wire::StoredRecord;
use tokio::sync::oneshot;

use crate::callers::{HomeCall, TicketedAnswer};
use crate::daemon::{Daemon, Phase};

/// How long a request waits for its claim before the log service is treated as unavailable.
const CLAIM_TIMEOUT_MS: u64 = 2_500;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const BATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct PendingClaim {
    key: KeyHash,
    ticket: String,
    done: oneshot::Sender<()>,
}

/// Claims that wait for an append, and the state read from the claims stream.
#[derive(Debug, Default)]
pub struct Claims {
    batcher: RefCell<AppendBatcher<PendingClaim>>,
    state: RefCell<ClaimState>,
    /// Time on the log service's clock, local time at which it was read, and the log's retention
    /// in milliseconds.
    log_clock: Cell<Option<(Millis, Millis, u64)>>,
}

impl Claims {
    /// Returns the number of keys with a known claim.
    pub fn known_keys(&self) -> usize {
        self.state.borrow().len()
    }

    fn winner(&self, key: &KeyHash) -> Option<String> {
        self.state.borrow().winner(key).map(str::to_owned)
    }
}

impl Daemon {
    /// Runs a job under a key that is not a ticket: claims the key, then calls the home of the
    /// ticket that won it.
    pub async fn call_by_key(
        self: &Rc<Self>,
        key: String,
        key_ms: u64,
        call: HomeCall,
    ) -> TicketedAnswer {
        let hash = key_hash(&key);
        if let Some(winner) = self.claims.winner(&hash) {
            return self.call_winner(winner, call).await;
        }
        if self.phase.get() != Phase::Serving || self.follower.borrow().state().is_none() {
            let answer = Answer::unknown(Reason::Draining);
            return TicketedAnswer { ticket: String::new(), answer };
        }
        if !self.is_key_recent_enough(key_ms).await {
            let answer = Answer::unknown(Reason::KeyTooOld);
            return TicketedAnswer { ticket: String::new(), answer };
        }
        let (_, ticket) = self.issue_ticket();
        let (done, claimed) = oneshot::channel();
        self.claims.batcher.borrow_mut().push(PendingClaim { key: hash, ticket, done });
        let daemon = Rc::clone(self);
        actix_rt::spawn(async move { daemon.append_claims().await });
        let _ = claimed.await;
        if let Some(winner) = self.claims.winner(&hash) {
            return self.call_winner(winner, call).await;
        }
        let answer = Answer::unknown(Reason::LogOut);
        TicketedAnswer { ticket: String::new(), answer }
    }

    async fn call_winner(self: &Rc<Self>, winner: String, call: HomeCall) -> TicketedAnswer {
        let answer = match self.keys.check(&winner) {
            Ok(ticket) => self.call_home(&ticket, &winner, call).await,
            Err(_) => Answer::unknown(Reason::HomeGone),
        };
        TicketedAnswer { ticket: winner, answer }
    }

    /// Returns whether the log still holds every claim that a key with this time can have; true if
    /// the log service's clock is not known and cannot be read.
    async fn is_key_recent_enough(&self, key_ms: u64) -> bool {
        if self.claims.log_clock.get().is_none() && self.read_claims().await.is_err() {
            return true;
        }
        let Some((log_at, read_at, retention_ms)) = self.claims.log_clock.get() else {
            return true;
        };
        let log_now_ms = log_at.0 + self.now().since(read_at);
        is_key_within_retention(key_ms, log_now_ms, retention_ms)
    }

    async fn append_claims(self: Rc<Self>) {
        loop {
            let daemons = self.membership.borrow().live_count(self.now());
            let batch = self.claims.batcher.borrow_mut().next_batch(daemons, self.now());
            match batch {
                Some(batch) => {
                    self.append_claim_batch(batch).await;
                    self.claims.batcher.borrow_mut().finish_append();
                }
                None if self.claims.batcher.borrow().is_empty() => return,
                None => actix_rt::time::sleep(BATCH_POLL_INTERVAL).await,
            }
        }
    }

    async fn append_claim_batch(&self, batch: Vec<PendingClaim>) {
        let until = self.now().plus(CLAIM_TIMEOUT_MS);
        let claims: Vec<(KeyHash, String)> =
            batch.iter().map(|pending| (pending.key, pending.ticket.clone())).collect();
        let record = ClaimRecord { claims };
        while self.append_claims_once(&record).await.is_err() && self.now() < until {
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
        for pending in batch {
            let _ = pending.done.send(());
        }
    }

    async fn append_claims_once(&self, record: &ClaimRecord) -> Result<(), CallError> {
        self.count_log_call();
        let data = encode(record);
        let appended = self.log.append(CLAIMS_STREAM, vec![data]).await;
        self.read_claims().await?;
        let state = self.claims.state.borrow();
        let known = record.claims.iter().all(|(key, _)| state.winner(key).is_some());
        if known { Ok(()) } else { appended.map(|_| ()) }
    }

    async fn read_claims(&self) -> Result<(), CallError> {
        loop {
            let from = self.claims.state.borrow().next_offset();
            self.count_log_call();
            let page = self.log.read(CLAIMS_STREAM, from, 0).await?;
            self.record_log_answer();
            let log_clock = (Millis(page.now_ms), self.now(), page.retention_ms);
            self.claims.log_clock.set(Some(log_clock));
            let mut state = self.claims.state.borrow_mut();
            state.discard_before(Millis(page.now_ms.saturating_sub(page.retention_ms)));
            if page.records.is_empty() {
                return Ok(());
            }
            for kept in &page.records {
                if let Some(record) = decode(kept) {
                    state.apply(kept.offset, Millis(kept.at_ms), record);
                }
            }
        }
    }
}

fn key_hash(key: &str) -> KeyHash {
    let mut hash = [0; 16];
    hash.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..16]);
    hash
}

/// Encodes claims compactly, as the log's byte rate limits the throughput of this path.
fn encode(record: &ClaimRecord) -> String {
    let claims = record.claims.iter();
    let lines = claims.map(|(key, ticket)| format!("{} {ticket}", STANDARD_NO_PAD.encode(key)));
    lines.collect::<Vec<String>>().join("\n")
}

fn decode(kept: &StoredRecord) -> Option<ClaimRecord> {
    let mut claims = Vec::new();
    for line in kept.data.lines() {
        let (key, ticket) = line.split_once(' ')?;
        let key = STANDARD_NO_PAD.decode(key).ok()?.try_into().ok()?;
        claims.push((key, ticket.to_owned()));
    }
    Some(ClaimRecord { claims })
}
