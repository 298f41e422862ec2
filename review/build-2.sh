#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review-standin-2 .
