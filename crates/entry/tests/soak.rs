//! A short run of the soak with fixed seeds. Seeds that once failed stay here with their cause.

use std::path::Path;

use soak::cluster::Layout;
use soak::runner::{RunConfig, run_seed};
use standins::sized::Planted;

const SPAN_MS: u64 = 5_000;

#[actix_rt::test]
async fn two_seeds_break_no_promise() {
    for seed in [1, 2] {
        let config = RunConfig {
            program: Path::new(env!("CARGO_BIN_EXE_clementine-entry")),
            layout: Layout { zones: 2, daemons: 2, workers: 4 },
            seed,
            span_ms: SPAN_MS,
            planted: Planted::Nothing,
        };
        let report = run_seed(config).await;
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        assert!(report.completed > 0 && !report.faults.is_empty(), "seed {seed}: {report:?}");
    }
}
