#!/usr/bin/env bash
# Builds the stand-ins that the cases from 11 on start. Needs no network: they have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
cargo build --release --locked
