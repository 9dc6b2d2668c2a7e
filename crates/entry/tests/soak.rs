//! Short soak test with fixed seeds. Seeds that failed once are kept here with the cause.

use std::path::Path;

use soak::play::{Plan, play};
use soak::site::Layout;
use standins::sized::Planted;

const SPAN_MS: u64 = 5_000;

#[actix_rt::test]
async fn soak_with_fixed_seeds_violates_no_invariant() {
    for seed in [1, 2] {
        let plan = Plan {
            program: Path::new(env!("CARGO_BIN_EXE_clementine-entry")),
            layout: Layout { zones: 2, daemons: 2, workers: 4 },
            seed,
            span_ms: SPAN_MS,
            planted: Planted::Nothing,
        };
        let findings = play(plan).await;
        assert!(findings.broken.is_empty(), "seed {seed}: {:?}", findings.broken);
        assert!(findings.completed > 0 && !findings.faults.is_empty(), "seed {seed}: {findings:?}");
    }
}
