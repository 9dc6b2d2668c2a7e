//! Evacuated zones: keeps new work off the workers of a zone that operators are about to take away.
//!
//! Operators announce the loss of a whole zone seconds before it happens. Without this module, the
//! owners of the zone's cells start tasks until the workers are gone, and all of these tasks are lost
//! to their callers. A daemon may restart, lose its link to the store or acquire a cell of the zone at
//! any time, so [`Evacuations`] folds the operators' records by offset, and each pool is notified whether
//! its zone is evacuated. See `docs/design/evacuation.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use dispatch::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::job::{Job, Outcome, Reason};
use crate::pool::Pool;

/// How long a job that has started may start its remaining tasks after the evacuation of the zone is
/// known, in milliseconds. Most jobs finish placing their tasks in that time, and it is far below the
/// bound of 5,000 ms within which the last task has to start.
pub const PARTIAL_START_MS: u64 = 500;
/// How long a daemon that was paused starts nothing unless it reads the operators' records before, in
/// milliseconds. A read takes two round trips to the store, and a retry of it 150 ms.
pub const STALL_HOLD_MS: u64 = 500;
/// Delay after which a caller may retry when every zone is evacuated, in milliseconds. The withdrawal of
/// an evacuation is known to every daemon within about this time.
pub const RETRY_AFTER_MS: u64 = 5_000;

/// State of a zone as of an offset in the operators' topic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Zone that the record is about.
    pub zone: Rc<str>,
    /// Offset of the record, or the last offset that a listing without the key covers.
    pub offset: u64,
    /// Whether the zone is evacuated from this offset on.
    pub is_evacuated: bool,
}

/// A complete listing of the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Offset that the next record appended to the topic had when the listing began.
    pub end_offset: u64,
    /// Zones whose record was read.
    pub records: Vec<ZoneRecord>,
    /// Zones whose record is invalid, which changes nothing for them.
    pub invalid: BTreeSet<Rc<str>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneState {
    /// Offset of the newest record about the zone; `None` before the first.
    offset: Option<u64>,
    is_evacuated: bool,
    /// Until when partially started jobs may start further tasks in the evacuated zone.
    starts_until: Millis,
}

/// Evacuations of the zones in the settings, folded from the operators' records by offset.
#[derive(Clone, Debug)]
pub struct Evacuations {
    zones: BTreeMap<Rc<str>, ZoneState>,
}

impl Evacuations {
    /// Creates the fold for the given zones, of which none is evacuated. Records about other zones
    /// are ignored.
    pub fn new(zones: impl IntoIterator<Item = impl Into<Rc<str>>>) -> Self {
        let zones = zones.into_iter().map(|zone| (zone.into(), ZoneState::default()));
        Self { zones: zones.collect() }
    }

    /// Whether `zone` is one of the zones in the settings.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Applies a record unless a newer one about the zone is known. Returns whether the zone became
    /// evacuated, or ceased to be.
    pub fn apply(&mut self, zone: &str, offset: u64, is_evacuated: bool) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return false };
        if state.offset.is_some_and(|known| offset <= known) {
            return false;
        }
        state.offset = Some(offset);
        std::mem::replace(&mut state.is_evacuated, is_evacuated) != is_evacuated
    }

    /// Applies a complete listing, which ends the evacuation of the zones that it lacks, except for
    /// those about which a record at its end offset or later is known. Returns the records of the
    /// zones that became evacuated or ceased to be.
    pub fn apply_listing(&mut self, listing: &Listing) -> Vec<ZoneRecord> {
        let mut changed = listing.records.clone();
        changed.retain(|record| self.apply(&record.zone, record.offset, record.is_evacuated));
        let Some(last_offset) = listing.end_offset.checked_sub(1) else { return changed };
        let is_listed = |zone: &Rc<str>| listing.records.iter().any(|record| record.zone == *zone);
        for (zone, state) in &mut self.zones {
            let is_newer = state.offset.is_some_and(|known| known > last_offset);
            if is_newer || is_listed(zone) || listing.invalid.contains(zone) {
                continue;
            }
            state.offset = Some(last_offset);
            if std::mem::take(&mut state.is_evacuated) {
                let zone = Rc::clone(zone);
                changed.push(ZoneRecord { zone, offset: last_offset, is_evacuated: false });
            }
        }
        changed
    }

    /// Sets until when partially started jobs may start further tasks in an evacuated zone.
    pub fn limit_starts(&mut self, zone: &str, until: Millis) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.starts_until = until;
        }
    }

    /// Returns until when partially started jobs may start further tasks in a zone, or `None` if the
    /// zone is not evacuated.
    pub fn starts_until(&self, zone: &str) -> Option<Millis> {
        let state = self.zones.get(zone).filter(|state| state.is_evacuated)?;
        Some(state.starts_until)
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_evacuated)
    }

    /// Iterates over what is known of the zones, with the offsets, for other daemons.
    pub fn iter(&self) -> impl Iterator<Item = ZoneRecord> {
        self.zones.iter().filter_map(|(zone, state)| {
            let (zone, is_evacuated) = (Rc::clone(zone), state.is_evacuated);
            Some(ZoneRecord { zone, offset: state.offset?, is_evacuated })
        })
    }
}

