#!/usr/bin/env bash
# Builds the stand-ins of the third review. Needs the toolchain only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review3 review/standins-3/main.rs
