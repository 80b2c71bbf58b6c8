#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/standin.rs -o target/review/standin
