#!/bin/sh
# Builds the stand-ins of the cases 4 to 6, with the standard library alone. Run it after the build of
# deploy/system.toml, which builds the programs under test.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2021 -O -o target/review-2/kit-2 review/kit-2.rs
