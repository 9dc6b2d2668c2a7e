//! What a play showed: answers by kind, and how far that is from what the cores could do.

use std::fmt;

use pool::job::LATE_FACTOR;

use crate::description::Description;
use crate::draw::DrawnJob;

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// All its tasks were done.
    Completed {
        /// The time from its arrival, in milliseconds.
        after_ms: u64,
    },
    /// No owner took it.
    Refused,
    /// It was begun, and not ended in time.
    GivenUp,
}

/// Counts of jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that arrived.
    pub asked: u64,
    /// Jobs answered within their objective.
    pub in_time: u64,
    /// Jobs answered within three times their objective.
    pub late: u64,
    /// Jobs refused.
    pub refused: u64,
}

impl Counts {
    fn add(&mut self, more: &Self) {
        self.asked += more.asked;
        self.in_time += more.in_time;
        self.late += more.late;
        self.refused += more.refused;
    }

    /// Gives the share of jobs answered within their objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// What a play showed.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Names of the kinds, with their counts.
    pub kinds: Vec<(String, Counts)>,
    /// Calls to workers.
    pub calls: u64,
    /// The share of jobs that could be answered in time if all cores did nothing but whole jobs, the
    /// smallest first: no scheduler does better.
    pub bound: f64,
}

impl Report {
    /// Begins a report on drawn jobs.
    pub fn new(description: &Description, jobs: &[DrawnJob]) -> Self {
        let named = description.kinds.iter().map(|kind| (kind.name.clone(), Counts::default()));
        Self { kinds: named.collect(), calls: 0, bound: bound(description, jobs) }
    }

    /// Notes what became of a job.
    pub fn note(&mut self, job: &DrawnJob, fate: Fate) {
        let counts = &mut self.kinds[job.kind].1;
        counts.asked += 1;
        match fate {
            Fate::Completed { after_ms } if after_ms <= job.objective_ms() => counts.in_time += 1,
            Fate::Completed { after_ms } if after_ms <= job.objective_ms() * LATE_FACTOR => {
                counts.late += 1;
            }
            Fate::Refused => counts.refused += 1,
            Fate::Completed { .. } | Fate::GivenUp => {}
        }
    }

    /// Adds the counts of another play of the same description.
    pub fn add(&mut self, other: &Self) {
        for ((_, counts), (_, more)) in self.kinds.iter_mut().zip(&other.kinds) {
            counts.add(more);
        }
        self.calls += other.calls;
    }

    /// Counts all kinds together.
    pub fn all(&self) -> Counts {
        let mut all = Counts::default();
        for (_, counts) in &self.kinds {
            all.add(counts);
        }
        all
    }

    /// Gives the mean over the kinds of the share answered in time.
    pub fn mean_in_time(&self) -> f64 {
        let shares = self.kinds.iter().map(|(_, counts)| counts.in_time_share());
        shares.sum::<f64>() / self.kinds.len().max(1) as f64
    }
}

/// Gives the share of jobs whose work fits into all cores from the first arrival to the last
/// objective.
fn bound(description: &Description, jobs: &[DrawnJob]) -> f64 {
    let paces = description.paces.iter().cycle();
    let speed = |(millicores, pace): (&u64, &f64)| *millicores as f64 / pace;
    let sizes = description.workers_millicores.iter();
    let cores: f64 = sizes.zip(paces).map(speed).sum::<f64>() * description.zones as f64;
    let ends = jobs.iter().map(|job| job.at_ms + job.objective_ms());
    let room = cores * ends.max().unwrap_or(0) as f64;
    let mut works: Vec<u64> = jobs.iter().map(DrawnJob::work).collect();
    works.sort_unstable();
    let mut done = 0.0;
    let fits = works.iter().take_while(|work| {
        done += **work as f64;
        done <= room
    });
    fits.count() as f64 / jobs.len().max(1) as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:20} {:>7} {:>8} {:>7} {:>8}",
            "kind", "asked", "in time", "late", "refused"
        )?;
        let all = ("all".to_owned(), self.all());
        for (name, counts) in self.kinds.iter().chain([&all]) {
            let share = |count: u64| count as f64 / counts.asked.max(1) as f64;
            writeln!(
                f,
                "{name:20} {:>7} {:>8.4} {:>7.4} {:>8.4}",
                counts.asked,
                share(counts.in_time),
                share(counts.late),
                share(counts.refused),
            )?;
        }
        let per_job = self.calls as f64 / self.all().asked.max(1) as f64;
        write!(f, "bound {:.4}, calls a job {per_job:.2}", self.bound)
    }
}
