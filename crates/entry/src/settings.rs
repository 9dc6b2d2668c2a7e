//! The daemon's settings: parses and validates an INI file.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use ini::Ini;

/// Error in the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read or is not an INI file.
    #[error("{file}: {why}; check that the path is right and the file is an INI file")]
    File {
        /// Path of the settings file.
        file: String,
        /// Message of the operating system or of the parser.
        why: String,
    },
    /// A required key is missing or empty.
    #[error("{file}: [{section}] {key} is missing; add it")]
    Missing {
        /// Path of the settings file.
        file: String,
        /// Section of the key.
        section: &'static str,
        /// Name of the missing key.
        key: &'static str,
    },
    /// The value of a key is invalid.
    #[error("{file}: [{section}] {key} = {value} is invalid; {remedy}")]
    Value {
        /// Path of the settings file.
        file: String,
        /// Section of the key.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Values that are accepted.
        remedy: String,
    },
}

/// Validated settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM, for logs.
    pub name: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// All availability zones in which the service runs.
    pub zones: Vec<String>,
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Address of the platform's readiness check.
    pub ready: SocketAddr,
    /// Address on which the daemon listens for other daemons.
    pub peers: SocketAddr,
    /// Address that other daemons use to reach [`Settings::peers`].
    pub advertised: SocketAddr,
    /// Address on which the metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Number of partitions of a topic in the store.
    pub partitions: u32,
    /// Time after which a daemon loses its cells without a renewal, in milliseconds.
    pub ownership_ms: u64,
    /// What this VM can carry; `None` if the platform does not state it.
    pub capacity: Option<Capacity>,
    /// Time after its publication within which a change of the configuration has to be in force, in
    /// milliseconds.
    pub config_apply_ms: u64,
    /// Time after its publication within which the last task starts in an evacuated zone, in
    /// milliseconds.
    pub evacuate_ms: u64,
    /// Maximum duration of a shutdown, in milliseconds.
    pub grace_ms: u64,
    /// Minimum level of log lines.
    pub log_level: log::LevelFilter,
    /// Maximum number of log lines per second; further lines are dropped and counted.
    pub log_lines_per_s: u64,
}

/// What a VM can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// CPU time that the daemon may use, in thousandths of a core.
    pub cpu_millicores: u64,
    /// CPU time that is of use with the VM's link, in thousandths of a core. Owners of cells are
    /// chosen by it.
    pub usable_millicores: u64,
}

impl Settings {
    /// Returns the capacity by which owners of cells are chosen, in thousandths of a core.
    pub fn capacity_millicores(&self) -> Option<u64> {
        self.capacity.map(|capacity| capacity.usable_millicores)
    }
}

const CPU_SHARE_RANGE: RangeInclusive<f64> = 0.001..=1_024.0;
const CORES_RANGE: RangeInclusive<f64> = 0.001..=1_024.0;
const LINK_MBPS_RANGE: RangeInclusive<f64> = 0.25..=1_000_000.0;
/// Thousandths of a core that a link of 1 Mbit/s keeps busy: small VMs of 0.12 core have 25 Mbit/s.
const CAPACITY_PER_MBPS: f64 = 4.0;
const PARTITIONS_RANGE: RangeInclusive<u64> = 1..=4_096;
const DURATION_RANGE_MS: RangeInclusive<u64> = 100..=3_600_000;
const LOG_LINES_RANGE: RangeInclusive<u64> = 1..=100_000;
/// Allows four consecutive renewals to be lost.
const DEFAULT_OWNERSHIP_MS: u64 = 1_200;
const DEFAULT_GRACE_MS: u64 = 6_000;
const DEFAULT_CONFIG_APPLY_MS: u64 = 2_000;
/// Bound of the users' requirements.
const DEFAULT_EVACUATE_MS: u64 = 5_000;
/// The busiest daemon logs about 150 lines per second under the users' daily load.
const DEFAULT_LOG_LINES_PER_S: u64 = 400;

/// Reads and validates a settings file.
///
/// # Errors
/// Fails with the first error found, which names the file, the section, the key and a remedy.
pub fn load(file: &str) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| SettingsError::File { file: file.to_owned(), why: error.to_string() })?;
    parse(file, &text)
}

