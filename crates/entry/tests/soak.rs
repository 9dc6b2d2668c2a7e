//! A short run of the soak with fixed seeds. Seeds that once failed stay here with their cause.

use std::path::Path;

use soak::play::{Plan, play};
use soak::site::Layout;
use standins::pool_worker::WorkerDefect;

const SPAN_MS: u64 = 5_000;

#[actix_rt::test]
async fn two_seeds_break_no_promise() {
    for seed in [1, 2] {
        let plan = Plan {
            program: Path::new(env!("CARGO_BIN_EXE_clementine-entry")),
            layout: Layout { zones: 2, daemons: 2, workers: 4 },
            seed,
            span_ms: SPAN_MS,
            planted: WorkerDefect::Nothing,
        };
        let findings = play(plan).await;
        assert!(findings.broken.is_empty(), "seed {seed}: {:?}", findings.broken);
        assert!(findings.completed > 0 && !findings.faults.is_empty(), "seed {seed}: {findings:?}");
    }
}
