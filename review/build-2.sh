#!/bin/sh
# Builds the stand-ins and the programs that play the scripts of cases 6 to 10. They have no dependencies.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
