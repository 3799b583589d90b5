#!/bin/bash
# Builds the stand-ins of the second review. They have no dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
