#!/usr/bin/env bash
# Real processes on loopback under the faults that a simulation can't show:
# kill -9 and a restart of a router, SIGSTOP and SIGCONT of another, a planned
# stop, kill -9 of the leading control node; all under load with retries. Then
# the bills are compared with what the engines ran.
#
#   DEPLOYMENT  zameen-haq (default) or drukwacht
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${DEPLOYMENT:-zameen-haq}
case $deployment in
  zameen-haq) base=17100 killed=lhr-a-2 frozen=lhr-b-2 stopped=lhr-c-2 control=lhr-a-1 other=32 ;;
  drukwacht) base=18100 killed=hall-a-2 frozen=hall-a-3 stopped=hall-c-2 control=hall-a-1 other=32 ;;
  *) echo "DEPLOYMENT must be zameen-haq or drukwacht" >&2; exit 2 ;;
esac

mkdir -p bin
go build -o bin/ ./cmd/...
data=$(mktemp -d)
declare -A pid_of
emulator=0
finish() {
  status=$?
  trap - EXIT INT TERM
  for pid in "${pid_of[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -9 "$pid" 2>/dev/null || true; done
  kill "$emulator" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then tail -n 5 "$data"/*.log >&2 || true; fi
  rm -rf "$data"
  exit "$status"
}
trap finish EXIT INT TERM

run_node() {
  bin/ravenwayd run "$data/$1.toml" >>"$data/$1.log" 2>&1 &
  pid_of[$1]=$!
}

bin/ravenway-lab generate --deployment "$deployment" "$data"
export RAVENWAY_TOKEN_FILE="$data/operator.token"
RAVENWAY_SERVER="127.0.0.1:$((base + 2)),127.0.0.1:$((base + other))"
export RAVENWAY_SERVER
bin/ravenway-lab emulate --admin "127.0.0.1:$((base + 900))" "$data/catalog.json" 2>"$data/emulator.log" &
emulator=$!
for settings in "$data"/*.toml; do run_node "$(basename "$settings" .toml)"; done
for _ in $(seq 1 150); do
  if bin/ravenway get >/dev/null 2>&1; then break; fi
  sleep 0.2
done
bin/ravenway apply --wait "$data/catalog.json"
for number in $(seq -f '%02g' 1 10); do
  bin/ravenway budget top-up "tenant-$number-prepaid" 20000000 >/dev/null
done
for _ in $(seq 1 100); do
  if bin/ravenway status | grep -q "voters 3, of which 3"; then break; fi
  sleep 0.2
done

bin/ravenway-lab load --deployment "$deployment" --rate 30 --duration 40s --retry >"$data/load.txt" &
load=$!
sleep 5
echo "kill -9 $killed"
kill -9 "${pid_of[$killed]}"
sleep 3
run_node "$killed"
sleep 4
echo "SIGSTOP $frozen for 6 s"
kill -STOP "${pid_of[$frozen]}"
sleep 6
kill -CONT "${pid_of[$frozen]}"
sleep 4
echo "planned stop of $stopped"
kill -TERM "${pid_of[$stopped]}"
wait "${pid_of[$stopped]}"
run_node "$stopped"
sleep 3
echo "kill -9 $control"
kill -9 "${pid_of[$control]}"
sleep 3
run_node "$control"
status=0
wait "$load" || status=$?
cat "$data/load.txt"
bin/ravenway-lab verify --deployment "$deployment" --patience 90s
# The planned stop must have cut nothing.
line=$(grep event=stopped "$data/$stopped.log" | head -n 1)
echo "$line"
case $line in
  *streams=0*) ;;
  *) echo "the planned stop cut streams" >&2; status=1 ;;
esac
exit "$status"
