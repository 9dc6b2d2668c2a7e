//! Resources that tasks demand and workers offer.

use serde::{Deserialize, Serialize};

/// An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `need` fits into this amount.
    pub const fn can_fit(self, need: Self) -> bool {
        need.cpu_millicores <= self.cpu_millicores
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Adds an amount to this one, saturating at the numeric bounds.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts an amount from this one, saturating at zero.
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns how many tasks that each demand `each` fit into this amount. Returns `u64::MAX`
    /// for tasks that demand nothing.
    pub fn fit_count(self, each: Self) -> u64 {
        let share = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        share(self.cpu_millicores, each.cpu_millicores)
            .min(share(self.memory_mb, each.memory_mb))
            .min(share(self.accelerators, each.accelerators))
    }
}
