#!/bin/sh
# Builds the stand-ins of the review's scripts, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-standin review/standin/main.rs
