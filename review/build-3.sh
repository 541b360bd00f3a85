#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 with the Rust compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-in review/stand-in-3/main.rs
