#!/bin/bash
# Builds the stand-ins of the scripts, after the build of the deploy file. They use the
# standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
