#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
