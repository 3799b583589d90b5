#!/bin/sh
# Builds the stand-ins of the scripts with the compiler alone; they use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/stand/main.rs -o target/review/stand