/// Parses and validates the text of a settings file. `file` is used in error messages only.
///
/// # Errors
/// Fails with the first error found, which names the file, the section, the key and a remedy.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let ini = Ini::load_from_str(text)
        .map_err(|error| SettingsError::File { file: file.to_owned(), why: error.to_string() })?;
    let reader = Reader { file, ini: &ini };
    reader.check_worker_call_mode()?;
    let min_ownership_ms = reader.number("platform", "min_ownership_ms", 0, 0..=60_000)?;
    let ownership_ms =
        reader.number("platform", "ownership_ms", DEFAULT_OWNERSHIP_MS, DURATION_RANGE_MS)?;
    let peers = reader.value("peers", "listen", ADDRESS_REMEDY)?;
    let advertised = match reader.text("peers", "advertise") {
        None => peers,
        Some(_) => reader.value("peers", "advertise", ADDRESS_REMEDY)?,
    };
    Ok(Settings {
        name: reader.required("daemon", "name")?.to_owned(),
        zone: reader.required("daemon", "zone")?.to_owned(),
        zones: reader.list("daemon", "zones"),
        callers: reader.value("callers", "listen", ADDRESS_REMEDY)?,
        ready: reader.value("ready", "listen", ADDRESS_REMEDY)?,
        peers,
        advertised,
        metrics: reader.value("metrics", "listen", ADDRESS_REMEDY)?,
        store: reader.value("platform", "store", ADDRESS_REMEDY)?,
        partitions: reader.number("platform", "partitions", 32, PARTITIONS_RANGE)? as u32,
        ownership_ms: ownership_ms.max(min_ownership_ms),
        capacity: reader.capacity()?,
        config_apply_ms: reader.number(
            "platform",
            "config_apply_ms",
            DEFAULT_CONFIG_APPLY_MS,
            DURATION_RANGE_MS,
        )?,
        evacuate_ms: reader.number(
            "platform",
            "evacuate_ms",
            DEFAULT_EVACUATE_MS,
            DURATION_RANGE_MS,
        )?,
        grace_ms: reader.seconds("drain", "grace_s", DEFAULT_GRACE_MS)?,
        log_level: reader.level()?,
        log_lines_per_s: reader.number(
            "log",
            "lines_per_s",
            DEFAULT_LOG_LINES_PER_S,
            LOG_LINES_RANGE,
        )?,
    })
}

const ADDRESS_REMEDY: &str = "use an IP address and a port, such as 127.0.0.1:7000";

struct Reader<'a> {
    file: &'a str,
    ini: &'a Ini,
}

impl Reader<'_> {
    fn text(&self, section: &str, key: &str) -> Option<&str> {
        let text = self.ini.get_from(Some(section), key).map(str::trim);
        text.filter(|text| !text.is_empty())
    }

    fn required(&self, section: &'static str, key: &'static str) -> Result<&str, SettingsError> {
        let file = self.file.to_owned();
        self.text(section, key).ok_or(SettingsError::Missing { file, section, key })
    }

    fn invalid(
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
        let text = self.required(section, key)?;
        text.parse().map_err(|_| self.invalid(section, key, remedy))
    }

    fn number(
        &self,
        section: &'static str,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, SettingsError> {
        let Some(text) = self.text(section, key) else { return Ok(default) };
        let (min, max) = range.clone().into_inner();
        let value: Option<u64> = text.parse().ok();
        value.filter(|value| range.contains(value)).ok_or_else(|| {
            let remedy = format!("use an integer between {min} and {max}");
            self.invalid(section, key, remedy)
        })
    }

    fn decimal(
        &self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<f64>,
    ) -> Result<Option<f64>, SettingsError> {
        let Some(text) = self.text(section, key) else { return Ok(None) };
        let value: Option<f64> = text.parse().ok();
        let value = value.filter(|value| range.contains(value));
        value.map(Some).ok_or_else(|| {
            let remedy = format!("use a number between {} and {}", range.start(), range.end());
            self.invalid(section, key, remedy)
        })
    }

    /// Returns the capacity of this VM; `None` unless both its share of the cores and their number
    /// are set.
    fn capacity(&self) -> Result<Option<Capacity>, SettingsError> {
        let cpu_share = self.decimal("capacity", "cpu_share", CPU_SHARE_RANGE)?;
        let cores = self.decimal("capacity", "cores", CORES_RANGE)?;
        let link_mbps = self.decimal("capacity", "link_mbps", LINK_MBPS_RANGE)?;
        let (Some(cpu_share), Some(cores)) = (cpu_share, cores) else { return Ok(None) };
        let link_limit = link_mbps.map_or(f64::INFINITY, |mbps| mbps * CAPACITY_PER_MBPS);
        let cpu_millicores = cpu_share * cores * 1_000.0;
        Ok(Some(Capacity {
            cpu_millicores: (cpu_millicores.round() as u64).max(1),
            usable_millicores: (cpu_millicores.min(link_limit).round() as u64).max(1),
        }))
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
        let millis = millis.filter(|millis| DURATION_RANGE_MS.contains(millis));
        millis.ok_or_else(|| {
            self.invalid(section, key, "use a number of seconds between 0.1 and 3600")
        })
    }

    fn list(&self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::to_owned).collect()
    }

    fn level(&self) -> Result<log::LevelFilter, SettingsError> {
        let text = self.text("log", "level").unwrap_or("info");
        let remedy = "use off, error, warn, info, debug or trace";
        text.parse().map_err(|_| self.invalid("log", "level", remedy))
    }

    /// Checks that the mode of calling workers is the only supported one.
    fn check_worker_call_mode(&self) -> Result<(), SettingsError> {
        let supported = adapter::settings::DIRECT_CALL_MODE;
        match self.text("platform", "orders") {
            None => Ok(()),
            Some(text) if text == supported => Ok(()),
            Some(_) => {
                Err(self.invalid("platform", "orders", format!("only {supported} is supported")))
            }
        }
    }
}
