//! Reads and validates scenario files, which are in INI format.

use std::str::FromStr;

use ini::{Ini, Properties};

/// Error in a scenario file.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read or is no valid INI file.
    #[error("{file}: {reason}; expected the path of an INI file")]
    File {
        /// Path of the file.
        file: String,
        /// Description of the I/O or syntax error.
        reason: String,
    },
    /// A key is missing, or its value cannot be parsed.
    #[error("{file}: [{section}] {key} is missing or invalid; expected {expected}")]
    Value {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// A class of jobs that arrive at the same rate and have the same distribution of sizes.
#[derive(Clone, Debug)]
pub struct JobKind {
    /// Name of the kind, also used as the name of its route.
    pub name: String,
    /// Priority class of the jobs; zero is the most urgent.
    pub priority: u32,
    /// Mean arrival rate over all zones outside a burst, in jobs per second.
    pub jobs_per_s: f64,
    /// Mean number of tasks of a job.
    pub tasks: f64,
    /// Mean run time of a task on a worker with slowdown 1, in milliseconds.
    pub task_ms: f64,
    /// Mean CPU demand of a task, in thousandths of a core.
    pub cpu_millicores: f64,
    /// Share of the jobs whose first task crashes every worker that starts it, from 0 to 1.
    pub crashing_share: f64,
    /// Burst of this kind alone; `None` if it has none.
    pub flood: Option<Burst>,
}

/// Oscillation of the arrival rates of the zones. The phases are spread evenly over the zones, so
/// that the rate over all zones stays constant.
#[derive(Clone, Copy, Debug)]
pub struct Wave {
    /// Length of one oscillation, in milliseconds.
    pub period_ms: u64,
    /// Largest deviation of a zone's rate, as a share of its mean, from 0 to 1.
    pub amplitude: f64,
}

/// A period of increased arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start of the burst, in milliseconds after the arrivals start.
    pub at_ms: u64,
    /// Duration of the burst, in milliseconds.
    pub for_ms: u64,
    /// Factor on the arrival rate.
    pub factor: f64,
}

/// Factor on the run time of straggling runs.
pub const STRAGGLER_FACTOR: f64 = 7.0;

/// Workers and load of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of zones.
    pub zones: usize,
    /// Number of cells that the workers of each zone are divided into.
    pub cells: usize,
    /// Number of daemons of each zone that receive jobs.
    pub routers: usize,
    /// CPU of each worker of a zone, in thousandths of a core. All zones have the same workers.
    pub workers_millicores: Vec<u64>,
    /// Slowdowns of the workers: actual run time over the run time of the task. The list repeats if
    /// there are more workers.
    pub slowdowns: Vec<f64>,
    /// Kinds of jobs that arrive.
    pub kinds: Vec<JobKind>,
    /// Length of the period in which jobs arrive, in milliseconds.
    pub span_ms: u64,
    /// Burst of arrivals; `None` if the rate stays constant.
    pub burst: Option<Burst>,
    /// Oscillation of the arrival rates of the zones; `None` if they stay equal.
    pub wave: Option<Wave>,
    /// Share of the calls to workers that are lost, from 0 to 1.
    pub lost_share: f64,
    /// Share of the runs that take [`STRAGGLER_FACTOR`] times as long, from 0 to 1.
    pub straggler_share: f64,
    /// Error of the declared run times, as the standard deviation of their logarithm.
    pub declared_spread: f64,
}

const NUMBER: &str = "a number";
const SHARE: &str = "a number from 0 to 1";
const NUMBERS: &str = "comma-separated numbers";

struct Section<'a> {
    file: &'a str,
    name: &'a str,
    properties: &'a Properties,
}

