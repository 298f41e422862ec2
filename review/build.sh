#!/bin/sh
# Builds the stand-ins that the scripts of the review start, into target/.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
