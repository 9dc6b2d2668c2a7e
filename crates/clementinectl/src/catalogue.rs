//! Commands on the catalogue: list, show, edit, history, outcome, status.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::catalogue::{Change, Edit, Item, Outcome, validate};
use httpedge::client::{CallError, RawRequest};
use operators::wire::{CatalogueBody, EditBody, ErrorBody, FleetBody, HistoryBody};

use crate::cli::{CatalogueStatusArgs, EditArgs, NameArgs};
use crate::error::CtlError;
use crate::exit_codes::SUCCESS;
use crate::output;
use crate::run::{CommandContext, OPERATOR_TIMEOUT_MS};

/// Maximum number of polls for an offset; together with the interval, this limits the wait to about
/// 7 s plus the time of the calls.
const MAX_FLEET_POLLS: u32 = 140;
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl CommandContext {
    /// Lists the entries with their revisions and authors.
    ///
    /// # Errors
    /// Returns an error if the call to the daemon fails.
    pub async fn list(&self) -> Result<u8, CtlError> {
        let body = self.catalogue().await?;
        if self.json {
            output::print_json(&body);
            return Ok(SUCCESS);
        }
        println!("offset {}", body.next_offset);
        for (name, entry) in &body.items {
            let summary = match &entry.item {
                Item::Kind(kind) => format!("kind of {}", kind.owner),
                Item::Team(team) => format!("team with share {}", team.share),
            };
            println!("{name:24} revision {:<6} by {:12} {summary}", entry.revision, entry.by);
        }
        Ok(SUCCESS)
    }

    /// Prints one entry as JSON.
    ///
    /// # Errors
    /// Returns an error if the entry does not exist or the call to the daemon fails.
    pub async fn show(&self, args: &NameArgs) -> Result<u8, CtlError> {
        let body = self.catalogue().await?;
        let entry = body.items.get(&args.name);
        let not_found = || CtlError::Usage(format!("'{}' is not in the catalogue", args.name));
        output::print_json(entry.ok_or_else(not_found)?);
        Ok(SUCCESS)
    }

    /// Prints the differences between a file and the catalogue and, with `--yes`, applies them.
    ///
    /// # Errors
    /// Returns an error if the file is not valid, another edit changed an entry first, the outcome
    /// is not known, a call to the daemon fails or, with `--wait`, the wait times out.
    pub async fn edit(&self, args: &EditArgs) -> Result<u8, CtlError> {
        let current = self.catalogue().await?;
        let desired = read_entries(&args.file)?;
        let changes = compute_changes(&current, desired);
        if changes.is_empty() {
            println!("no differences");
            return Ok(SUCCESS);
        }
        let id = format!("{}-{:016x}", args.by, rand::random::<u64>());
        let edit = Edit { id, by: args.by.clone(), changes };
        validate(&edit).map_err(|invalid| CtlError::File {
            file: args.file.clone(),
            why: invalid.to_string(),
        })?;
        for line in preview(&current, &edit.changes) {
            println!("{line}");
        }
        if !args.yes {
            println!("nothing changed; add --yes to put this in force");
            return Ok(SUCCESS);
        }
        let revision = self.submit_edit(&edit).await?;
        println!("in force as revision {revision} (edit {})", edit.id);
        if args.wait {
            self.wait_for_offset(revision + 1).await?;
        }
        Ok(SUCCESS)
    }

    /// Lists the most recent edits, the oldest first.
    ///
    /// # Errors
    /// Returns an error if the call to the daemon fails.
    pub async fn history(&self) -> Result<u8, CtlError> {
        let path = "/v1/catalogue/history";
        let body: HistoryBody =
            self.client.get(self.operator_addr, path, OPERATOR_TIMEOUT_MS).await?;
        if self.json {
            output::print_json(&body);
            return Ok(SUCCESS);
        }
        for line in body.lines {
            let names = line.names.join(", ");
            println!(
                "revision {:<6} by {:12} edit {:30} {names}",
                line.revision, line.by, line.edit
            );
        }
        Ok(SUCCESS)
    }

    /// Prints the outcome of an edit.
    ///
    /// # Errors
    /// Returns an error if the edit was not applied, its outcome is not known or the call fails.
    pub async fn outcome(&self, args: &NameArgs) -> Result<u8, CtlError> {
        let path = format!("/v1/catalogue/edits/{}", args.name);
        let body = self.send_edit_request("GET", &path, Vec::new()).await?;
        let revision = applied_revision(body)?;
        println!("in force as revision {revision}");
        Ok(SUCCESS)
    }

    /// Prints the catalogue offset of each daemon; with `--wait`, once every reachable daemon has
    /// caught up with the queried one.
    ///
    /// # Errors
    /// Returns an error if a call to the daemon fails or the wait times out.
    pub async fn catalogue_status(&self, args: &CatalogueStatusArgs) -> Result<u8, CtlError> {
        if args.wait {
            let offset = self.catalogue().await?.next_offset;
            return self.wait_for_offset(offset).await;
        }
        let fleet = self.fleet().await?;
        self.print_fleet(&fleet);
        Ok(SUCCESS)
    }

    async fn wait_for_offset(&self, offset: u64) -> Result<u8, CtlError> {
        for _ in 0..MAX_FLEET_POLLS {
            let fleet = self.fleet().await?;
            let reachable = fleet.daemons.iter().filter(|d| d.state == "self" || d.state == "live");
            let behind = reachable.filter(|d| d.catalogue_offset < Some(offset)).count();
            if behind == 0 {
                self.print_fleet(&fleet);
                println!("in force on every reachable daemon");
                return Ok(SUCCESS);
            }
            std::thread::sleep(FLEET_POLL_INTERVAL);
        }
        Err(CtlError::TimedOut(format!(
            "timed out: not every reachable daemon has offset {offset}; see clementinectl state"
        )))
    }

    fn print_fleet(&self, fleet: &FleetBody) {
        if self.json {
            output::print_json(fleet);
            return;
        }
        let newest = fleet.daemons.iter().filter_map(|daemon| daemon.catalogue_offset).max();
        for daemon in &fleet.daemons {
            let offset = daemon.catalogue_offset;
            let lag = newest.zip(offset).map(|(newest, offset)| newest - offset);
            println!(
                "{:21} {:14} {:9} offset {:8} lag {:6} heard {} ms ago",
                daemon.addr.to_string(),
                daemon.zone.as_deref().unwrap_or("?"),
                daemon.state,
                offset.map_or("?".to_owned(), |offset| offset.to_string()),
                lag.map_or("?".to_owned(), |lag| lag.to_string()),
                daemon.age_ms.map_or("?".to_owned(), |age| age.to_string()),
            );
        }
        for zone in &fleet.cut_off_zones {
            println!("zone {zone}: every daemon is silent");
        }
    }

    async fn catalogue(&self) -> Result<CatalogueBody, CtlError> {
        Ok(self.client.get(self.operator_addr, "/v1/catalogue", OPERATOR_TIMEOUT_MS).await?)
    }

    async fn fleet(&self) -> Result<FleetBody, CtlError> {
        Ok(self.client.get(self.operator_addr, "/v1/fleet", OPERATOR_TIMEOUT_MS).await?)
    }

    async fn submit_edit(&self, edit: &Edit) -> Result<u64, CtlError> {
        let body = serde_json::to_vec(edit).unwrap_or_default();
        let reply = self.send_edit_request("POST", "/v1/catalogue/edits", body).await;
        match reply {
            Ok(body) => applied_revision(body),
            Err(CtlError::Call(CallError::ReplyLost(_))) => {
                Err(CtlError::EditUnknown(edit.id.clone()))
            }
            Err(other) => Err(other),
        }
    }

    async fn send_edit_request(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<EditBody, CtlError> {
        let addr = self.operator_addr;
        let timeout_ms = OPERATOR_TIMEOUT_MS;
        let call = RawRequest { addr, method, path, headers: &[], body, timeout_ms };
        let (status, body) = self.client.send_raw(call).await?;
        if let Ok(body) = serde_json::from_slice(&body) {
            return Ok(body);
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => Err(CtlError::Refused { status, why: error.error }),
            Err(_) => Err(CallError::Unreadable(addr).into()),
        }
    }
}

fn applied_revision(body: EditBody) -> Result<u64, CtlError> {
    match body {
        EditBody::Known { outcome: Outcome::Applied { revision } } => Ok(revision),
        EditBody::Known { outcome: Outcome::Conflict { name, current, by } } => {
            let current = current.map_or("removed".to_owned(), |revision| revision.to_string());
            Err(CtlError::Conflict { name, by, current })
        }
        EditBody::Known { outcome: Outcome::Invalid { why } } => {
            Err(CtlError::Refused { status: 422, why })
        }
        EditBody::NotAccepted { why } => Err(CtlError::Refused { status: 503, why }),
        EditBody::Unknown { id, .. } => Err(CtlError::EditUnknown(id)),
    }
}

type Entries = BTreeMap<String, Option<Item>>;

fn read_entries(file: &str) -> Result<Entries, CtlError> {
    let file_error = |why: String| CtlError::File { file: file.to_owned(), why };
    let text = std::fs::read_to_string(file).map_err(|error| file_error(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| {
        file_error(format!(
            "{error}; expected {{\"NAME\": {{\"kind\": {{...}}}}}} as in docs/OPERATIONS.md"
        ))
    })
}

fn compute_changes(current: &CatalogueBody, desired: Entries) -> Vec<Change> {
    let differs = |(name, item): &(String, Option<Item>)| {
        let current_item = current.items.get(name).map(|entry| &entry.item);
        current_item != item.as_ref()
    };
    let changed = desired.into_iter().filter(differs);
    changed
        .map(|(name, item)| {
            let base = current.items.get(&name).map(|entry| entry.revision);
            Change { name, base, item }
        })
        .collect()
}

fn preview(current: &CatalogueBody, changes: &[Change]) -> Vec<String> {
    let mut lines = Vec::new();
    for change in changes {
        let old = current.items.get(&change.name).map(|entry| &entry.item);
        let sign = match (old, &change.item) {
            (None, _) => '+',
            (Some(_), None) => '-',
            (Some(_), Some(_)) => '~',
        };
        lines.push(format!("{sign} {}", change.name));
        let old = old.map(item_fields).unwrap_or_default();
        let new = change.item.as_ref().map(item_fields).unwrap_or_default();
        for (key, value) in &old {
            if new.get(key) != Some(value) {
                lines.push(format!("    - {key} = {value}"));
            }
        }
        for (key, value) in &new {
            if old.get(key) != Some(value) {
                lines.push(format!("    + {key} = {value}"));
            }
        }
    }
    lines
}

fn item_fields(item: &Item) -> BTreeMap<String, String> {
    let value = match item {
        Item::Kind(kind) => serde_json::to_value(kind),
        Item::Team(team) => serde_json::to_value(team),
    };
    let value = value.unwrap_or_default();
    let fields = value.as_object().cloned().unwrap_or_default();
    fields.into_iter().map(|(key, value)| (key, value.to_string())).collect()
}

#[cfg(test)]
mod tests {
    use dispatch::catalogue::{Item, TeamSpec, VersionedItem};
    use operators::wire::CatalogueBody;

    use super::{compute_changes, preview};

    #[test]
    fn edit_and_preview_contain_only_differences() {
        let team = |share| Item::Team(TeamSpec { share, max_queued_tasks: 10 });
        let versioned = |share| VersionedItem {
            revision: 4,
            by: "anna".into(),
            unjournalled_until_ms: None,
            item: team(share),
        };
        let items = [("a".to_owned(), versioned(1)), ("b".to_owned(), versioned(2))].into();
        let current = CatalogueBody { next_offset: 9, items };
        let desired = [("a".to_owned(), Some(team(1))), ("b".to_owned(), Some(team(3)))].into();
        let changes = compute_changes(&current, desired);
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].base, Some(4));
        assert_eq!(preview(&current, &changes), ["~ b", "    - share = 2", "    + share = 3"]);
    }
}
