//! Results of a simulation: answers by kind of job, and an upper bound on the share that any
//! scheduler could answer in time.

use std::fmt;

use pool::catalogue::LATE_FACTOR;
use pool::shedding::{LATE_VALUE_SHARE, value};

use crate::scenario::Scenario;
use crate::workload::GeneratedJob;

/// Final status of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// All tasks of the job succeeded.
    Completed {
        /// Time from the arrival of the job to its answer, in milliseconds.
        after_ms: u64,
    },
    /// No owner admitted the job.
    Refused,
    /// No owner admitted the job, although some cell could have started all its tasks at that time.
    RefusedDespiteRoom,
    /// The job was admitted, but a task failed or it was aborted, for example because it was late.
    Failed,
}

/// Numbers of jobs by final status. Jobs that failed, or that completed even after the limit for
/// `late`, count only in `arrived`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Jobs with a final status.
    pub arrived: u64,
    /// Jobs completed within their latency objective.
    pub in_time: u64,
    /// Jobs completed after their latency objective, but within [`LATE_FACTOR`] times the
    /// objective.
    pub late: u64,
    /// Jobs that no owner admitted.
    pub refused: u64,
    /// Those of the refused jobs that some cell could have started when they were refused.
    pub refused_despite_room: u64,
    /// Value of all jobs to their callers; see [`pool::shedding::value`].
    pub value: f64,
    /// Value of the answers: that of jobs completed in time in full, that of late ones reduced.
    pub served_value: f64,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_despite_room += other.refused_despite_room;
        self.value += other.value;
        self.served_value += other.served_value;
    }

    /// Returns the share of jobs completed within their latency objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.arrived.max(1) as f64
    }

    /// Returns the share of the jobs' value that the answers had.
    pub fn served_share(&self) -> f64 {
        self.served_value / self.value.max(f64::EPSILON)
    }
}

/// Results of one or more simulations of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name and counts of each kind of job, in the order of the scenario.
    pub kinds: Vec<(String, Counts)>,
    /// Number of calls to workers, including lost ones.
    pub calls: u64,
    /// Number of times that a job was sent to the owner of a cell.
    pub submissions: u64,
    /// Number of these times in which the cell was in another zone.
    pub submissions_to_other_zones: u64,
    /// Number of requests to withdraw a queued job.
    pub withdrawals: u64,
    /// Number of notices that a cell has room again.
    pub notices: u64,
    /// Number of workers that crashed.
    pub crashes: u64,
    /// Upper bound on the share of jobs completed in time: the share that fits if all cores run
    /// nothing but complete jobs, smallest first. No scheduler can exceed it.
    pub bound: f64,
    /// Mean work of the jobs of each kind, in millicore-milliseconds.
    mean_works: Vec<f64>,
}

impl Report {
    /// Returns a report with empty counts and the bound for the given jobs.
    pub fn new(scenario: &Scenario, jobs: &[GeneratedJob]) -> Self {
        let named = scenario.kinds.iter().map(|kind| (kind.name.clone(), Counts::default()));
        let mean_work = |kind: usize| {
            let works = jobs.iter().filter(|job| job.kind == kind).map(GeneratedJob::total_work);
            let (count, sum) = works.fold((0, 0), |(count, sum), work| (count + 1, sum + work));
            sum as f64 / f64::from(count.max(1))
        };
        Self {
            kinds: named.collect(),
            calls: 0,
            submissions: 0,
            submissions_to_other_zones: 0,
            withdrawals: 0,
            notices: 0,
            crashes: 0,
            bound: bound(scenario, jobs),
            mean_works: (0..scenario.kinds.len()).map(mean_work).collect(),
        }
    }

