//! Settings of the daemon, loaded from one INI file. Every key and value is validated.
//!
//! `docs/CONFIGURATION.md` documents the settings for operators.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use dispatch::engine::DEFAULT_SPILL_MS;
use dispatch::home::HoldLimits;
use dispatch::ticket::{Key, Keyring};
use dispatch::workers::SelectionPolicy;
use ini::Ini;

/// An error in the settings file, with a hint how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read or is not valid INI.
    #[error("{file}: cannot read settings: {reason}; pass the path of an INI file with --settings")]
    UnreadableFile {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system or of the INI parser.
        reason: String,
    },
    /// A required key is missing.
    #[error("{file}: missing key [{section}] {key}; add it, for example: {key} = {example}")]
    MissingKey {
        /// Path of the settings file.
        file: String,
        /// Section in which the key is required.
        section: &'static str,
        /// Name of the missing key.
        key: String,
        /// Example of a valid value.
        example: &'static str,
    },
    /// The file contains a key that the daemon does not support.
    #[error("{file}: unknown key [{section}] {key}; remove it or see docs/CONFIGURATION.md")]
    UnknownKey {
        /// Path of the settings file.
        file: String,
        /// Section that contains the key; empty for keys before the first section.
        section: String,
        /// Name of the unknown key.
        key: String,
    },
    /// A value is malformed or out of range.
    #[error("{file}: invalid setting [{section}] {key} = {value}; {remedy}")]
    InvalidValue {
        /// Path of the settings file.
        file: String,
        /// Section that contains the key.
        section: &'static str,
        /// Name of the key.
        key: String,
        /// The rejected value; a placeholder for secrets.
        value: String,
        /// Description of the values that are accepted.
        remedy: String,
    },
}

/// Output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// The validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Config {
    /// Availability zone of this entry VM.
    pub zone: String,
    /// Listen address of the HTTP interface for callers.
    pub callers: SocketAddr,
    /// Maximum size of the body of a caller's request, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of tasks per job.
    pub max_tasks: usize,
    /// Listen address of the HTTP interface for operators.
    pub operators: SocketAddr,
    /// Listen address for messages of other daemons, over TCP and UDP.
    pub peers: SocketAddr,
    /// Addresses of other daemons that are contacted even if the VM list does not contain them.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the VM list service.
    pub vm_list: SocketAddr,
    /// Interval between polls of the VM list, in milliseconds.
    pub vm_poll_ms: u64,
    /// Keys that authenticate tickets and messages between daemons.
    pub keys: Keyring,
    /// Validity of a ticket after its issue, in milliseconds.
    pub ticket_valid_ms: u64,
    /// Limits on the time and the memory for which answers are retained for resubmissions.
    pub hold: HoldLimits,
    /// Policy by which workers are selected for tasks.
    pub choice: SelectionPolicy,
    /// Queueing time after which slots are requested from daemons in other zones, in milliseconds.
    pub spill_ms: u64,
    /// Maximum time that a shutdown waits for work in flight, in milliseconds.
    pub drain_limit_ms: u64,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Output format of the log.
    pub log_format: LogFormat,
    /// Whether failure tests may inject faults through the operators' interface.
    pub allow_faults: bool,
}

const DURATION_RANGE_MS: RangeInclusive<u64> = 100..=3_600_000;

struct KnownSection {
    section: &'static str,
    keys: &'static [&'static str],
}

const KNOWN_SECTIONS: &[KnownSection] = &[
    KnownSection { section: "daemon", keys: &["zone"] },
    KnownSection { section: "callers", keys: &["listen", "max_body_bytes", "max_tasks"] },
    KnownSection { section: "operators", keys: &["listen"] },
    KnownSection { section: "peers", keys: &["listen", "seeds", "heartbeat_ms"] },
    KnownSection { section: "platform", keys: &["log_service", "vm_list", "vm_poll_ms"] },
    KnownSection { section: "keys", keys: &["current"] },
    KnownSection { section: "tickets", keys: &["valid_ms", "hold_ms", "hold_bytes"] },
    KnownSection { section: "policy", keys: &["choice", "spill_ms"] },
    KnownSection { section: "drain", keys: &["limit_ms"] },
    KnownSection { section: "log", keys: &["level", "format"] },
    KnownSection { section: "testing", keys: &["allow_faults"] },
];

/// Reads and validates a settings file.
///
/// # Errors
/// Returns the first error found, with its file, section, key and remedy.
pub fn load(file: &str) -> Result<Config, ConfigError> {
    let text = std::fs::read_to_string(file).map_err(|error| ConfigError::UnreadableFile {
        file: file.to_owned(),
        reason: error.to_string(),
    })?;
    parse(file, &text)
}

