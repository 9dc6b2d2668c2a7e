//! Summary of the free cores of a cell's workers, from which other daemons tell whether a job fits.
//!
//! Tasks take a half to three quarters of a worker, so that a third of a cell's cores can be free
//! without room for a single task. The sum of the free cores therefore says little; the number of
//! workers with at least a certain number of free cores does.

use serde::{Deserialize, Serialize};

/// Number of bins of the histogram. With 16 bins, a bin is as wide as one core on workers of 16
/// cores, which is less than the cores of two tasks of a kind differ by.
const BINS: usize = 16;
/// Unit of the width of a bin, in thousandths of a core. A width then takes one byte for workers of
/// up to 1,000 cores.
const WIDTH_UNIT_MILLICORES: u64 = 250;

/// Histogram of the free cores of a cell's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FreeCores {
    /// Width of a bin, in quarters of a core: a sixteenth of the largest worker, rounded up. Zero if
    /// there are no workers.
    width: u8,
    /// Number of workers whose free cores, divided by the width, are the index of the bin.
    workers: [u8; BINS],
}

impl FreeCores {
    /// Creates the histogram of workers, each with its capacity and its free cores, in thousandths of
    /// a core. Widths and counts that exceed a byte are clamped.
    pub fn new(workers: impl Iterator<Item = (u64, u64)> + Clone) -> Self {
        let largest = workers.clone().map(|(capacity, _)| capacity).max().unwrap_or(0);
        let width = largest.div_ceil(BINS as u64 * WIDTH_UNIT_MILLICORES);
        let mut histogram = Self { width: width.min(u64::from(u8::MAX)) as u8, ..Self::default() };
        let width_millicores = histogram.width_millicores();
        for (_, free) in workers {
            let bin = free.checked_div(width_millicores).unwrap_or(0).min(BINS as u64 - 1);
            let count = &mut histogram.workers[bin as usize];
            *count = count.saturating_add(1);
        }
        histogram
    }

    fn width_millicores(&self) -> u64 {
        u64::from(self.width) * WIDTH_UNIT_MILLICORES
    }

    /// Returns the sum of the free cores, in thousandths of a core, with the assumptions of
    /// [`Self::probable_fit`].
    pub fn probable_millicores(&self) -> u64 {
        self.probable_fit(1)
    }

    /// Returns how many tasks of the given cores probably fit, assuming that workers in the last bin
    /// are free and that the free cores of the others are in the middle of their bin.
    pub fn probable_fit(&self, task_millicores: u64) -> u64 {
        self.fit(task_millicores, self.width_millicores() / 2)
    }

    /// Returns how many tasks of the given cores fit at most.
    pub fn greatest_fit(&self, task_millicores: u64) -> u64 {
        self.fit(task_millicores, self.width_millicores().saturating_sub(1))
    }

    /// Returns how many tasks fit if the free cores of each worker exceed the lower end of its bin by
    /// `excess_millicores`, and those of a worker in the last bin by a full width.
    fn fit(&self, task_millicores: u64, excess_millicores: u64) -> u64 {
        let width = self.width_millicores();
        let in_bin = |(bin, count): (usize, &u8)| {
            let excess = if bin == BINS - 1 { width } else { excess_millicores };
            u64::from(*count) * ((bin as u64 * width + excess) / task_millicores.max(1))
        };
        self.workers.iter().enumerate().map(in_bin).fold(0, u64::saturating_add)
    }
}
