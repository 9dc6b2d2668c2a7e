//! The catalogue of job kinds and teams, replicated through one stream of the log service.
//!
//! Every daemon computes the catalogue by applying the stream's records in order. Edits use
//! optimistic concurrency: an edit is applied if and only if its base revisions are still current
//! at its offset, so all daemons agree on which of two concurrent edits succeeded.
//! See `docs/design/catalogue.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::queue::Class;

/// The name of the log service's stream that holds the catalogue's records.
pub const CATALOGUE_STREAM: &str = "catalogue";

const MAX_KEPT_OUTCOMES: usize = 2_048;
const MAX_KEPT_HISTORY: usize = 512;
const MAX_NAME_LEN: usize = 128;
const MAX_TASKS: u32 = 10_000;
const MAX_QUEUE_WAIT_MS: u64 = 3_600_000;
const MAX_QUEUED_TASKS: u32 = 1_000_000;
const MAX_SHARE: u32 = 1_000;

/// How a journalled kind is handled while the log service is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLogOutage {
    /// Refuse the job and report that it was not run.
    #[default]
    Refuse,
    /// Start the job without journalling it.
    #[serde(rename = "go_on")]
    Continue,
}

/// The settings of one kind of job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// Name of the team that owns the kind.
    pub owner: String,
    /// Scheduling class of the kind's jobs.
    #[serde(default)]
    pub class: Class,
    /// Whether a task may safely be run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether each start is written to the journal in the log service before it is made.
    #[serde(default)]
    pub journal: bool,
    /// How jobs are handled while the log service is unavailable, where `journal` is set.
    #[serde(default)]
    pub on_log_out: OnLogOutage,
    /// Maximum time that a job may wait in the queue, in milliseconds.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u64,
    /// Maximum number of tasks in one job.
    #[serde(default = "default_max_tasks")]
    pub max_tasks: u32,
}

impl KindSpec {
    /// Returns whether every start of this kind is in the journal before it is made.
    ///
    /// Only then does the absence of a start record prove that a job was not started.
    pub fn journals_every_start(&self) -> bool {
        self.journal && self.on_log_out == OnLogOutage::Refuse
    }
}

/// The scheduling share and queue quota of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Weight of the team against other teams; capacity that it does not use goes to the others.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Maximum number of the team's tasks that may be queued on one daemon.
    #[serde(default = "default_max_queued_tasks")]
    pub max_queued_tasks: u32,
}

impl Default for TeamSpec {
    fn default() -> Self {
        Self { share: default_share(), max_queued_tasks: default_max_queued_tasks() }
    }
}

const fn default_max_wait_ms() -> u64 {
    2_000
}

const fn default_max_tasks() -> u32 {
    2_000
}

const fn default_share() -> u32 {
    1
}

const fn default_max_queued_tasks() -> u32 {
    20_000
}

/// The content of one catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// The settings of a job kind.
    Kind(KindSpec),
    /// The settings of a team.
    Team(TeamSpec),
}

/// The reason why an edit is rejected regardless of what the catalogue holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum InvalidEdit {
    /// The edit has no changes.
    #[error("the edit changes nothing; name at least one entry")]
    Empty,
    /// An entry's name is empty, too long or has characters other than ASCII letters, digits,
    /// `-` and `_`.
    #[error("'{0}' is no entry name; use 1 to 128 letters, digits, '-' or '_'")]
    Name(String),
    /// The owner of the kind with this name is not a valid team name.
    #[error("kind '{0}' has no valid owner; set owner to the name of a team")]
    Owner(String),
    /// A numeric field is out of its range.
    #[error("{field} of '{name}' is {value}; set it between {min} and {max}")]
    Range {
        /// Name of the entry.
        name: String,
        /// Name of the field.
        field: &'static str,
        /// The rejected value.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// The kind with this name is set to continue without the journal but is not journalled.
    #[error("kind '{0}' goes on without the journal but has none; set journal = true")]
    ContinueWithoutJournal(String),
}

/// The change that an edit makes to one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Name of the entry.
    pub name: String,
    /// Revision that the change is based on; `None` requires that the entry does not exist.
    pub base: Option<u64>,
    /// New content of the entry; `None` removes the entry.
    pub item: Option<Item>,
}

