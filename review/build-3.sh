#!/bin/sh
# Builds the stand-ins of the cases from 11 on. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
rustc --edition 2021 -O -o target/review-3/cases review/standin-3/main.rs
