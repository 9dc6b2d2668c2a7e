//! Claims bare keys in the log service: the first claim wins, the others are forwarded.

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

use crate::callers::{HomeCall, Ticketed};
use crate::daemon::{Daemon, Phase};

const CLAIM_LIMIT_MS: u64 = 2_500;
const RETRY: Duration = Duration::from_millis(50);
const GROUP_LOOK: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct OpenClaim {
    key: KeyHash,
    ticket: String,
    done: oneshot::Sender<()>,
}

/// The state of claims: what waits for an append, and what is read.
#[derive(Debug, Default)]
pub struct Claims {
    waiting: RefCell<AppendBatcher<OpenClaim>>,
    fold: RefCell<ClaimState>,
    log_now: Cell<Option<(Millis, Millis, u64)>>,
}

impl Claims {
    /// Gives the number of keys known.
    pub fn known_keys(&self) -> usize {
        self.fold.borrow().len()
    }

    fn winner(&self, key: &KeyHash) -> Option<String> {
        self.fold.borrow().winner(key).map(str::to_owned)
    }
}

impl Daemon {
    /// Runs a job under a bare key, or forwards it to the ticket that won the key.
    pub async fn by_key(self: &Rc<Self>, key: String, key_ms: u64, call: HomeCall) -> Ticketed {
        let hash = hash_of(&key);
        if let Some(winner) = self.claims.winner(&hash) {
            return self.to_winner(winner, call).await;
        }
        if self.phase.get() != Phase::Serving || self.follower.borrow().state().is_none() {
            let answer = Answer::unknown(Reason::Draining);
            return Ticketed { ticket: String::new(), answer };
        }
        if !self.is_key_in_time(key_ms).await {
            let answer = Answer::unknown(Reason::KeyTooOld);
            return Ticketed { ticket: String::new(), answer };
        }
        let (_, ticket) = self.draw_ticket();
        let (done, claimed) = oneshot::channel();
        self.claims.waiting.borrow_mut().push(OpenClaim { key: hash, ticket, done });
        let daemon = Rc::clone(self);
        actix_rt::spawn(async move { daemon.append_claims().await });
        let _ = claimed.await;
        if let Some(winner) = self.claims.winner(&hash) {
            return self.to_winner(winner, call).await;
        }
        let answer = Answer::unknown(Reason::LogOut);
        Ticketed { ticket: String::new(), answer }
    }

    async fn to_winner(self: &Rc<Self>, winner: String, call: HomeCall) -> Ticketed {
        let answer = match self.keys.check(&winner) {
            Ok(ticket) => self.call_home(&ticket, &winner, call).await,
            Err(_) => Answer::unknown(Reason::HomeGone),
        };
        Ticketed { ticket: winner, answer }
    }

    /// Tells whether the log still holds every claim that a key of this time can have.
    async fn is_key_in_time(&self, key_ms: u64) -> bool {
        if self.claims.log_now.get().is_none() && self.read_claims().await.is_err() {
            return true;
        }
        let Some((log_at, own_at, retention_ms)) = self.claims.log_now.get() else {
            return true;
        };
        let log_now_ms = log_at.0 + self.now().since(own_at);
        is_key_within_retention(key_ms, log_now_ms, retention_ms)
    }

    async fn append_claims(self: Rc<Self>) {
        loop {
            let daemons = self.membership.borrow().live_count(self.now());
            let group = self.claims.waiting.borrow_mut().next_batch(daemons, self.now());
            match group {
                Some(group) => {
                    self.append_claim_group(group).await;
                    self.claims.waiting.borrow_mut().finish_append();
                }
                None if self.claims.waiting.borrow().is_empty() => return,
                None => actix_rt::time::sleep(GROUP_LOOK).await,
            }
        }
    }

    async fn append_claim_group(&self, group: Vec<OpenClaim>) {
        let until = self.now().plus(CLAIM_LIMIT_MS);
        let claims: Vec<(KeyHash, String)> =
            group.iter().map(|open| (open.key, open.ticket.clone())).collect();
        let record = ClaimRecord { claims };
        while self.append_claims_once(&record).await.is_err() && self.now() < until {
            actix_rt::time::sleep(RETRY).await;
        }
        for open in group {
            let _ = open.done.send(());
        }
    }

    async fn append_claims_once(&self, record: &ClaimRecord) -> Result<(), CallError> {
        self.count_platform();
        let data = render(record);
        let appended = self.log.append(CLAIMS_STREAM, vec![data]).await;
        self.read_claims().await?;
        let fold = self.claims.fold.borrow();
        let known = record.claims.iter().all(|(key, _)| fold.winner(key).is_some());
        if known { Ok(()) } else { appended.map(|_| ()) }
    }

    async fn read_claims(&self) -> Result<(), CallError> {
        loop {
            let from = self.claims.fold.borrow().next_offset();
            self.count_platform();
            let page = self.log.read(CLAIMS_STREAM, from, 0).await?;
            self.log_answered();
            let log_now = (Millis(page.now_ms), self.now(), page.retention_ms);
            self.claims.log_now.set(Some(log_now));
            let mut fold = self.claims.fold.borrow_mut();
            fold.discard_before(Millis(page.now_ms.saturating_sub(page.retention_ms)));
            if page.records.is_empty() {
                return Ok(());
            }
            for kept in &page.records {
                if let Some(record) = read(kept) {
                    fold.apply(kept.offset, Millis(kept.at_ms), record);
                }
            }
        }
    }
}

fn hash_of(key: &str) -> KeyHash {
    let mut hash = [0; 16];
    hash.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..16]);
    hash
}

/// Renders claims compactly: the log's bytes are what limits this path.
fn render(record: &ClaimRecord) -> String {
    let claims = record.claims.iter();
    let lines = claims.map(|(key, ticket)| format!("{} {ticket}", STANDARD_NO_PAD.encode(key)));
    lines.collect::<Vec<String>>().join("\n")
}

fn read(kept: &StoredRecord) -> Option<ClaimRecord> {
    let mut claims = Vec::new();
    for line in kept.data.lines() {
        let (key, ticket) = line.split_once(' ')?;
        let key = STANDARD_NO_PAD.decode(key).ok()?.try_into().ok()?;
        claims.push((key, ticket.to_owned()));
    }
    Some(ClaimRecord { claims })
}
