#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. Needs the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name standins \
    -o "$out/libstandins.rlib" review/standins-2/standins.rs
for case in review/[4-8]/case.rs; do
    folder=$(dirname "$case")
    rustc --edition 2024 -O --extern "standins=$out/libstandins.rlib" \
        --crate-name "case_$(basename "$folder")" -o "$out/case-$(basename "$folder")" "$case"
done
