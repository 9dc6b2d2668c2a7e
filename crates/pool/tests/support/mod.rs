//! Fixtures, and a simulation in virtual time of workers with leases and fencing, of daemons that
//! own them in turn, and of callers that retry. All decisions are made by the crate under test.

#![allow(dead_code, reason = "each test file uses only a part of the fixtures")]

pub mod event_orders;
pub mod fleet;
pub mod simulation;

use std::rc::Rc;

use pool::catalogue::{Terms, WorkerEntry, WorkerState};
use pool::job::{JobSpec, Step};
use pool::resources::Resources;

/// Resources with so little memory that only the number of cores decides what fits.
pub fn cores(count: u64) -> Resources {
    Resources { cpu_millicores: count * 1_000, memory_mb: 1, accelerators: 0 }
}

/// Directory entry of a worker of the service "s"; `capacity` is its number of cores.
pub fn entry(number: usize, capacity: u64) -> WorkerEntry {
    WorkerEntry {
        service: Rc::from("s"),
        addr: ([10, 0, 0, number as u8], 1).into(),
        zone: Rc::from("z"),
        state: WorkerState::Ready,
        capacity: Resources { memory_mb: 1_000, ..cores(capacity) },
        labels: vec!["a".into(), format!("r{}", number / 4)],
        started_at_ms: Some(1),
        cold_ms: 0,
    }
}

/// Terms of a route of the highest priority, with a realistic latency objective and time-out.
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

/// A job of one step with `count` tasks.
pub fn job(id: &str, count: u32, task_cores: u64, estimate_ms: u64) -> JobSpec {
    let step = Step { count, task_resources: cores(task_cores), estimate_ms, ..Step::default() };
    JobSpec { id: Rc::from(id), payload: Rc::from("work"), steps: vec![step] }
}
