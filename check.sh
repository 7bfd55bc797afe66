#!/usr/bin/env bash
# Checks format, the dependency graph, the platform's boundary, lints, documentation and all tests.
set -euo pipefail
cd "$(dirname "$0")"

cargo fmt --all --check

# The daemons may not use io_uring: no such crate or feature may enter the graph.
graph=$(cargo tree --workspace --locked --edges features --prefix none)
if grep -Eq '^io-uring |feature "io-uring"' <<<"$graph"; then
    echo "io_uring entered the dependency graph" >&2
    exit 1
fi

.ci/boundary

cargo clippy --workspace --all-targets --locked -- --deny warnings
RUSTDOCFLAGS="--deny warnings" cargo doc --workspace --no-deps --locked --quiet
cargo test --workspace --locked --no-fail-fast
