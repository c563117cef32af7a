#!/bin/sh
# Builds the stand-ins of the second review's scripts, with nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/standins-2/main.rs