/// Parses and validates the text of a settings file; `file` is used in errors only.
///
/// # Errors
/// Returns the first error found, with its file, section, key and remedy.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigError> {
    let ini = Ini::load_from_str(text).map_err(|error| ConfigError::UnreadableFile {
        file: file.to_owned(),
        reason: error.to_string(),
    })?;
    let reader = Reader { file, ini: &ini };
    reader.reject_unknown_keys()?;
    Ok(Config {
        zone: reader.zone()?,
        callers: reader.address("callers", "listen", "127.0.0.1:7000")?,
        max_body_bytes: reader.number("callers", "max_body_bytes", 4 << 20, 1_024..=(64 << 20))?
            as usize,
        max_tasks: reader.number("callers", "max_tasks", 2_000, 1..=10_000)? as usize,
        operators: reader.address("operators", "listen", "127.0.0.1:7001")?,
        peers: reader.address("peers", "listen", "127.0.0.1:7002")?,
        seeds: reader.addresses("peers", "seeds")?,
        heartbeat_ms: reader.number("peers", "heartbeat_ms", 1_000, 50..=2_000)?,
        log_service: reader.address("platform", "log_service", "127.0.0.1:7100")?,
        vm_list: reader.address("platform", "vm_list", "127.0.0.1:7101")?,
        vm_poll_ms: reader.number("platform", "vm_poll_ms", 2_000, DURATION_RANGE_MS)?,
        keys: reader.keys()?,
        ticket_valid_ms: reader.number("tickets", "valid_ms", 600_000, DURATION_RANGE_MS)?,
        hold: HoldLimits {
            hold_ms: reader.number("tickets", "hold_ms", 120_000, DURATION_RANGE_MS)?,
            hold_bytes: reader.number("tickets", "hold_bytes", 8 << 20, 1_024..=(1 << 32))?
                as usize,
        },
        choice: reader.choice()?,
        spill_ms: reader.number("policy", "spill_ms", DEFAULT_SPILL_MS, 0..=60_000)?,
        drain_limit_ms: reader.number("drain", "limit_ms", 120_000, DURATION_RANGE_MS)?,
        log_level: reader.level()?,
        log_format: reader.format()?,
        allow_faults: reader.flag("testing", "allow_faults")?,
    })
}

struct Reader<'a> {
    file: &'a str,
    ini: &'a Ini,
}

