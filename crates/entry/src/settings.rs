//! The settings: an INI file that is read and checked once.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use ini::Ini;

/// What is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {why}; check the path and that it is an INI file")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        why: String,
    },
    /// A key is missing.
    #[error("{file}: [{section}] {key} is missing; add it")]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value cannot be used.
    #[error("{file}: [{section}] {key} = {value} cannot be used; {remedy}")]
    Value {
        /// The file.
        file: String,
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// What to write.
        remedy: String,
    },
}

/// The checked settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of this VM, for logs.
    pub name: String,
    /// The availability zone of this VM.
    pub zone: String,
    /// All availability zones.
    pub zones: Vec<String>,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where the platform asks whether the daemon is ready.
    pub ready: SocketAddr,
    /// Where other daemons connect.
    pub peers: SocketAddr,
    /// The address by which other daemons reach [`Settings::peers`].
    pub advertised: SocketAddr,
    /// Where metrics and the dump of the state are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The partitions of a topic.
    pub partitions: u32,
    /// How long a daemon keeps its cells without renewal, in milliseconds.
    pub ownership_ms: u64,
    /// How long a shutdown may take, in milliseconds.
    pub grace_ms: u64,
    /// The least level of what is logged.
    pub log_level: log::LevelFilter,
    /// The most log lines a second; more are counted and dropped.
    pub log_lines_per_s: u64,
}

const PARTITIONS: RangeInclusive<u64> = 1..=4_096;
const SPAN_MS: RangeInclusive<u64> = 100..=3_600_000;
const LINES: RangeInclusive<u64> = 1..=100_000;
/// How long a daemon keeps its cells without renewal: four renewals may be lost.
const DEFAULT_OWNERSHIP_MS: u64 = 1_200;
const DEFAULT_GRACE_MS: u64 = 6_000;
/// The busiest daemon logs about 150 lines a second on the users' days.
const DEFAULT_LINES_PER_S: u64 = 400;

/// Reads and checks a settings file.
///
/// # Errors
/// Fails with the first thing that is wrong: file, section, key and remedy.
pub fn load(file: &str) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| SettingsError::File { file: file.to_owned(), why: error.to_string() })?;
    parse(file, &text)
}

/// Checks the text of a settings file.
///
/// # Errors
/// Fails with the first thing that is wrong: file, section, key and remedy.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let ini = Ini::load_from_str(text)
        .map_err(|error| SettingsError::File { file: file.to_owned(), why: error.to_string() })?;
    let reader = Reader { file, ini: &ini };
    reader.check_orders()?;
    let min_ownership_ms = reader.number("platform", "min_ownership_ms", 0, 0..=60_000)?;
    let ownership_ms = reader.number("platform", "ownership_ms", DEFAULT_OWNERSHIP_MS, SPAN_MS)?;
    let peers = reader.value("peers", "listen", ADDRESS)?;
    let advertised = match reader.text("peers", "advertise") {
        None => peers,
        Some(_) => reader.value("peers", "advertise", ADDRESS)?,
    };
    Ok(Settings {
        name: reader.needed("daemon", "name")?.to_owned(),
        zone: reader.needed("daemon", "zone")?.to_owned(),
        zones: reader.list("daemon", "zones"),
        callers: reader.value("callers", "listen", ADDRESS)?,
        ready: reader.value("ready", "listen", ADDRESS)?,
        peers,
        advertised,
        metrics: reader.value("metrics", "listen", ADDRESS)?,
        store: reader.value("platform", "store", ADDRESS)?,
        partitions: reader.number("platform", "partitions", 32, PARTITIONS)? as u32,
        ownership_ms: ownership_ms.max(min_ownership_ms),
        grace_ms: reader.seconds("drain", "grace_s", DEFAULT_GRACE_MS)?,
        log_level: reader.level()?,
        log_lines_per_s: reader.number("log", "lines_per_s", DEFAULT_LINES_PER_S, LINES)?,
    })
}

const ADDRESS: &str = "write an IP number and a port, such as 127.0.0.1:7000";

struct Reader<'a> {
    file: &'a str,
    ini: &'a Ini,
}

impl Reader<'_> {
    fn text(&self, section: &str, key: &str) -> Option<&str> {
        let text = self.ini.get_from(Some(section), key).map(str::trim);
        text.filter(|text| !text.is_empty())
    }

    fn needed(&self, section: &'static str, key: &'static str) -> Result<&str, SettingsError> {
        let file = self.file.to_owned();
        self.text(section, key).ok_or(SettingsError::Missing { file, section, key })
    }

    fn wrong(
        &self,
        section: &'static str,
        key: &'static str,
        remedy: impl Into<String>,
    ) -> SettingsError {
        let value = self.text(section, key).unwrap_or_default().to_owned();
        let file = self.file.to_owned();
        SettingsError::Value { file, section, key, value, remedy: remedy.into() }
    }

    fn value<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
        remedy: &'static str,
    ) -> Result<T, SettingsError> {
        let text = self.needed(section, key)?;
        text.parse().map_err(|_| self.wrong(section, key, remedy))
    }

    fn number(
        &self,
        section: &'static str,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, SettingsError> {
        let Some(text) = self.text(section, key) else { return Ok(default) };
        let (least, most) = range.clone().into_inner();
        let value: Option<u64> = text.parse().ok();
        value.filter(|value| range.contains(value)).ok_or_else(|| {
            let remedy = format!("write a whole number between {least} and {most}");
            self.wrong(section, key, remedy)
        })
    }

    fn seconds(
        &self,
        section: &'static str,
        key: &'static str,
        default_ms: u64,
    ) -> Result<u64, SettingsError> {
        let Some(text) = self.text(section, key) else { return Ok(default_ms) };
        let seconds: Option<f64> = text.parse().ok();
        let millis = seconds.map(|seconds| (seconds * 1_000.0) as u64);
        let millis = millis.filter(|millis| SPAN_MS.contains(millis));
        millis.ok_or_else(|| self.wrong(section, key, "write seconds between 0.1 and 3600"))
    }

    fn list(&self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::to_owned).collect()
    }

    fn level(&self) -> Result<log::LevelFilter, SettingsError> {
        let text = self.text("log", "level").unwrap_or("info");
        let remedy = "write off, error, warn, info, debug or trace";
        text.parse().map_err(|_| self.wrong("log", "level", remedy))
    }

    /// Checks that workers are ordered about in the one way that is spoken here.
    fn check_orders(&self) -> Result<(), SettingsError> {
        let spoken = adapter::settings::DIRECT_ORDERS;
        match self.text("platform", "orders") {
            None => Ok(()),
            Some(text) if text == spoken => Ok(()),
            Some(_) => Err(self.wrong("platform", "orders", format!("only {spoken} is spoken"))),
        }
    }
}
