#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A warnings review/lib-3/main.rs -o target/review-3/stand
