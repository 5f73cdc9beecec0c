#!/usr/bin/env bash
# Regenerates the Go code of the operators' schema. The build does not need
# this: the generated files are committed. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go on the PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I api \
  --go_out=. --go_opt=module=github.com/ravenway/ravenway \
  --connect-go_out=. --connect-go_opt=module=github.com/ravenway/ravenway \
  api/ravenway/v1/ravenway.proto
