#!/bin/sh
# Builds the stand-ins of the scripts of this review, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
