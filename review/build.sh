#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The project itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/stand
