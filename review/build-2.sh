#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the project's own program, without a
# network and without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