/// An operator's edit, which is applied atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Edit {
    /// Unique id of the edit, by which an operator whose reply was lost looks up the outcome and
    /// by which a repeated append is ignored.
    pub id: String,
    /// Name of the operator who made the edit.
    pub by: String,
    /// Changes to apply, at least one.
    pub changes: Vec<Change>,
}

/// One record of the catalogue stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogueRecord {
    /// An edit by an operator.
    Edit(Edit),
    /// The catalogue's state at an earlier offset, from which new readers can start.
    Snapshot(Box<CatalogueState>),
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The edit was applied.
    Applied {
        /// Revision of the changed entries, which is the edit's offset.
        revision: u64,
    },
    /// An entry was changed by another edit after the base revision.
    Conflict {
        /// Name of the first entry whose base revision was not current.
        name: String,
        /// Revision of the entry when the edit was evaluated; `None` if it did not exist.
        current: Option<u64>,
        /// Name of the operator who made that revision or removed the entry; empty if not known.
        by: String,
    },
    /// The edit failed validation.
    Invalid {
        /// Text of the [`InvalidEdit`] error.
        why: String,
    },
}

/// A catalogue entry with the revision and the author of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionedItem {
    /// Offset of the edit that last changed the entry.
    pub revision: u64,
    /// Name of the operator who made that edit.
    pub by: String,
    /// Time on the log service's clock until which an entry of this name allowed starts without a
    /// journal record; `None` if it never did. For tickets from before that time, the absence of
    /// a start record proves nothing.
    #[serde(default, rename = "loose_until_ms")]
    pub unjournalled_until_ms: Option<Millis>,
    /// Content of the entry.
    pub item: Item,
}

/// One applied edit in the catalogue's history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the edit made.
    pub revision: u64,
    /// Time at which the log service appended the edit, on its own clock.
    pub at_ms: Millis,
    /// Name of the operator who made the edit.
    pub by: String,
    /// Id of the edit.
    pub edit: String,
    /// Names of the entries that the edit changed.
    pub names: Vec<String>,
}

/// The catalogue's state at one offset of its stream, computed from all records before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CatalogueState {
    next_offset: u64,
    items: BTreeMap<String, VersionedItem>,
    removed: BTreeMap<String, (u64, String)>,
    outcomes: BTreeMap<String, Outcome>,
    outcome_order: VecDeque<String>,
    history: VecDeque<HistoryEntry>,
}

impl CatalogueState {
    /// Returns the offset of the next record to apply.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the entry with this name.
    pub fn get(&self, name: &str) -> Option<&VersionedItem> {
        self.items.get(name)
    }

    /// Returns all entries by name.
    pub fn items(&self) -> &BTreeMap<String, VersionedItem> {
        &self.items
    }

    /// Returns the settings of a job kind; `None` if there is no such kind.
    pub fn kind(&self, name: &str) -> Option<&KindSpec> {
        match &self.items.get(name)?.item {
            Item::Kind(kind) => Some(kind),
            Item::Team(_) => None,
        }
    }

    /// Returns the settings of a team, or the defaults for a team without an entry.
    pub fn team(&self, name: &str) -> TeamSpec {
        match self.items.get(name).map(|versioned| &versioned.item) {
            Some(Item::Team(team)) => team.clone(),
            Some(Item::Kind(_)) | None => TeamSpec::default(),
        }
    }

    /// Returns the outcome of the edit with this id; `None` if it is unknown or no longer kept.
    pub fn outcome(&self, edit: &str) -> Option<&Outcome> {
        self.outcomes.get(edit)
    }

    /// Returns the most recent applied edits, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Returns the outcome that an edit would have as the next record, without applying it.
    pub fn evaluate(&self, edit: &Edit) -> Outcome {
        if let Err(invalid) = validate(edit) {
            return Outcome::Invalid { why: invalid.to_string() };
        }
        for change in &edit.changes {
            let current = self.items.get(&change.name);
            let revision = current.map(|versioned| versioned.revision);
            if revision == change.base {
                continue;
            }
            let removed_by = self.removed.get(&change.name).map(|(_, by)| by.clone());
            let by = current.map(|versioned| versioned.by.clone()).or(removed_by);
            let name = change.name.clone();
            return Outcome::Conflict { name, current: revision, by: by.unwrap_or_default() };
        }
        Outcome::Applied { revision: self.next_offset }
    }

