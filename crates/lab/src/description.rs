//! What to play: an INI file that is read and checked once.

use std::str::FromStr;

use ini::{Ini, Properties};

/// What is wrong with a description.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DescriptionError {
    /// The file cannot be read.
    #[error("{file}: {why}; check the path and that it is an INI file")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        why: String,
    },
    /// A key is missing or its value cannot be used.
    #[error("{file}: [{section}] {key} is missing or cannot be used; write {remedy}")]
    Value {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
        /// What to write.
        remedy: &'static str,
    },
}

/// One kind of job.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name, which stands for its route.
    pub name: String,
    /// Its urgency; zero comes first.
    pub priority: u32,
    /// Jobs a second in all zones.
    pub per_s: f64,
    /// The mean number of tasks.
    pub tasks: f64,
    /// The mean run time of a task on a worker of the usual pace, in milliseconds.
    pub task_ms: f64,
    /// The mean size of a task, in thousandths of a core.
    pub cpu_millicores: f64,
}

/// More load for a while.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// By how much the load is multiplied.
    pub factor: f64,
}

/// What to play.
#[derive(Clone, Debug)]
pub struct Description {
    /// Zones of one cell each.
    pub zones: usize,
    /// The sizes of a zone's workers, in thousandths of a core.
    pub workers_millicores: Vec<u64>,
    /// How long runs take on these workers against the usual; repeated in turn.
    pub paces: Vec<f64>,
    /// The kinds of jobs.
    pub kinds: Vec<Kind>,
    /// How long jobs arrive, in milliseconds.
    pub span_ms: u64,
    /// More load for a while.
    pub burst: Option<Burst>,
    /// The share of orders that are lost with their replies.
    pub lost_share: f64,
    /// How far declared times are off, as a spread of logarithms.
    pub declared_spread: f64,
}

const NUMBER: &str = "a number";
const NUMBERS: &str = "numbers parted by commas";

struct Section<'a> {
    file: &'a str,
    name: &'a str,
    properties: &'a Properties,
}

impl Section<'_> {
    fn wrong(&self, key: &'static str, remedy: &'static str) -> DescriptionError {
        let (file, section) = (self.file.to_owned(), self.name.to_owned());
        DescriptionError::Value { file, section, key, remedy }
    }

    fn number<T: FromStr>(&self, key: &'static str) -> Result<T, DescriptionError> {
        let text = self.properties.get(key).and_then(|text| text.trim().parse().ok());
        text.ok_or_else(|| self.wrong(key, NUMBER))
    }

    fn number_or<T: FromStr>(&self, key: &'static str, default: T) -> Result<T, DescriptionError> {
        if self.properties.contains_key(key) { self.number(key) } else { Ok(default) }
    }

    fn numbers<T: FromStr>(&self, key: &'static str) -> Result<Vec<T>, DescriptionError> {
        let text = self.properties.get(key).ok_or_else(|| self.wrong(key, NUMBERS))?;
        let numbers = text.split(',').map(|part| part.trim().parse().ok());
        let numbers: Option<Vec<T>> = numbers.collect();
        numbers.filter(|all| !all.is_empty()).ok_or_else(|| self.wrong(key, NUMBERS))
    }
}

/// Reads and checks a description file.
///
/// # Errors
/// Fails with the first thing that is wrong: file, section, key and remedy.
pub fn load(file: &str) -> Result<Description, DescriptionError> {
    let text = std::fs::read_to_string(file).map_err(|error| DescriptionError::File {
        file: file.to_owned(),
        why: error.to_string(),
    })?;
    parse(file, &text)
}

/// Checks the text of a description file.
///
/// # Errors
/// Fails with the first thing that is wrong: file, section, key and remedy.
pub fn parse(file: &str, text: &str) -> Result<Description, DescriptionError> {
    let ini = Ini::load_from_str(text).map_err(|error| DescriptionError::File {
        file: file.to_owned(),
        why: error.to_string(),
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
    let kinds = named.map(|(full, name)| kind(&section(full), name)).collect::<Result<_, _>>()?;
    let burst = Burst {
        at_ms: load.number_or("burst_at_ms", 0)?,
        for_ms: load.number_or("burst_for_ms", 0)?,
        factor: load.number_or("burst_factor", 1.0)?,
    };
    Ok(Description {
        zones: installation.number("zones")?,
        workers_millicores: sizes.collect(),
        paces: installation.numbers("paces")?,
        kinds,
        span_ms: load.number("span_ms")?,
        burst: Some(burst).filter(|burst| burst.for_ms > 0),
        lost_share: load.number_or("lost_share", 0.0)?,
        declared_spread: load.number_or("declared_spread", 0.4)?,
    })
}

fn kind(section: &Section<'_>, name: &str) -> Result<Kind, DescriptionError> {
    let cores: f64 = section.number("cores")?;
    Ok(Kind {
        name: name.to_owned(),
        priority: section.number_or("priority", 0)?,
        per_s: section.number("per_s")?,
        tasks: section.number("tasks")?,
        task_ms: section.number("task_ms")?,
        cpu_millicores: cores * 1_000.0,
    })
}
