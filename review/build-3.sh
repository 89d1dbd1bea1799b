#!/bin/sh
# Builds the programs of the third review into target/review-2, which has the libraries already after build-2.sh.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/cases-3/Cargo.toml --target-dir target/review-2
