#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
