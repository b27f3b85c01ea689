#!/bin/sh
# Builds the stand-ins of the cases. Needs the project's toolchain only; adds no dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done
