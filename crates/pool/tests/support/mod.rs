//! A small world in virtual time: workers with leases and fences, daemons that own them in turn,
//! and callers that send again. The decisions are the real ones of the package.

#![allow(dead_code, reason = "each test file uses its own part of the world")]

pub mod simulation;

use std::rc::Rc;

use pool::catalogue::{Terms, WorkerEntry, WorkerState};
use pool::job::{JobSpec, Step};
use pool::room::Room;

/// Cores and memory of a size that only cores decide.
pub fn cores(count: u64) -> Room {
    Room { cpu_millicores: count * 1_000, memory_mb: 1, accelerators: 0 }
}

/// The entry of a worker of a service "s".
pub fn entry(number: usize, capacity: u64) -> WorkerEntry {
    WorkerEntry {
        service: Rc::from("s"),
        addr: ([10, 0, 0, number as u8], 1).into(),
        zone: Rc::from("z"),
        state: WorkerState::Ready,
        capacity: Room { memory_mb: 1_000, ..cores(capacity) },
        labels: vec!["a".into(), format!("r{}", number / 4)],
        started_at_ms: Some(1),
    }
}

/// Terms of a route as the users have them.
pub fn terms(route: &str, target_ms: u64, max_attempts: u32) -> Terms {
    Terms {
        route: Rc::from(route),
        service: Rc::from("s"),
        priority: 0,
        max_attempts,
        stretch: 1.6,
        target_ms,
        timeout_ms: 1_500,
    }
}

/// A job of one step.
pub fn job(id: &str, count: u32, task_cores: u64, estimate_ms: u64) -> JobSpec {
    let step = Step { count, each: cores(task_cores), estimate_ms, ..Step::default() };
    JobSpec { id: Rc::from(id), spec: Rc::from("work"), steps: vec![step] }
}
