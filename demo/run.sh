#!/usr/bin/env bash
# Starts the stand-ins of the platform and eight entry instances, submits jobs
# through different entry instances, and prints how they ended. Exits with
# status 0 only if all of them are complete. Expects the programs in bin/.
set -euo pipefail
cd "$(dirname "$0")/.."

# Concurrent demonstrations use loopback networks chosen by their process ID.
net=127.$((100 + $$ % 100))
store=http://$net.0.1:7100
control=http://$net.0.1:9001
entries=8
ready_seconds=30
leave_seconds=10

dir=$(mktemp -d)
standins=()
instances=()
submitters=()

# running PID reports whether the process, which this script started, runs.
running() {
  jobs -pr | grep -qx "$1"
}

# end PID... sends SIGTERM to processes, and kills those that run for longer than
# leave_seconds after it.
end() {
  local pid deadline=$((SECONDS + leave_seconds))
  for pid in "$@"; do
    if running "$pid"; then kill -TERM "$pid"; fi
  done
  for pid in "$@"; do
    while running "$pid" && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
    if running "$pid"; then
      echo "process $pid did not end in $leave_seconds s" >&2
      kill -KILL "$pid"
    fi
  done
}

# stop ends all processes that this script started: callers, entry instances and
# stand-ins. It removes the logs after a success, and keeps them otherwise.
stop() {
  local status=$?
  trap - EXIT INT TERM
  end "${submitters[@]}"
  # After SIGTERM an entry instance waits until all keys that it issued have expired,
  # so it is killed.
  local pid
  for pid in "${instances[@]}"; do
    if running "$pid"; then
      # Without disown the shell reports the killed job.
      disown "$pid"
      kill -KILL "$pid"
    fi
  done
  end "${standins[@]}"
  wait
  if [ "$status" -eq 0 ]; then rm -rf "$dir"; else echo "logs: $dir" >&2; fi
  exit "$status"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a command in the background with its output in NAME.log.
# $! is its process ID.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
}

# await URL waits until the URL answers with status 200.
await() {
  local deadline=$((SECONDS + ready_seconds))
  until bin/amaranthwell-standin request "$1" >"$dir/await" 2>&1; do
    if [ $SECONDS -ge $deadline ]; then
      echo "no answer from $1" >&2
      return 1
    fi
    sleep 0.1
  done
}

# check_started fails if a stand-in or an entry instance has ended, for example
# because its address is in use.
check_started() {
  local pid
  for pid in "${standins[@]}" "${instances[@]}"; do
    if ! running "$pid"; then
      echo "process $pid has ended early" >&2
      return 1
    fi
  done
}

# zone N prints the availability zone of the N-th entry instance.
zone() {
  local zones=(hr-north-a hr-north-b hr-north-c)
  echo "${zones[$((($1 - 1) % 3))]}"
}

# settings N prints the settings file of the N-th entry instance.
settings() {
  cat <<SETTINGS
peer-address = "$net.2.$1:7000"
caller-address = "$net.2.$1:8080"
operator-address = "$net.2.$1:9090"
zone = "$(zone "$1")"
log = "$store"
instances = "$store"
SETTINGS
}

start store bin/amaranthwell-standin store --address "$net.0.1:7100"
standins+=($!)
start worker bin/amaranthwell-standin worker --count 50 --slots 8 --connections 64 \
  --first-address "$net.1.1:9000" --control "$net.0.1:9001"
standins+=($!)
await "$store/log-newest?topic=keyed.members&part=0"
await "$control/v1/starts"
check_started

for n in $(seq $entries); do
  settings "$n" >"$dir/entry-$n.toml"
  start "entry-$n" bin/amaranthwell entry --settings "$dir/entry-$n.toml"
  instances+=($!)
done
sed "s/127\.0\.1\./$net.1./" demo/pools.toml >"$dir/pools.toml"
bin/amaranthwell publish --log "$store" --author demo demo/routes.toml "$dir/pools.toml"
for n in $(seq $entries); do await "http://$net.2.$n:9090/ready"; done
check_started

# Each job is: entry instance, route, number of tasks.
jobs=(
  "1 previews 8" "2 previews 40" "3 previews 1" "4 previews 16"
  "5 retouches 12" "6 retouches 60" "7 retouches 4" "8 retouches 24"
  "1 thumbnails 100" "3 thumbnails 200" "5 thumbnails 30" "7 thumbnails 400"
)
for i in "${!jobs[@]}"; do
  read -r n route tasks <<<"${jobs[$i]}"
  start "job-$i" bin/amaranthwell submit --entry "http://$net.2.$n:8080" \
    --route "$route" --tasks "$tasks" --payload "run-time=100ms"
  submitters+=($!)
done

complete=0
failed=0
for i in "${!jobs[@]}"; do
  if wait "${submitters[$i]}"; then complete=$((complete + 1)); else failed=$((failed + 1)); fi
  tail -n 1 "$dir/job-$i.log"
done
bin/amaranthwell-standin request "$control/v1/starts" && echo
echo "jobs: $complete complete, $failed failed"
[ "$failed" -eq 0 ]
