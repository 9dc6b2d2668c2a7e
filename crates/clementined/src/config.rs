//! The daemon's settings: one INI file, every key of which is checked.
//!
//! Operators read about them in `docs/CONFIGURATION.md`.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use dispatch::engine::DEFAULT_SPILL_MS;
use dispatch::home::HoldLimits;
use dispatch::ticket::{Key, Keyring};
use dispatch::workers::SelectionPolicy;
use ini::Ini;

/// What is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {why}; give --settings an INI file")]
    File {
        /// The file.
        file: String,
        /// The system's words.
        why: String,
    },
    /// A key must be there and is not.
    #[error("{file}: [{section}] {key} is missing; add it, for example: {key} = {example}")]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: &'static str,
        /// The key.
        key: String,
        /// What it might look like.
        example: &'static str,
    },
    /// A key is not known.
    #[error("{file}: [{section}] {key} is not known; remove it or see docs/CONFIGURATION.md")]
    Unknown {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value cannot be used.
    #[error("{file}: [{section}] {key} = {value} cannot be used; {remedy}")]
    Value {
        /// The file.
        file: String,
        /// The section.
        section: &'static str,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What to write instead.
        remedy: String,
    },
}

/// How logs are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Config {
    /// The availability zone that this entry VM is in.
    pub zone: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// The largest body of a caller's request, in bytes.
    pub max_body_bytes: usize,
    /// The most tasks of one job.
    pub max_tasks: usize,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// Where other daemons are heard, over TCP and UDP.
    pub peers: SocketAddr,
    /// Addresses of other daemons that are tried without the VM list.
    pub seeds: Vec<SocketAddr>,
    /// The time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The address of the log service.
    pub log_service: SocketAddr,
    /// The address of the VM list.
    pub vm_list: SocketAddr,
    /// The time between two looks at the VM list, in milliseconds.
    pub vm_poll_ms: u64,
    /// The keys of tickets and messages.
    pub keys: Keyring,
    /// How long a ticket is valid, in milliseconds.
    pub ticket_valid_ms: u64,
    /// How long and how many answers are held for resubmissions.
    pub hold: HoldLimits,
    /// How workers are chosen.
    pub choice: SelectionPolicy,
    /// The wait from which daemons of other zones are asked for slots, in milliseconds.
    pub spill_ms: u64,
    /// How long a shutdown waits for what is in flight, in milliseconds.
    pub drain_limit_ms: u64,
    /// The least level of what is logged.
    pub log_level: log::LevelFilter,
    /// How logs are written.
    pub log_format: LogFormat,
    /// Whether failure tests may switch faults.
    pub allow_faults: bool,
}

const SECONDS_RANGE_MS: RangeInclusive<u64> = 100..=3_600_000;

struct Known {
    section: &'static str,
    keys: &'static [&'static str],
}

const KNOWN: &[Known] = &[
    Known { section: "daemon", keys: &["zone"] },
    Known { section: "callers", keys: &["listen", "max_body_bytes", "max_tasks"] },
    Known { section: "operators", keys: &["listen"] },
    Known { section: "peers", keys: &["listen", "seeds", "heartbeat_ms"] },
    Known { section: "platform", keys: &["log_service", "vm_list", "vm_poll_ms"] },
    Known { section: "keys", keys: &["current"] },
    Known { section: "tickets", keys: &["valid_ms", "hold_ms", "hold_bytes"] },
    Known { section: "policy", keys: &["choice", "spill_ms"] },
    Known { section: "drain", keys: &["limit_ms"] },
    Known { section: "log", keys: &["level", "format"] },
    Known { section: "testing", keys: &["allow_faults"] },
];

/// Reads and checks a settings file.
///
/// # Errors
/// Fails with the first thing that is wrong: file, section, key and remedy.
pub fn load(file: &str) -> Result<Config, ConfigError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| ConfigError::File { file: file.to_owned(), why: error.to_string() })?;
    parse(file, &text)
}

