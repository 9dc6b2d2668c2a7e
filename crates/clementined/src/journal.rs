//! Journals job starts in the log service, and voids tickets whose home daemon is gone.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dispatch::answer::{Answer, Reason};
use dispatch::engine::{Event, JournalResult};
use dispatch::journal::{AppendBatcher, FirstRecord, JournalRecord, JournalState, journal_stream};
use dispatch::ticket::{Incarnation, JobId, Ticket};
use httpedge::client::CallError;
use platform::wire::Page;

use crate::daemon::Daemon;

/// How long a start waits for its journal record before the log service is treated as unavailable.
const JOURNAL_TIMEOUT_MS: u64 = 2_500;
/// Maximum assumed delay between the append of a catalogue edit and the time when every daemon has
/// applied it.
const CATALOGUE_DELAY_MARGIN_MS: u64 = 60_000;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const BATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Starts that wait for an append, and the state read from the journals by incarnation.
#[derive(Debug, Default)]
pub struct Journal {
    batcher: RefCell<AppendBatcher<JobId>>,
    states: RefCell<std::collections::HashMap<Incarnation, JournalState>>,
}

impl Journal {
    fn first_record(&self, job: JobId) -> Option<FirstRecord> {
        self.states.borrow().get(&job.incarnation).and_then(|state| state.first_record(job.seq))
    }

    fn discard_starts(&self, incarnation: Incarnation) {
        if let Some(state) = self.states.borrow_mut().get_mut(&incarnation) {
            state.discard_starts();
        }
    }

    fn next_offset(&self, incarnation: Incarnation) -> u64 {
        self.states.borrow().get(&incarnation).map_or(0, JournalState::next_offset)
    }

    fn apply(&self, incarnation: Incarnation, offset: u64, record: &JournalRecord) {
        self.states.borrow_mut().entry(incarnation).or_default().apply(offset, record);
    }
}

impl Daemon {
    /// Queues the start of a job for the next append to the journal.
    pub fn journal_start(self: &Rc<Self>, job: JobId) {
        self.journal.batcher.borrow_mut().push(job);
        let daemon = Rc::clone(self);
        actix_rt::spawn(async move { daemon.append_starts().await });
    }

    /// Voids a ticket of a lost home in the log, so that it cannot start any more, and returns the
    /// answer that follows from its journal.
    ///
    /// The answer is that the job did not run only if the void comes before any start record and
    /// the log still holds every record that the ticket can have. Returns `None` if the log service
    /// cannot be reached.
    pub async fn void_ticket(&self, ticket: &Ticket, kind: &str) -> Option<Answer> {
        let job = ticket.job;
        let record = serde_json::to_string(&JournalRecord::Void(job.seq)).unwrap_or_default();
        let stream = journal_stream(job.incarnation);
        self.count_log_call();
        if let Err(error) = self.log.append(&stream, vec![record]).await {
            log::warn!("journal: Voiding the ticket of job {job} failed: {error}.");
            return None;
        }
        let mut state = JournalState::default();
        let mut first_kept = None;
        loop {
            self.count_log_call();
            let page = self.log.read(&stream, state.next_offset(), 0).await.ok()?;
            let kept = *first_kept.get_or_insert(page.first_kept);
            let end = page.records.is_empty();
            apply_page(&mut state, &page);
            if end {
                let complete = state.is_complete_since(ticket.issued_ms, kept)
                    && self.was_journalled(kind, page.now_ms);
                return Some(match state.first_record(job.seq) {
                    Some(FirstRecord::Voided) if complete => Answer::not_run(Reason::Voided),
                    Some(FirstRecord::Started) => Answer::unknown(Reason::MayHaveStarted),
                    Some(FirstRecord::Voided) | None => Answer::unknown(Reason::HomeGone),
                });
            }
        }
    }

