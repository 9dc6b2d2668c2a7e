//! Journals starts in the log service, and voids tickets of homes that are gone.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dispatch::answer::{Answer, Reason};
use dispatch::engine::{Event, JournalResult};
use dispatch::journal::{Grouping, JournalFold, JournalMark, JournalRecord, journal_stream};
use dispatch::ticket::{Incarnation, JobId, Ticket};
use httpedge::client::CallError;
use platform::wire::Page;

use crate::daemon::Daemon;

/// How long a start waits for its journal before the log service counts as out.
const JOURNAL_LIMIT_MS: u64 = 2_500;
/// How much later than the log itself a daemon may act on a change of the catalogue.
const PROOF_MARGIN_MS: u64 = 60_000;
const RETRY: Duration = Duration::from_millis(50);
const GROUP_LOOK: Duration = Duration::from_millis(2);

/// The journal's state: what waits for an append, and what is read.
#[derive(Debug, Default)]
pub struct Journal {
    waiting: RefCell<Grouping<JobId>>,
    folds: RefCell<std::collections::HashMap<Incarnation, JournalFold>>,
}

impl Journal {
    fn mark(&self, job: JobId) -> Option<JournalMark> {
        self.folds.borrow().get(&job.incarnation).and_then(|fold| fold.mark(job.seq))
    }

    fn forget_starts(&self, incarnation: Incarnation) {
        if let Some(fold) = self.folds.borrow_mut().get_mut(&incarnation) {
            fold.forget_starts();
        }
    }

    fn next_offset(&self, incarnation: Incarnation) -> u64 {
        self.folds.borrow().get(&incarnation).map_or(0, JournalFold::next_offset)
    }

    fn apply(&self, incarnation: Incarnation, offset: u64, record: &JournalRecord) {
        self.folds.borrow_mut().entry(incarnation).or_default().apply(offset, record);
    }
}

impl Daemon {
    /// Puts a job's start into the next append.
    pub fn journal_start(self: &Rc<Self>, job: JobId) {
        self.journal.waiting.borrow_mut().push(job);
        let daemon = Rc::clone(self);
        actix_rt::spawn(async move { daemon.append_starts().await });
    }

    /// Makes a ticket of a lost home void, where the journal proves that it never started.
    pub async fn void(&self, ticket: &Ticket, kind: &str) -> Option<Answer> {
        let job = ticket.job;
        let record = serde_json::to_string(&JournalRecord::Void(job.seq)).unwrap_or_default();
        let stream = journal_stream(job.incarnation);
        self.count_platform();
        if let Err(error) = self.log.append(&stream, vec![record]).await {
            log::warn!("journal: Void of {job} failed: {error}.");
            return None;
        }
        let mut fold = JournalFold::default();
        let mut first_kept = None;
        loop {
            self.count_platform();
            let page = self.log.read(&stream, fold.next_offset(), 0).await.ok()?;
            let kept = *first_kept.get_or_insert(page.first_kept);
            let end = page.records.is_empty();
            apply_page(&mut fold, &page);
            if end {
                let whole = fold.is_whole_since(ticket.issued_ms, kept)
                    && self.was_journalled(kind, page.now_ms);
                return Some(match fold.mark(job.seq) {
                    Some(JournalMark::Voided) if whole => Answer::not_run(Reason::Voided),
                    Some(JournalMark::Started) => Answer::unknown(Reason::MayHaveStarted),
                    Some(JournalMark::Voided) | None => Answer::unknown(Reason::HomeGone),
                });
            }
        }
    }

    /// Tells whether every ticket that is still valid was issued when this kind was journalled.
    fn was_journalled(&self, kind: &str, log_now_ms: u64) -> bool {
        let follower = self.follower.borrow();
        let entry = follower.fold().and_then(|fold| fold.get(kind));
        entry.is_some_and(|entry| {
            entry.loose_until_ms.is_none_or(|until| {
                log_now_ms > until.0 + self.config.ticket_valid_ms + PROOF_MARGIN_MS
            })
        })
    }

    async fn append_starts(self: Rc<Self>) {
        loop {
            let daemons = self.membership.borrow().count(self.now());
            let jobs = self.journal.waiting.borrow_mut().next(daemons, self.now());
            match jobs {
                Some(jobs) => {
                    self.append_group(&jobs).await;
                    self.journal.waiting.borrow_mut().done();
                }
                None if self.journal.waiting.borrow().is_empty() => return,
                None => actix_rt::time::sleep(GROUP_LOOK).await,
            }
        }
    }

    async fn append_group(self: &Rc<Self>, jobs: &[JobId]) {
        let until = self.now().plus(JOURNAL_LIMIT_MS);
        let mut incarnations: Vec<Incarnation> = jobs.iter().map(|job| job.incarnation).collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        for incarnation in incarnations {
            let of_one: Vec<JobId> =
                jobs.iter().filter(|job| job.incarnation == incarnation).copied().collect();
            while self.append_once(incarnation, &of_one).await.is_err() && self.now() < until {
                actix_rt::time::sleep(RETRY).await;
            }
            for job in of_one {
                let result = match self.journal.mark(job) {
                    Some(JournalMark::Started) => JournalResult::Started,
                    Some(JournalMark::Voided) => JournalResult::Voided,
                    None => JournalResult::Outage,
                };
                self.drive(Event::Journalled { job, result });
            }
            self.journal.forget_starts(incarnation);
        }
    }

    async fn append_once(&self, incarnation: Incarnation, jobs: &[JobId]) -> Result<(), CallError> {
        let seqs = jobs.iter().map(|job| job.seq).collect();
        let record = JournalRecord::Start { seqs, home_ms: self.now() };
        let text = serde_json::to_string(&record).unwrap_or_default();
        let stream = journal_stream(incarnation);
        self.count_platform();
        let appended = self.log.append(&stream, vec![text]).await;
        if let Ok(appended) = &appended
            && appended.first == self.journal.next_offset(incarnation)
        {
            self.log_answered();
            self.journal.apply(incarnation, appended.first, &record);
            return Ok(());
        }
        self.read_journal(incarnation).await?;
        let known = jobs.iter().all(|job| self.journal.mark(*job).is_some());
        if known { Ok(()) } else { appended.map(|_| ()) }
    }

    async fn read_journal(&self, incarnation: Incarnation) -> Result<(), CallError> {
        let stream = journal_stream(incarnation);
        loop {
            let from = self.journal.next_offset(incarnation);
            self.count_platform();
            let page = self.log.read(&stream, from, 0).await?;
            self.log_answered();
            if page.records.is_empty() {
                return Ok(());
            }
            let mut folds = self.journal.folds.borrow_mut();
            apply_page(folds.entry(incarnation).or_default(), &page);
        }
    }

    /// Counts a call to the log service for a submission, and its reply.
    pub fn count_platform(&self) {
        self.submission_log_messages.set(self.submission_log_messages.get() + 2);
        self.platform_messages.set(self.platform_messages.get() + 2);
    }
}

fn apply_page(fold: &mut JournalFold, page: &Page) {
    for kept in &page.records {
        match serde_json::from_str(&kept.data) {
            Ok(record) => fold.apply(kept.offset, &record),
            Err(error) => log::error!("journal: Bad record at {}: {error}.", kept.offset),
        }
    }
}
