//! Discrete-event simulator for the scheduling of jobs on workers with limited resources.
//!
//! The scheduling decisions are those of the `pool` crate; workers, network and time are simulated.
//! A scenario file defines zones, workers, kinds of jobs, a burst and the share of lost calls.
//! Arrivals, sizes and losses are random; the same file and seed always give the same result. See
//! `docs/design/lab.md`.

pub mod cli;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod workload;
