//! The catalogue: kinds of work and teams, as the fold of one stream of the log service.
//!
//! An edit takes effect exactly if the revisions that it was made from are still current
//! at its offset, so every daemon agrees on the winner. See `docs/design/catalogue.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::queue::Class;

/// The stream that carries the catalogue.
pub const CATALOGUE_STREAM: &str = "catalogue";

const KEPT_OUTCOMES: usize = 2_048;
const KEPT_HISTORY: usize = 512;
const LONGEST_NAME: usize = 128;
const MOST_TASKS: u32 = 10_000;
const LONGEST_WAIT_MS: u64 = 3_600_000;
const MOST_QUEUED: u32 = 1_000_000;
const LARGEST_SHARE: u32 = 1_000;

/// What to do with journalled work while the log service is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLogOut {
    /// Refuse the work, truthfully, as not run.
    #[default]
    Refuse,
    /// Go on without the journal.
    GoOn,
}

/// One kind of work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// The team that owns the kind.
    pub owner: String,
    /// How urgent the work is.
    #[serde(default)]
    pub class: Class,
    /// Whether running a task twice would do no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether starts are journalled in the log service first.
    #[serde(default)]
    pub journal: bool,
    /// What to do with journalled work while the log service is out.
    #[serde(default)]
    pub on_log_out: OnLogOut,
    /// The longest wait in the queue, in milliseconds.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u64,
    /// The most tasks of one job.
    #[serde(default = "default_max_tasks")]
    pub max_tasks: u32,
}

impl KindSpec {
    /// Tells whether every start of this kind is in the journal before it is made.
    pub fn proves_starts(&self) -> bool {
        self.journal && self.on_log_out == OnLogOut::Refuse
    }
}

/// One team with its quota.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's weight against other teams; what it leaves idle others use.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The most tasks that the team may have waiting on one daemon.
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

/// One entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A kind of work.
    Kind(KindSpec),
    /// A team.
    Team(TeamSpec),
}

/// Why an edit is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum InvalidEdit {
    /// The edit changes nothing.
    #[error("the edit changes nothing; name at least one entry")]
    Empty,
    /// The name is empty, too long or has characters other than letters, digits, `-` and `_`.
    #[error("'{0}' is no entry name; use 1 to 128 letters, digits, '-' or '_'")]
    Name(String),
    /// A kind names an owner that is not a valid name.
    #[error("kind '{0}' has no valid owner; set owner to the name of a team")]
    Owner(String),
    /// A number is out of its range.
    #[error("{field} of '{name}' is {value}; set it between {least} and {most}")]
    Range {
        /// The entry.
        name: String,
        /// The field.
        field: &'static str,
        /// What was given.
        value: u64,
        /// The least that is allowed.
        least: u64,
        /// The most that is allowed.
        most: u64,
    },
    /// Work that is not idempotent must say what happens without the journal.
    #[error("kind '{0}' goes on without the journal but has none; set journal = true")]
    GoOnWithoutJournal(String),
}

/// One entry's change within an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The entry's name.
    pub name: String,
    /// The revision that the change was made from; none where the entry must not exist.
    pub base: Option<u64>,
    /// The new content; none removes the entry.
    pub item: Option<Item>,
}

/// One operator's edit, which takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Edit {
    /// The identity by which a lost reply is resolved.
    pub id: String,
    /// Who made the edit.
    pub by: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// One record of the catalogue stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogueRecord {
    /// An operator's edit.
    Edit(Edit),
    /// The fold at an earlier offset.
    Snapshot(Box<Fold>),
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The edit is in force.
    Applied {
        /// The revision that it made.
        revision: u64,
    },
    /// Another edit came first.
    Conflict {
        /// The entry that had changed.
        name: String,
        /// Its revision then.
        current: Option<u64>,
        /// Who made that revision.
        by: String,
    },
    /// The edit was not valid.
    Invalid {
        /// Why.
        why: String,
    },
}

/// An entry with the revision and the author of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versioned {
    /// The offset of the edit that made it.
    pub revision: u64,
    /// Who made it.
    pub by: String,
    /// Until when, on the log's clock, an entry of this name let starts go without a journal;
    /// none where it never did. Before that a journal proves nothing.
    #[serde(default)]
    pub loose_until_ms: Option<Millis>,
    /// The content.
    pub item: Item,
}

/// One line of the catalogue's history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryLine {
    /// The revision.
    pub revision: u64,
    /// When the log service took it, on its own clock.
    pub at_ms: Millis,
    /// Who made it.
    pub by: String,
    /// The edit's identity.
    pub edit: String,
    /// The entries that it changed.
    pub names: Vec<String>,
}

