#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up. Needs the toolchain and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