    /// Applies the record at `offset`; a record that was applied before is ignored.
    pub fn apply(&mut self, offset: u64, at_ms: Millis, record: &CatalogueRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset;
        if let CatalogueRecord::Edit(edit) = record {
            self.apply_edit(offset, at_ms, edit);
        }
        self.next_offset = offset + 1;
    }

    fn apply_edit(&mut self, offset: u64, at_ms: Millis, edit: &Edit) {
        if self.outcomes.contains_key(&edit.id) {
            return;
        }
        let outcome = self.evaluate(edit);
        if matches!(outcome, Outcome::Applied { .. }) {
            self.apply_changes(offset, at_ms, edit);
            let names = edit.changes.iter().map(|change| change.name.clone()).collect();
            let (by, edit) = (edit.by.clone(), edit.id.clone());
            self.history.push_back(HistoryEntry { revision: offset, at_ms, by, edit, names });
        }
        self.outcomes.insert(edit.id.clone(), outcome);
        self.outcome_order.push_back(edit.id.clone());
        if self.outcome_order.len() > MAX_KEPT_OUTCOMES
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        if self.history.len() > MAX_KEPT_HISTORY {
            self.history.pop_front();
        }
    }

    fn unjournalled_until(&self, name: &str, at_ms: Millis) -> Option<Millis> {
        let Some(before) = self.items.get(name) else {
            return self.removed.contains_key(name).then_some(at_ms);
        };
        match &before.item {
            Item::Kind(kind) if kind.journals_every_start() => before.unjournalled_until_ms,
            Item::Kind(_) | Item::Team(_) => Some(at_ms),
        }
    }

    fn apply_changes(&mut self, offset: u64, at_ms: Millis, edit: &Edit) {
        for change in &edit.changes {
            let name = change.name.clone();
            let by = edit.by.clone();
            if let Some(item) = change.item.clone() {
                let unjournalled_until_ms = self.unjournalled_until(&name, at_ms);
                self.removed.remove(&name);
                self.items.insert(
                    name,
                    VersionedItem { revision: offset, by, unjournalled_until_ms, item },
                );
                continue;
            }
            self.items.remove(&name);
            self.removed.insert(name, (offset, by));
            if self.removed.len() > MAX_KEPT_HISTORY {
                self.removed.pop_first();
            }
        }
    }
}

/// Validates an edit regardless of what the catalogue holds.
///
/// # Errors
/// Returns the first problem found: no changes, an invalid name or owner, a value out of range,
/// or a kind that continues without a journal that it does not have.
pub fn validate(edit: &Edit) -> Result<(), InvalidEdit> {
    if edit.changes.is_empty() {
        return Err(InvalidEdit::Empty);
    }
    for change in &edit.changes {
        if !is_valid_name(&change.name) {
            return Err(InvalidEdit::Name(change.name.clone()));
        }
        match &change.item {
            Some(Item::Kind(kind)) => validate_kind(&change.name, kind)?,
            Some(Item::Team(team)) => validate_team(&change.name, team)?,
            None => {}
        }
    }
    Ok(())
}

fn validate_kind(name: &str, kind: &KindSpec) -> Result<(), InvalidEdit> {
    if !is_valid_name(&kind.owner) {
        return Err(InvalidEdit::Owner(name.to_owned()));
    }
    if kind.on_log_out == OnLogOutage::Continue && !kind.journal {
        return Err(InvalidEdit::ContinueWithoutJournal(name.to_owned()));
    }
    check_range(name, "max_wait_ms", kind.max_wait_ms, 1, MAX_QUEUE_WAIT_MS)?;
    check_range(name, "max_tasks", kind.max_tasks.into(), 1, MAX_TASKS.into())
}

fn validate_team(name: &str, team: &TeamSpec) -> Result<(), InvalidEdit> {
    check_range(name, "share", team.share.into(), 1, MAX_SHARE.into())?;
    check_range(name, "max_queued_tasks", team.max_queued_tasks.into(), 1, MAX_QUEUED_TASKS.into())
}

fn check_range(
    name: &str,
    field: &'static str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<(), InvalidEdit> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(InvalidEdit::Range { name: name.to_owned(), field, value, min, max })
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=MAX_NAME_LEN).contains(&name.len()) && name.chars().all(is_allowed)
}
