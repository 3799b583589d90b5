#!/bin/sh
# Builds the stand-ins and drivers of the scripts of the third review; needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-3/main.rs
