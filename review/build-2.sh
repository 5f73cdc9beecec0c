#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/. It runs after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand-2 ./review/stand-2
