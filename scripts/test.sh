#!/usr/bin/env bash
# Everything that CI runs: formatter, vet, linter, build, tests with the race
# detector. Tests listed in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."

staticcheck_version=v0.8.2
tools="$(go env GOPATH)/bin"
if ! "$tools/staticcheck" --version 2>/dev/null | grep -qF "(${staticcheck_version#v})"; then
  go install "honnef.co/go/tools/cmd/staticcheck@$staticcheck_version"
fi

echo "gofmt"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
echo "go vet"
go vet ./...
echo "staticcheck"
"$tools/staticcheck" ./...
echo "go build"
mkdir -p bin
go build -o bin/ ./cmd/...

skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  skip=$(scripts/known-red.sh KNOWN-RED.txt)
fi
echo "go test -race"
# Each run runs all tests: a result that is kept from the run before shows nothing of what
# happens now and then, or beside load.
# The simulations make much garbage: collecting it less often saves a seventh of the time.
# The time limit is for what hangs: beside load a package takes up to twice its 12 minutes.
GOGC=400 go test -race -count=1 -timeout 25m ${skip:+-skip "$skip"} ./...
