#!/usr/bin/env bash
# Builds the stand-ins of all cases: store, minions, clients and the program that plays a case.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
