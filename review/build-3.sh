#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. The programs of the project are built as the
# deploy file says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-bed ./review/bed
