#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts, without a network and without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
