#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/amaranth-platform ] || exit 2
exec target/review-2/cases drain review/6