    /// Counts a job by its final status. Jobs that crash workers cannot be completed and are left
    /// out.
    pub fn record(&mut self, job: &GeneratedJob, status: Status) {
        if job.crashes_workers {
            return;
        }
        let value = value(job.total_work() as f64, self.mean_works[job.kind]);
        let counts = &mut self.kinds[job.kind].1;
        counts.arrived += 1;
        counts.value += value;
        match status {
            Status::Completed { after_ms } if after_ms <= job.objective_ms() => {
                counts.in_time += 1;
                counts.served_value += value;
            }
            Status::Completed { after_ms } if after_ms <= job.objective_ms() * LATE_FACTOR => {
                counts.late += 1;
                counts.served_value += value * LATE_VALUE_SHARE;
            }
            Status::Refused => counts.refused += 1,
            Status::RefusedDespiteRoom => {
                counts.refused += 1;
                counts.refused_despite_room += 1;
            }
            Status::Completed { .. } | Status::Failed => {}
        }
    }

    /// Adds the counts and calls of another simulation of the same scenario. The bound is
    /// unchanged.
    pub fn add(&mut self, other: &Self) {
        for ((_, counts), (_, other)) in self.kinds.iter_mut().zip(&other.kinds) {
            counts.add(other);
        }
        self.calls += other.calls;
        self.submissions += other.submissions;
        self.submissions_to_other_zones += other.submissions_to_other_zones;
        self.withdrawals += other.withdrawals;
        self.notices += other.notices;
        self.crashes += other.crashes;
    }

    /// Returns the sum of the counts of all kinds.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        for (_, counts) in &self.kinds {
            total.add(counts);
        }
        total
    }

    /// Returns the share of the value that was served, as the unweighted mean over the kinds.
    pub fn mean_served_share(&self) -> f64 {
        let shares = self.kinds.iter().map(|(_, counts)| counts.served_share());
        shares.sum::<f64>() / self.kinds.len().max(1) as f64
    }

    /// Returns the share of jobs completed in time, as the unweighted mean over the kinds.
    pub fn mean_in_time_share(&self) -> f64 {
        let shares = self.kinds.iter().map(|(_, counts)| counts.in_time_share());
        shares.sum::<f64>() / self.kinds.len().max(1) as f64
    }
}

/// Returns the share of jobs, smallest first, whose work all cores together can do between the
/// start of the arrivals and the latest latency objective.
fn bound(scenario: &Scenario, jobs: &[GeneratedJob]) -> f64 {
    let slowdowns = scenario.slowdowns.iter().cycle();
    let effective_millicores = |(millicores, slowdown): (&u64, &f64)| *millicores as f64 / slowdown;
    let sizes = scenario.workers_millicores.iter();
    let total_millicores: f64 =
        sizes.zip(slowdowns).map(effective_millicores).sum::<f64>() * scenario.zones as f64;
    let ends = jobs.iter().map(|job| job.at_ms + job.objective_ms());
    let available_work = total_millicores * ends.max().unwrap_or(0) as f64;
    let mut works: Vec<u64> = jobs.iter().map(GeneratedJob::total_work).collect();
    works.sort_unstable();
    let mut used = 0.0;
    let fits = works.iter().take_while(|work| {
        used += **work as f64;
        used <= available_work
    });
    fits.count() as f64 / jobs.len().max(1) as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:20} {:>7} {:>8} {:>7} {:>8} {:>12} {:>8}",
            "kind", "asked", "in time", "late", "refused", "despite room", "worth"
        )?;
        let total = ("all".to_owned(), self.total());
        for (name, counts) in self.kinds.iter().chain([&total]) {
            let share = |count: u64| count as f64 / counts.arrived.max(1) as f64;
            writeln!(
                f,
                "{name:20} {:>7} {:>8.4} {:>7.4} {:>8.4} {:>12.4} {:>8.4}",
                counts.arrived,
                share(counts.in_time),
                share(counts.late),
                share(counts.refused),
                share(counts.refused_despite_room),
                counts.served_share(),
            )?;
        }
        let per_job = |count: u64| count as f64 / self.total().arrived.max(1) as f64;
        write!(
            f,
            "bound {:.4}, calls a job {:.2}, submissions a job {:.2}, to other zones {:.2}, \
             withdrawals {:.3}, notices {:.3}",
            self.bound,
            per_job(self.calls),
            per_job(self.submissions),
            per_job(self.submissions_to_other_zones),
            per_job(self.withdrawals),
            per_job(self.notices),
        )
    }
}
