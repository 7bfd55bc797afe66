#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/lib-2/Cargo.toml --target-dir target/review-2