/// Checks the text of a settings file.
///
/// # Errors
/// Fails with the first thing that is wrong: file, section, key and remedy.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigError> {
    let ini = Ini::load_from_str(text)
        .map_err(|error| ConfigError::File { file: file.to_owned(), why: error.to_string() })?;
    let reader = Reader { file, ini: &ini };
    reader.check_known()?;
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
        vm_poll_ms: reader.number("platform", "vm_poll_ms", 2_000, SECONDS_RANGE_MS)?,
        keys: reader.keys()?,
        ticket_valid_ms: reader.number("tickets", "valid_ms", 600_000, SECONDS_RANGE_MS)?,
        hold: HoldLimits {
            hold_ms: reader.number("tickets", "hold_ms", 120_000, SECONDS_RANGE_MS)?,
            hold_bytes: reader.number("tickets", "hold_bytes", 8 << 20, 1_024..=(1 << 32))?
                as usize,
        },
        choice: reader.choice()?,
        spill_ms: reader.number("policy", "spill_ms", DEFAULT_SPILL_MS, 0..=60_000)?,
        drain_limit_ms: reader.number("drain", "limit_ms", 120_000, SECONDS_RANGE_MS)?,
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
    fn check_known(&self) -> Result<(), ConfigError> {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            let known = KNOWN.iter().find(|known| known.section == section);
            for (key, _) in properties {
                let is_secret = section == "keys" && key.starts_with("key.");
                if !is_secret && known.is_none_or(|known| !known.keys.contains(&key)) {
                    return Err(ConfigError::Unknown {
                        file: self.file.to_owned(),
                        section: section.to_owned(),
                        key: key.to_owned(),
                    });
                }
            }
        }
        Ok(())
    }

    fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key).map(str::trim)
    }

    fn needed(
        &self,
        section: &'static str,
        key: &str,
        example: &'static str,
    ) -> Result<&str, ConfigError> {
        self.text(section, key).ok_or_else(|| ConfigError::Missing {
            file: self.file.to_owned(),
            section,
            key: key.to_owned(),
            example,
        })
    }

    fn wrong(
        &self,
        section: &'static str,
        key: &str,
        value: &str,
        remedy: impl Into<String>,
    ) -> ConfigError {
        ConfigError::Value {
            file: self.file.to_owned(),
            section,
            key: key.to_owned(),
            value: value.to_owned(),
            remedy: remedy.into(),
        }
    }

    fn zone(&self) -> Result<String, ConfigError> {
        let zone = self.needed("daemon", "zone", "bergamo")?;
        let plain = zone.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        if (1..=32).contains(&zone.len()) && plain {
            return Ok(zone.to_owned());
        }
        Err(self.wrong("daemon", "zone", zone, "use 1 to 32 letters, digits or '-'"))
    }

    fn address(
        &self,
        section: &'static str,
        key: &str,
        example: &'static str,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.needed(section, key, example)?;
        let remedy = "write an IP number and a port, such as 127.0.0.1:7000";
        text.parse().map_err(|_| self.wrong(section, key, text, remedy))
    }

    fn addresses(&self, section: &'static str, key: &str) -> Result<Vec<SocketAddr>, ConfigError> {
        let text = self.text(section, key).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let remedy = "write IP numbers with ports, separated by commas";
        parts.map(|part| part.parse().map_err(|_| self.wrong(section, key, part, remedy))).collect()
    }

    fn number(
        &self,
        section: &'static str,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, ConfigError> {
        let Some(text) = self.text(section, key) else {
            return Ok(default);
        };
        let unit = key.rsplit_once('_').map_or("", |(_, unit)| unit);
        let unit = match unit {
            "ms" => " of milliseconds without a unit",
            "bytes" => " of bytes without a unit",
            _ => "",
        };
        let (least, most) = range.clone().into_inner();
        let remedy = format!("write a whole number{unit} between {least} and {most}");
        let value: Option<u64> = text.parse().ok();
        value
            .filter(|value| range.contains(value))
            .ok_or_else(|| self.wrong(section, key, text, remedy))
    }

    fn flag(&self, section: &'static str, key: &str) -> Result<bool, ConfigError> {
        match self.text(section, key) {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => Err(self.wrong(section, key, other, "write true or false")),
        }
    }

    fn choice(&self) -> Result<SelectionPolicy, ConfigError> {
        match self.text("policy", "choice") {
            None | Some("shares") => Ok(SelectionPolicy::Shares),
            Some("random") => Ok(SelectionPolicy::Random),
            Some("round_robin") => Ok(SelectionPolicy::RoundRobin),
            Some("least_outstanding") => Ok(SelectionPolicy::LeastOutstanding),
            Some("two_choices") => Ok(SelectionPolicy::TwoChoices),
            Some(other) => Err(self.wrong(
                "policy",
                "choice",
                other,
                "write shares, random, round_robin, least_outstanding or two_choices",
            )),
        }
    }

    fn level(&self) -> Result<log::LevelFilter, ConfigError> {
        let text = self.text("log", "level").unwrap_or("info");
        let remedy = "write off, error, warn, info, debug or trace";
        text.parse().map_err(|_| self.wrong("log", "level", text, remedy))
    }

    fn format(&self) -> Result<LogFormat, ConfigError> {
        match self.text("log", "format") {
            None | Some("text") => Ok(LogFormat::Text),
            Some("json") => Ok(LogFormat::Json),
            Some(other) => Err(self.wrong("log", "format", other, "write text or json")),
        }
    }

    fn keys(&self) -> Result<Keyring, ConfigError> {
        let current = self.needed("keys", "current", "1")?;
        let remedy = "write the number of the key that makes new tags, 0 to 255";
        let current: u8 =
            current.parse().map_err(|_| self.wrong("keys", "current", current, remedy))?;
        let mut keys = Vec::new();
        for (name, secret) in self.ini.section(Some("keys")).into_iter().flat_map(|s| s.iter()) {
            if let Some(id) = name.strip_prefix("key.") {
                keys.push(self.key(name, id, secret.trim())?);
            }
        }
        let place = keys.iter().position(|key| key.id == current);
        let place = place.ok_or_else(|| ConfigError::Missing {
            file: self.file.to_owned(),
            section: "keys",
            key: format!("key.{current}"),
            example: "64 hexadecimal digits",
        })?;
        let first = keys.remove(place);
        Ok(Keyring::new(first, keys))
    }

    fn key(&self, name: &str, id: &str, secret: &str) -> Result<Key, ConfigError> {
        let hidden = "(not shown)";
        let remedy = "write key.N = 64 hexadecimal digits, with N from 0 to 255";
        let id = id.parse().map_err(|_| self.wrong("keys", name, hidden, remedy))?;
        let digits = secret.as_bytes();
        if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(self.wrong("keys", name, hidden, remedy));
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

    const GOOD: &str = "[daemon]\nzone = bergamo\n[callers]\nlisten = 127.0.0.1:1\n\
        [operators]\nlisten = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\n\
        [platform]\nlog_service = 127.0.0.1:4\nvm_list = 127.0.0.1:5\n[keys]\ncurrent = 1\n\
        key.1 = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";

    #[test]
    fn good_settings_pass() {
        assert_eq!(parse("x.ini", GOOD).map(|config| config.zone), Ok("bergamo".to_owned()));
    }

    #[test]
    fn each_fault_names_file_section_key_and_remedy() {
        let cases = [
            ("zone = bergamo", "", "[daemon] zone is missing"),
            ("zone = bergamo", "zone = a b", "[daemon] zone = a b cannot be used"),
            ("zone = bergamo", "zone = b\ncolour = red", "[daemon] colour is not known"),
            ("127.0.0.1:1", "localhost:1", "write an IP number and a port"),
            ("[keys]", "[tickets]\nvalid_ms = 10s\n[keys]", "number of milliseconds"),
            ("[keys]", "[tickets]\nhold_ms = 5\n[keys]", "between 100 and 3600000"),
            ("[keys]", "[policy]\nchoice = best\n[keys]", "write shares, random"),
            ("current = 1", "current = 2", "[keys] key.2 is missing"),
            ("key.1 = 00", "key.1 = zz", "64 hexadecimal digits"),
            ("[keys]", "[extra]\na = 1\n[keys]", "[extra] a is not known"),
            ("[keys]", "[testing]\nallow_faults = yes\n[keys]", "write true or false"),
        ];
        for (from, to, expected) in cases {
            let text = GOOD.replacen(from, to, 1);
            let error = parse("x.ini", &text).map(|_| ()).unwrap_err().to_string();
            assert!(error.starts_with("x.ini: ") && error.contains(expected), "{to}: {error}");
        }
    }
}