impl Section<'_> {
    fn invalid(&self, key: &'static str, expected: &'static str) -> ScenarioError {
        let (file, section) = (self.file.to_owned(), self.name.to_owned());
        ScenarioError::Value { file, section, key, expected }
    }

    fn number<T: FromStr>(&self, key: &'static str) -> Result<T, ScenarioError> {
        let text = self.properties.get(key).and_then(|text| text.trim().parse().ok());
        text.ok_or_else(|| self.invalid(key, NUMBER))
    }

    fn number_or<T: FromStr>(&self, key: &'static str, default: T) -> Result<T, ScenarioError> {
        if self.properties.contains_key(key) { self.number(key) } else { Ok(default) }
    }

    /// Reads a share from 0 to 1; zero if the key is missing.
    fn share(&self, key: &'static str) -> Result<f64, ScenarioError> {
        let share = self.number_or(key, 0.0)?;
        if (0.0..=1.0).contains(&share) { Ok(share) } else { Err(self.invalid(key, SHARE)) }
    }

    /// Reads a burst from the keys of its start, duration and factor; `None` if it has no duration.
    fn burst(&self, keys: [&'static str; 3]) -> Result<Option<Burst>, ScenarioError> {
        let burst = Burst {
            at_ms: self.number_or(keys[0], 0)?,
            for_ms: self.number_or(keys[1], 0)?,
            factor: self.number_or(keys[2], 1.0)?,
        };
        Ok(Some(burst).filter(|burst| burst.for_ms > 0))
    }

    fn numbers<T: FromStr>(&self, key: &'static str) -> Result<Vec<T>, ScenarioError> {
        let text = self.properties.get(key).ok_or_else(|| self.invalid(key, NUMBERS))?;
        let numbers = text.split(',').map(|part| part.trim().parse().ok());
        let numbers: Option<Vec<T>> = numbers.collect();
        numbers.filter(|all| !all.is_empty()).ok_or_else(|| self.invalid(key, NUMBERS))
    }
}

/// Reads and validates a scenario file.
///
/// # Errors
/// Returns an error if the file cannot be read or is no INI file, or for the first missing or
/// invalid key.
pub fn load(file: &str) -> Result<Scenario, ScenarioError> {
    let text = std::fs::read_to_string(file).map_err(|error| ScenarioError::File {
        file: file.to_owned(),
        reason: error.to_string(),
    })?;
    parse(file, &text)
}

/// Parses and validates the text of a scenario file. `file` is the path that errors mention.
///
/// # Errors
/// Returns an error if the text is no INI file, or for the first missing or invalid key.
pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let ini = Ini::load_from_str(text).map_err(|error| ScenarioError::File {
        file: file.to_owned(),
        reason: error.to_string(),
    })?;
    let empty = Properties::new();
    let section =
        |name| Section { file, name, properties: ini.section(Some(name)).unwrap_or(&empty) };
    let (installation, load) = (section("installation"), section("load"));
    let count: usize = installation.number("workers")?;
    let sizes: Vec<f64> = installation.numbers("cores")?;
    let sizes = sizes.iter().cycle().take(count).map(|cores| (cores * 1_000.0) as u64);
    let named =
        ini.sections().flatten().filter_map(|name| Some((name, name.strip_prefix("kind ")?)));
    let kinds =
        named.map(|(full, name)| read_kind(&section(full), name)).collect::<Result<_, _>>()?;
    let wave = Wave {
        period_ms: load.number_or("wave_period_ms", 0)?,
        amplitude: load.share("wave_amplitude")?,
    };
    Ok(Scenario {
        zones: installation.number("zones")?,
        cells: installation.number_or("cells_a_zone", 1)?,
        routers: installation.number_or("routers_a_zone", 1)?,
        workers_millicores: sizes.collect(),
        slowdowns: installation.numbers("paces")?,
        kinds,
        span_ms: load.number("span_ms")?,
        burst: load.burst(["burst_at_ms", "burst_for_ms", "burst_factor"])?,
        wave: Some(wave).filter(|wave| wave.period_ms > 0),
        lost_share: load.number_or("lost_share", 0.0)?,
        straggler_share: load.share("straggler_share")?,
        declared_spread: load.number_or("declared_spread", 0.4)?,
    })
}

fn read_kind(section: &Section<'_>, name: &str) -> Result<JobKind, ScenarioError> {
    let cores: f64 = section.number("cores")?;
    Ok(JobKind {
        name: name.to_owned(),
        priority: section.number_or("priority", 0)?,
        jobs_per_s: section.number("per_s")?,
        tasks: section.number("tasks")?,
        task_ms: section.number("task_ms")?,
        cpu_millicores: cores * 1_000.0,
        crashing_share: section.share("crashing_share")?,
        flood: section.burst(["flood_at_ms", "flood_for_ms", "flood_factor"])?,
    })
}