    /// Returns whether the kind's starts were journalled ever since the oldest valid ticket was
    /// issued.
    fn was_journalled(&self, kind: &str, log_now_ms: u64) -> bool {
        let follower = self.follower.borrow();
        let entry = follower.state().and_then(|state| state.get(kind));
        entry.is_some_and(|entry| {
            entry.unjournalled_until_ms.is_none_or(|until| {
                log_now_ms > until.0 + self.config.ticket_valid_ms + CATALOGUE_DELAY_MARGIN_MS
            })
        })
    }

    async fn append_starts(self: Rc<Self>) {
        loop {
            let daemons = self.membership.borrow().live_count(self.now());
            let jobs = self.journal.batcher.borrow_mut().next_batch(daemons, self.now());
            match jobs {
                Some(jobs) => {
                    self.append_batch(&jobs).await;
                    self.journal.batcher.borrow_mut().finish_append();
                }
                None if self.journal.batcher.borrow().is_empty() => return,
                None => actix_rt::time::sleep(BATCH_POLL_INTERVAL).await,
            }
        }
    }

    async fn append_batch(self: &Rc<Self>, jobs: &[JobId]) {
        let until = self.now().plus(JOURNAL_TIMEOUT_MS);
        let mut incarnations: Vec<Incarnation> = jobs.iter().map(|job| job.incarnation).collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        for incarnation in incarnations {
            let incarnation_jobs: Vec<JobId> =
                jobs.iter().filter(|job| job.incarnation == incarnation).copied().collect();
            while self.append_once(incarnation, &incarnation_jobs).await.is_err()
                && self.now() < until
            {
                actix_rt::time::sleep(RETRY_INTERVAL).await;
            }
            for job in incarnation_jobs {
                let result = match self.journal.first_record(job) {
                    Some(FirstRecord::Started) => JournalResult::Started,
                    Some(FirstRecord::Voided) => JournalResult::Voided,
                    None => JournalResult::Outage,
                };
                self.process_event(Event::Journalled { job, result });
            }
            self.journal.discard_starts(incarnation);
        }
    }

    async fn append_once(&self, incarnation: Incarnation, jobs: &[JobId]) -> Result<(), CallError> {
        let seqs = jobs.iter().map(|job| job.seq).collect();
        let record = JournalRecord::Start { seqs, home_ms: self.now() };
        let text = serde_json::to_string(&record).unwrap_or_default();
        let stream = journal_stream(incarnation);
        self.count_log_call();
        let appended = self.log.append(&stream, vec![text]).await;
        if let Ok(appended) = &appended
            && appended.first == self.journal.next_offset(incarnation)
        {
            self.record_log_answer();
            self.journal.apply(incarnation, appended.first, &record);
            return Ok(());
        }
        self.read_journal(incarnation).await?;
        let known = jobs.iter().all(|job| self.journal.first_record(*job).is_some());
        if known { Ok(()) } else { appended.map(|_| ()) }
    }

    async fn read_journal(&self, incarnation: Incarnation) -> Result<(), CallError> {
        let stream = journal_stream(incarnation);
        loop {
            let from = self.journal.next_offset(incarnation);
            self.count_log_call();
            let page = self.log.read(&stream, from, 0).await?;
            self.record_log_answer();
            if page.records.is_empty() {
                return Ok(());
            }
            let mut states = self.journal.states.borrow_mut();
            apply_page(states.entry(incarnation).or_default(), &page);
        }
    }

    /// Counts a call to the log service for a submission as two messages, the call and its reply.
    pub fn count_log_call(&self) {
        self.submission_log_messages.set(self.submission_log_messages.get() + 2);
        self.platform_messages.set(self.platform_messages.get() + 2);
    }
}

fn apply_page(state: &mut JournalState, page: &Page) {
    for kept in &page.records {
        match serde_json::from_str(&kept.data) {
            Ok(record) => state.apply(kept.offset, &record),
            Err(error) => log::error!(
                "journal: Skipping undecodable record at offset {}: {error}.",
                kept.offset
            ),
        }
    }
}
