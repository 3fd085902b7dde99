#!/usr/bin/env bash
# Starts the stand-ins of the platform and eight entry instances, submits jobs
# through different entry instances, and prints how they ended. Exits with
# status 0 only if all of them are complete. Expects the programs in bin/.
set -euo pipefail
cd "$(dirname "$0")/.."

log=http://127.0.0.1:7100
instances=http://127.0.0.1:7200
control=http://127.0.0.1:9001
entries=8
ready_seconds=30
leave_seconds=15

dir=$(mktemp -d)
pids=()

# stop ends the processes that this script started, and waits for them.
stop() {
  local status=$? pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq $((leave_seconds * 10))); do
    alive || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait
  if [ "$status" -eq 0 ]; then rm -rf "$dir"; else echo "logs: $dir" >&2; fi
  exit "$status"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# alive reports whether any process that this script started still runs.
alive() {
  local pid
  for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then return 0; fi
  done
  return 1
}

# start NAME COMMAND... runs a command in the background, its output in a file.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# await URL waits until the URL answers with status 200.
await() {
  local deadline=$((SECONDS + ready_seconds))
  until curl -fs -m 2 -o "$dir/await" "$1"; do
    if [ $SECONDS -ge $deadline ]; then
      echo "no answer from $1" >&2
      return 1
    fi
    sleep 0.1
  done
}

# zone N prints the availability zone of the N-th entry instance.
zone() {
  local zones=(hr-north-a hr-north-b hr-north-c)
  echo "${zones[$((($1 - 1) % 3))]}"
}

# settings N prints the settings of the N-th entry instance.
settings() {
  cat <<SETTINGS
peer-address = "127.0.2.$1:7000"
caller-address = "127.0.2.$1:8080"
operator-address = "127.0.2.$1:9090"
zone = "$(zone "$1")"
log = "$log"
instances = "$instances"
SETTINGS
}

start log bin/amaranthwell-standin log
start instances bin/amaranthwell-standin instances
start worker bin/amaranthwell-standin worker --count 50 --slots 8 --connections 64
await "$log/v1/streams/readiness/records"
await "$instances/v1/instances"
await "$control/v1/starts"

for n in $(seq $entries); do
  settings "$n" >"$dir/entry-$n.toml"
  start "entry-$n" bin/amaranthwell entry --settings "$dir/entry-$n.toml"
  curl -fs -X PUT "$instances/v1/instances/127.0.2.$n:7000" \
    -d "{\"kind\":\"entry\",\"zone\":\"$(zone "$n")\"}"
done
bin/amaranthwell publish --log "$log" --author demo demo/routes.toml demo/pools.toml
for n in $(seq $entries); do await "http://127.0.2.$n:9090/ready"; done

# Each job is: entry instance, route, number of tasks.
jobs=(
  "1 previews 8" "2 previews 40" "3 previews 1" "4 previews 16"
  "5 retouches 12" "6 retouches 60" "7 retouches 4" "8 retouches 24"
  "1 thumbnails 100" "3 thumbnails 200" "5 thumbnails 30" "7 thumbnails 400"
)
daemons=("${pids[@]}")
submitters=()
for i in "${!jobs[@]}"; do
  read -r n route tasks <<<"${jobs[$i]}"
  start "job-$i" bin/amaranthwell submit --entry "http://127.0.2.$n:8080" \
    --route "$route" --tasks "$tasks" --payload "run-time=100ms"
  submitters+=("${pids[-1]}")
done

complete=0
failed=0
for i in "${!jobs[@]}"; do
  if wait "${submitters[$i]}"; then complete=$((complete + 1)); else failed=$((failed + 1)); fi
  tail -n 1 "$dir/job-$i.log"
done
pids=("${daemons[@]}")
curl -fs "$control/v1/starts" && echo
echo "jobs: $complete complete, $failed failed"
[ "$failed" -eq 0 ]
