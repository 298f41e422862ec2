#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-3 ./review/standin-3