/// Restrictions on the starts of a cell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartLimits {
    /// Until when partially started jobs may start further tasks; `None` if the zone is not
    /// evacuated.
    evacuated_until: Option<Millis>,
    /// Until when nothing starts, because the daemon was paused.
    held_until: Option<Millis>,
}

impl StartLimits {
    /// Whether a task may start at `now`.
    pub(crate) fn allow_start(&self, now: Millis) -> bool {
        self.evacuated_until.is_none_or(|until| now < until)
            && self.held_until.is_none_or(|until| now >= until)
    }
}

impl Pool {
    /// Records whether the zone of the cell is evacuated. Waiting jobs of an evacuated zone are
    /// returned as not run, and partially started ones may start further tasks for
    /// [`PARTIAL_START_MS`].
    pub fn set_evacuated(&mut self, now: Millis, is_evacuated: bool) {
        if is_evacuated {
            self.evacuate(now, now.plus(PARTIAL_START_MS));
        } else if self.start_limits.evacuated_until.take().is_some() {
            self.begin_ramp(now);
            self.advance(now);
        }
    }

    /// Like [`Self::set_evacuated`], but partially started jobs may start further tasks only until
    /// `starts_until`.
    pub fn evacuate(&mut self, now: Millis, starts_until: Millis) {
        if self.is_fenced() {
            return;
        }
        let until =
            self.start_limits.evacuated_until.map_or(starts_until, |at| at.min(starts_until));
        self.start_limits.evacuated_until = Some(until);
        for number in self.job_numbers(|job| !job.started) {
            self.answer(number, evacuated());
            self.remove_job(number);
        }
        self.advance(now);
    }

    /// Whether the zone of the cell is evacuated.
    pub const fn is_evacuated(&self) -> bool {
        self.start_limits.evacuated_until.is_some()
    }

    /// Starts nothing until `until`, or until [`Self::release_starts`] is called.
    pub fn hold_starts(&mut self, until: Millis) {
        self.start_limits.held_until = Some(until);
    }

    /// Allows starts again after [`Self::hold_starts`].
    pub fn release_starts(&mut self, now: Millis) {
        if self.start_limits.held_until.take().is_some() {
            self.advance(now);
        }
    }

    /// Returns the number of jobs of which some tasks have been sent to workers and others have not.
    pub fn partial_jobs(&self) -> usize {
        self.jobs.values().filter(|job| is_partial(job)).count()
    }

    /// Returns when starts become possible again after a pause of the daemon, or when partially
    /// started jobs are aborted.
    pub(crate) fn next_start_change(&self, now: Millis) -> Option<Millis> {
        let StartLimits { evacuated_until, held_until } = self.start_limits;
        let held_until = held_until.filter(|until| now < *until);
        let aborted_at = evacuated_until.filter(|_| self.partial_jobs() > 0);
        held_until.into_iter().chain(aborted_at).min()
    }

    /// Refuses a job that has not started, if the zone is evacuated.
    pub(crate) fn evacuation_refusal(&self) -> Option<Outcome> {
        self.is_evacuated().then(evacuated)
    }

    /// Aborts the jobs that still need a start in the evacuated zone after the time allowed for it.
    pub(crate) fn abort_evacuated_jobs(&mut self, now: Millis) {
        if self.start_limits.evacuated_until.is_none_or(|until| now < until) {
            return;
        }
        for number in self.job_numbers(is_partial) {
            self.answer(number, Outcome::Aborted(Reason::Evacuated));
            self.drop_job(now, number);
        }
    }

    fn job_numbers(&self, is_chosen: impl Fn(&Job) -> bool) -> Vec<u64> {
        let chosen = self.jobs.iter().filter(|(_, job)| is_chosen(job));
        let mut numbers: Vec<u64> = chosen.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}

const fn evacuated() -> Outcome {
    Outcome::NotRun { reason: Reason::Evacuated, retry_after_ms: RETRY_AFTER_MS }
}

/// Whether tasks of a started job still have to start.
fn is_partial(job: &Job) -> bool {
    job.started && job.has_pending()
}