/// The catalogue at one offset of its stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fold {
    next_offset: u64,
    items: BTreeMap<String, Versioned>,
    removed: BTreeMap<String, (u64, String)>,
    outcomes: BTreeMap<String, Outcome>,
    outcome_order: VecDeque<String>,
    history: VecDeque<HistoryLine>,
}

impl Fold {
    /// Gives the offset of the next record to apply.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Gives an entry.
    pub fn get(&self, name: &str) -> Option<&Versioned> {
        self.items.get(name)
    }

    /// Lists the entries.
    pub fn items(&self) -> &BTreeMap<String, Versioned> {
        &self.items
    }

    /// Gives a kind's content.
    pub fn kind(&self, name: &str) -> Option<&KindSpec> {
        match &self.items.get(name)?.item {
            Item::Kind(kind) => Some(kind),
            Item::Team(_) => None,
        }
    }

    /// Gives a team's content, or what holds for teams without an entry.
    pub fn team(&self, name: &str) -> TeamSpec {
        match self.items.get(name).map(|versioned| &versioned.item) {
            Some(Item::Team(team)) => team.clone(),
            Some(Item::Kind(_)) | None => TeamSpec::default(),
        }
    }

    /// Gives what became of an edit, where that is still kept.
    pub fn outcome(&self, edit: &str) -> Option<&Outcome> {
        self.outcomes.get(edit)
    }

    /// Lists the last changes, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryLine> {
        self.history.iter()
    }

    /// Tells what an edit would come to if it were applied now.
    pub fn judge(&self, edit: &Edit) -> Outcome {
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

    /// Applies the record at `offset`; earlier offsets change nothing.
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
        let outcome = self.judge(edit);
        if matches!(outcome, Outcome::Applied { .. }) {
            self.make_changes(offset, at_ms, edit);
            let names = edit.changes.iter().map(|change| change.name.clone()).collect();
            let (by, edit) = (edit.by.clone(), edit.id.clone());
            self.history.push_back(HistoryLine { revision: offset, at_ms, by, edit, names });
        }
        self.outcomes.insert(edit.id.clone(), outcome);
        self.outcome_order.push_back(edit.id.clone());
        if self.outcome_order.len() > KEPT_OUTCOMES
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        if self.history.len() > KEPT_HISTORY {
            self.history.pop_front();
        }
    }

    fn loose_until(&self, name: &str, at_ms: Millis) -> Option<Millis> {
        let Some(before) = self.items.get(name) else {
            return self.removed.contains_key(name).then_some(at_ms);
        };
        match &before.item {
            Item::Kind(kind) if kind.proves_starts() => before.loose_until_ms,
            Item::Kind(_) | Item::Team(_) => Some(at_ms),
        }
    }

    fn make_changes(&mut self, offset: u64, at_ms: Millis, edit: &Edit) {
        for change in &edit.changes {
            let name = change.name.clone();
            let by = edit.by.clone();
            if let Some(item) = change.item.clone() {
                let loose_until_ms = self.loose_until(&name, at_ms);
                self.removed.remove(&name);
                self.items.insert(name, Versioned { revision: offset, by, loose_until_ms, item });
                continue;
            }
            self.items.remove(&name);
            self.removed.insert(name, (offset, by));
            if self.removed.len() > KEPT_HISTORY {
                self.removed.pop_first();
            }
        }
    }
}

/// Checks an edit without regard to what the catalogue holds.
///
/// # Errors
/// Fails with the first field that is out of its range.
pub fn validate(edit: &Edit) -> Result<(), InvalidEdit> {
    if edit.changes.is_empty() {
        return Err(InvalidEdit::Empty);
    }
    for change in &edit.changes {
        if !is_name(&change.name) {
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
    if !is_name(&kind.owner) {
        return Err(InvalidEdit::Owner(name.to_owned()));
    }
    if kind.on_log_out == OnLogOut::GoOn && !kind.journal {
        return Err(InvalidEdit::GoOnWithoutJournal(name.to_owned()));
    }
    in_range(name, "max_wait_ms", kind.max_wait_ms, 1, LONGEST_WAIT_MS)?;
    in_range(name, "max_tasks", kind.max_tasks.into(), 1, MOST_TASKS.into())
}

fn validate_team(name: &str, team: &TeamSpec) -> Result<(), InvalidEdit> {
    in_range(name, "share", team.share.into(), 1, LARGEST_SHARE.into())?;
    in_range(name, "max_queued_tasks", team.max_queued_tasks.into(), 1, MOST_QUEUED.into())
}

fn in_range(
    name: &str,
    field: &'static str,
    value: u64,
    least: u64,
    most: u64,
) -> Result<(), InvalidEdit> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(InvalidEdit::Range { name: name.to_owned(), field, value, least, most })
}

fn is_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=LONGEST_NAME).contains(&name.len()) && name.chars().all(plain)
}
