#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of cases 6 to 10 start, the project's own included.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review-2 ||
    cargo build --release --locked --manifest-path review/rig/Cargo.toml --target-dir target/review-2
