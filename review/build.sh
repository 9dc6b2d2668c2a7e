#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts start, the project's own included.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review ||
    cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
