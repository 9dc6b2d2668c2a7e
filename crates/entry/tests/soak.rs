//! Short soak test with fixed seeds. Seeds that failed once are kept here with the cause.

use std::path::Path;

use soak::cluster::Layout;
use soak::runner::{RunConfig, run_seed};
use standins::metastore::StoreDefect;
use standins::pool_worker::WorkerDefect;

const SPAN_MS: u64 = 5_000;

#[actix_rt::test]
async fn soak_with_fixed_seeds_violates_no_invariant() {
    for seed in [1, 2] {
        let config = RunConfig {
            program: Path::new(env!("CARGO_BIN_EXE_clementine-entry")),
            layout: Layout { zones: 2, daemons: 2, workers: 4 },
            seed,
            span_ms: SPAN_MS,
            planted: WorkerDefect::Nothing,
            store_defect: StoreDefect::Nothing,
        };
        let report = run_seed(config).await;
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        assert!(report.completed > 0 && !report.faults.is_empty(), "seed {seed}: {report:?}");
    }
}