impl Reader<'_> {
    fn reject_unknown_keys(&self) -> Result<(), ConfigError> {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            let known = KNOWN_SECTIONS.iter().find(|known| known.section == section);
            for (key, _) in properties {
                let is_secret = section == "keys" && key.starts_with("key.");
                if !is_secret && known.is_none_or(|known| !known.keys.contains(&key)) {
                    return Err(ConfigError::UnknownKey {
                        file: self.file.to_owned(),
                        section: section.to_owned(),
                        key: key.to_owned(),
                    });
                }
            }
        }
        Ok(())
    }

    fn get(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key).map(str::trim)
    }

    fn required(
        &self,
        section: &'static str,
        key: &str,
        example: &'static str,
    ) -> Result<&str, ConfigError> {
        self.get(section, key).ok_or_else(|| ConfigError::MissingKey {
            file: self.file.to_owned(),
            section,
            key: key.to_owned(),
            example,
        })
    }

    fn invalid_value(
        &self,
        section: &'static str,
        key: &str,
        value: &str,
        remedy: impl Into<String>,
    ) -> ConfigError {
        ConfigError::InvalidValue {
            file: self.file.to_owned(),
            section,
            key: key.to_owned(),
            value: value.to_owned(),
            remedy: remedy.into(),
        }
    }

    fn zone(&self) -> Result<String, ConfigError> {
        let zone = self.required("daemon", "zone", "bergamo")?;
        let valid_chars = zone.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        if (1..=32).contains(&zone.len()) && valid_chars {
            return Ok(zone.to_owned());
        }
        Err(self.invalid_value("daemon", "zone", zone, "use 1 to 32 ASCII letters, digits or '-'"))
    }

    fn address(
        &self,
        section: &'static str,
        key: &str,
        example: &'static str,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.required(section, key, example)?;
        let remedy = "use an IP address and a port, such as 127.0.0.1:7000";
        text.parse().map_err(|_| self.invalid_value(section, key, text, remedy))
    }

    fn addresses(&self, section: &'static str, key: &str) -> Result<Vec<SocketAddr>, ConfigError> {
        let text = self.get(section, key).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let remedy = "use IP addresses with ports, separated by commas";
        parts
            .map(|part| part.parse().map_err(|_| self.invalid_value(section, key, part, remedy)))
            .collect()
    }

    fn number(
        &self,
        section: &'static str,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, ConfigError> {
        let Some(text) = self.get(section, key) else {
            return Ok(default);
        };
        let unit = key.rsplit_once('_').map_or("", |(_, unit)| unit);
        let unit = match unit {
            "ms" => " number of milliseconds, without a unit,",
            "bytes" => " number of bytes, without a unit,",
            _ => "",
        };
        let (min, max) = range.clone().into_inner();
        let remedy = format!("use an integer{unit} between {min} and {max}");
        let value: Option<u64> = text.parse().ok();
        value
            .filter(|value| range.contains(value))
            .ok_or_else(|| self.invalid_value(section, key, text, remedy))
    }

    fn flag(&self, section: &'static str, key: &str) -> Result<bool, ConfigError> {
        match self.get(section, key) {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => Err(self.invalid_value(section, key, other, "use true or false")),
        }
    }

    fn choice(&self) -> Result<SelectionPolicy, ConfigError> {
        match self.get("policy", "choice") {
            None | Some("shares") => Ok(SelectionPolicy::Shares),
            Some("random") => Ok(SelectionPolicy::Random),
            Some("round_robin") => Ok(SelectionPolicy::RoundRobin),
            Some("least_outstanding") => Ok(SelectionPolicy::LeastOutstanding),
            Some("two_choices") => Ok(SelectionPolicy::TwoChoices),
            Some(other) => Err(self.invalid_value(
                "policy",
                "choice",
                other,
                "use shares, random, round_robin, least_outstanding or two_choices",
            )),
        }
    }

    fn level(&self) -> Result<log::LevelFilter, ConfigError> {
        let text = self.get("log", "level").unwrap_or("info");
        let remedy = "use off, error, warn, info, debug or trace";
        text.parse().map_err(|_| self.invalid_value("log", "level", text, remedy))
    }

    fn format(&self) -> Result<LogFormat, ConfigError> {
        match self.get("log", "format") {
            None | Some("text") => Ok(LogFormat::Text),
            Some("json") => Ok(LogFormat::Json),
            Some(other) => Err(self.invalid_value("log", "format", other, "use text or json")),
        }
    }

    fn keys(&self) -> Result<Keyring, ConfigError> {
        let current = self.required("keys", "current", "1")?;
        let remedy =
            "use the number of the key that authenticates new tickets and messages, 0 to 255";
        let current: u8 =
            current.parse().map_err(|_| self.invalid_value("keys", "current", current, remedy))?;
        let mut keys = Vec::new();
        for (name, secret) in self.ini.section(Some("keys")).into_iter().flat_map(|s| s.iter()) {
            if let Some(id) = name.strip_prefix("key.") {
                keys.push(self.key(name, id, secret.trim())?);
            }
        }
        let index = keys.iter().position(|key| key.id == current);
        let index = index.ok_or_else(|| ConfigError::MissingKey {
            file: self.file.to_owned(),
            section: "keys",
            key: format!("key.{current}"),
            example: "64 hexadecimal digits",
        })?;
        let current_key = keys.remove(index);
        Ok(Keyring::new(current_key, keys))
    }

    fn key(&self, name: &str, id: &str, secret: &str) -> Result<Key, ConfigError> {
        let redacted = "(not shown)";
        let remedy = "use key.N = 64 hexadecimal digits, with N from 0 to 255";
        let id = id.parse().map_err(|_| self.invalid_value("keys", name, redacted, remedy))?;
        let digits = secret.as_bytes();
        if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(self.invalid_value("keys", name, redacted, remedy));
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(secret.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).unwrap_or("00");
            *byte = u8::from_str_radix(pair, 16).unwrap_or(0);
        }
        Ok(Key { id, secret: bytes })
    }
}

#[cfg(test)]
mod tests {
    use super::parse;

    const VALID: &str = "[daemon]\nzone = bergamo\n[callers]\nlisten = 127.0.0.1:1\n\
        [operators]\nlisten = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\n\
        [platform]\nlog_service = 127.0.0.1:4\nvm_list = 127.0.0.1:5\n[keys]\ncurrent = 1\n\
        key.1 = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";

    #[test]
    fn valid_settings_are_accepted() {
        assert_eq!(parse("x.ini", VALID).map(|config| config.zone), Ok("bergamo".to_owned()));
    }

    #[test]
    fn each_error_names_file_section_key_and_remedy() {
        let cases = [
            ("zone = bergamo", "", "missing key [daemon] zone;"),
            ("zone = bergamo", "zone = a b", "invalid setting [daemon] zone = a b;"),
            ("zone = bergamo", "zone = b\ncolour = red", "unknown key [daemon] colour;"),
            ("127.0.0.1:1", "localhost:1", "use an IP address and a port"),
            ("[keys]", "[tickets]\nvalid_ms = 10s\n[keys]", "integer number of milliseconds"),
            ("[keys]", "[tickets]\nhold_ms = 5\n[keys]", "between 100 and 3600000"),
            ("[keys]", "[policy]\nchoice = best\n[keys]", "use shares, random"),
            ("current = 1", "current = 2", "missing key [keys] key.2;"),
            ("key.1 = 00", "key.1 = zz", "64 hexadecimal digits"),
            ("[keys]", "[extra]\na = 1\n[keys]", "unknown key [extra] a;"),
            ("[keys]", "[testing]\nallow_faults = yes\n[keys]", "use true or false"),
        ];
        for (from, to, expected) in cases {
            let text = VALID.replacen(from, to, 1);
            let error = parse("x.ini", &text).map(|_| ()).unwrap_err().to_string();
            assert!(error.starts_with("x.ini: ") && error.contains(expected), "{to}: {error}");
        }
    }
}
