#!/bin/bash
# Builds the stand-ins and drivers of the cases in review/4 and later, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/kit-2/Cargo.toml --target-dir target/review-kit-2
