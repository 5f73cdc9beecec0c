#!/usr/bin/env bash
# Runs a whole deployment on loopback as separate processes: the emulator, 7 or
# 8 daemons over three zones, the catalog through the command line, a mix of
# load, and the comparison of what was billed with what the engines ran.
#
#   DEPLOYMENT  zameen-haq (default) or drukwacht
#   RATE        requests a second (default 40)
#   DURATION    of the load (default 10s)
#   KEEP=1      stay up afterwards, with a line to try
#   DIALECT     "platform": 3 control and 4 entry nodes that find each other from
#               seeds, with engines and callers that speak the users' platform;
#               all are killed once, and the promises are checked
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${DIALECT:-}" = platform ]; then
  mkdir -p bin
  go build -o bin/ ./cmd/...
  exec bin/ravenway-lab soak --length 0s
elif [ -n "${DIALECT:-}" ]; then
  echo "DIALECT must be platform or empty" >&2
  exit 2
fi

deployment=${DEPLOYMENT:-zameen-haq}
case $deployment in
  zameen-haq) base=17100 prefix=/daftar model=qalam-1 ;;
  drukwacht) base=18100 prefix=/portal model=transient-1 ;;
  *) echo "DEPLOYMENT must be zameen-haq or drukwacht" >&2; exit 2 ;;
esac

mkdir -p bin
go build -o bin/ ./cmd/...
data=$(mktemp -d)
pids=()
finish() {
  status=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "the demo failed; last lines of the logs:" >&2
    tail -n 5 "$data"/*.log >&2 || true
  fi
  rm -rf "$data"
  exit "$status"
}
trap finish EXIT INT TERM

bin/ravenway-lab generate --deployment "$deployment" "$data"
export RAVENWAY_TOKEN_FILE="$data/operator.token"
RAVENWAY_SERVER="127.0.0.1:$((base + 2)),127.0.0.1:$((base + 32))"
export RAVENWAY_SERVER

bin/ravenway-lab emulate --admin "127.0.0.1:$((base + 900))" --truth "$data/truth.jsonl" "$data/catalog.json" 2>"$data/emulator.log" &
pids+=($!)
nodes=0
for settings in "$data"/*.toml; do
  bin/ravenwayd check "$settings" >/dev/null
  bin/ravenwayd run "$settings" >"${settings%.toml}.log" 2>&1 &
  pids+=($!)
  nodes=$((nodes + 1))
done
echo "started the emulator and $nodes daemons"

for _ in $(seq 1 150); do
  if bin/ravenway get >/dev/null 2>&1; then break; fi
  sleep 0.2
done
bin/ravenway apply --wait "$data/catalog.json"
for number in $(seq -f '%02g' 1 10); do
  tokens=2000000
  if [ "$number" -le 3 ] 2>/dev/null; then tokens=20000000; fi
  bin/ravenway budget top-up "tenant-$number-prepaid" "$tokens" >/dev/null
done
bin/ravenway status

bin/ravenway-lab load --deployment "$deployment" --rate "${RATE:-40}" --duration "${DURATION:-10s}" --retry
bin/ravenway-lab verify --deployment "$deployment"

if [ "${KEEP:-0}" = 1 ]; then
  echo
  echo "still up; try:"
  echo "curl -N http://127.0.0.1:$((base + 1))/v1/chat/completions -H 'Authorization: Bearer demo-key-$deployment-tenant-01' \\"
  echo "  -H 'Idempotency-Key: try-1' -d '{\"model\":\"$model\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
  echo "curl http://127.0.0.1:$((base + 1))$prefix/case/1 -H 'Authorization: Bearer demo-key-$deployment-tenant-01'"
  echo "RAVENWAY_TOKEN_FILE=$RAVENWAY_TOKEN_FILE bin/ravenway --server 127.0.0.1:$((base + 2)) budget get"
  echo "Ctrl-C ends it."
  wait
fi
