#!/bin/sh
# Builds the stand-ins and the programs that play the scripts. They have no dependencies.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
