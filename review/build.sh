#!/bin/sh
# Builds the stand-ins of the review's cases. Needs the Rust compiler only: no package, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-standin review/standin/main.rs
