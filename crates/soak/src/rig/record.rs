//! Records of workers and callers, one event a line, and the check that no task has two active runs.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::fs::File;
use std::io::{BufRead as _, BufReader, Write as _};
use std::path::Path;
use std::time::SystemTime;

/// Returns the present time in microseconds of Unix time. All processes of a run share this clock.
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Writes events to a file, with the time at which each was noticed.
#[derive(Debug)]
pub struct Recorder {
    file: File,
}

impl Recorder {
    /// Creates a file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: File::create(path)? })
    }

    /// Writes an event.
    pub fn note(&mut self, event: fmt::Arguments<'_>) {
        if let Err(error) = writeln!(self.file, "{} {event}", unix_us()) {
            eprintln!("rig: cannot write an event: {error}");
        }
    }
}

/// A run as its worker recorded it. Times are in microseconds of Unix time.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Id and zone of the worker.
    pub worker: String,
    /// Number of the start.
    pub run: u32,
    /// Fencing token of the start.
    pub token: u64,
    /// When the run started.
    pub started_us: u64,
    /// When the first stop was carried out; `None` if there was none.
    pub stopped_us: Option<u64>,
    /// When the run ended by the worker's clock, as planned when it was last seen active.
    pub planned_end_us: Option<u64>,
    /// When the worker's process noticed the end; `None` if it never did.
    pub ended_us: Option<u64>,
}

/// All events of a play.
#[derive(Debug, Default)]
pub struct Record {
    /// Runs by task.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// What callers did with each job.
    pub requests: HashMap<String, Vec<(u64, String)>>,
}

/// Two runs of a task whose times overlap.
#[derive(Clone, Debug)]
pub struct Overlap {
    /// Name of the task.
    pub task: String,
    /// The run that started first.
    pub first: Run,
    /// The run that started while the first one was active.
    pub second: Run,
}

impl Overlap {
    /// How long both runs were active by the workers' clocks, in milliseconds; zero if the first one
    /// only ended late because its process stood still.
    pub fn planned_ms(&self) -> u64 {
        let end_us = self.first.planned_end_us.or(self.first.ended_us).unwrap_or(u64::MAX);
        end_us.saturating_sub(self.second.started_us) / 1_000
    }

    /// How long both runs were active as the workers' processes noticed it, in milliseconds.
    pub fn noticed_ms(&self) -> u64 {
        let end_us = self.first.ended_us.unwrap_or(u64::MAX);
        end_us.saturating_sub(self.second.started_us) / 1_000
    }
}

impl fmt::Display for Overlap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = |at: Option<u64>| match at {
            Some(at) => format!("{:+.3}", (at as f64 - self.second.started_us as f64) / 1e6),
            None => "-".to_owned(),
        };
        let mut describe = |run: &Run| {
            write!(
                f,
                "[run {} on {} token {}, start {} stop {} end {} planned {}] ",
                run.run,
                run.worker,
                run.token,
                since(Some(run.started_us)),
                since(run.stopped_us),
                since(run.ended_us),
                since(run.planned_end_us),
            )
        };
        describe(&self.first)?;
        describe(&self.second)?;
        write!(
            f,
            "{} both for {} ms ({} by clock)",
            self.task,
            self.noticed_ms(),
            self.planned_ms()
        )
    }
}

impl Record {
    /// Reads the files with the extension `events` in a directory.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read.
    pub fn read(dir: &Path) -> std::io::Result<Self> {
        let mut record = Self::default();
        for entry in std::fs::read_dir(dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "events") {
                for line in BufReader::new(File::open(&path)?).lines() {
                    record.apply(&line?);
                }
            }
        }
        for runs in record.runs.values_mut() {
            runs.sort_by_key(|run| run.started_us);
        }
        Ok(record)
    }

    fn apply(&mut self, line: &str) -> Option<()> {
        let words: Vec<&str> = line.split(' ').collect();
        let at_us: u64 = words.first()?.parse().ok()?;
        match words.get(1..)? {
            ["start", worker, task, run, token] => {
                let (run, token) = (run.parse().ok()?, token.parse().ok()?);
                let worker = (*worker).to_owned();
                let started = Run { worker, run, token, started_us: at_us, ..Run::default() };
                self.runs.entry((*task).to_owned()).or_default().push(started);
            }
            ["stop", worker, task, run] => {
                self.find(worker, task, run.parse().ok()?)?.stopped_us.get_or_insert(at_us);
            }
            ["end", worker, task, run, planned_us] => {
                let run = self.find(worker, task, run.parse().ok()?)?;
                run.planned_end_us = planned_us.parse().ok();
                run.ended_us = Some(at_us);
            }
            ["job", id, rest @ ..] => {
                let requests = self.requests.entry((*id).to_owned()).or_default();
                requests.push((at_us, rest.join(" ")));
            }
            _ => {}
        }
        Some(())
    }

    /// Finds the latest start of a run. The events of a worker are in one file, in order.
    fn find(&mut self, worker: &str, task: &str, run: u32) -> Option<&mut Run> {
        let runs = self.runs.get_mut(task)?.iter_mut().rev();
        runs.into_iter().find(|known| known.worker == worker && known.run == run)
    }

    /// Returns the runs of a task that started while another one was active.
    pub fn overlaps(&self) -> Vec<Overlap> {
        let mut overlaps = Vec::new();
        for (task, runs) in &self.runs {
            for (at, second) in runs.iter().enumerate() {
                let active = runs[..at].iter().filter(|first| {
                    first.ended_us.is_none_or(|ended_us| ended_us > second.started_us)
                });
                overlaps.extend(active.map(|first| Overlap {
                    task: task.clone(),
                    first: first.clone(),
                    second: second.clone(),
                }));
            }
        }
        overlaps
    }

    /// Returns the jobs that ran although each request was refused as not run.
    pub fn refused_but_ran(&self) -> Vec<&str> {
        let has_run = |id: &str| {
            let next = self.runs.range(id.to_owned()..).next();
            next.is_some_and(|(task, _)| task.starts_with(id))
        };
        let is_refused = |events: &[(u64, String)]| {
            events.iter().all(|(_, event)| {
                !event.starts_with("answer") || event.ends_with("429") || event.ends_with("503")
            })
        };
        let refused = self.requests.iter().filter(|(_, events)| is_refused(events));
        refused.map(|(id, _)| id.as_str()).filter(|id| has_run(id)).collect()
    }
}
