#!/bin/sh
# Builds the program with which the scripts of the second review run their cases. It holds the
# stand-ins for store, engines and clients, and needs the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-case review/common-2/main.rs
