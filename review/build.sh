#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin -o target/review/standin review/standin/main.rs
