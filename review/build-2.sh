#!/usr/bin/env bash
# Builds the program that runs the scripts of this review: stand-ins of callers, servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/cases review/standin-2/main.rs
