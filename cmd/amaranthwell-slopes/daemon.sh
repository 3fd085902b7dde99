#!/usr/bin/env bash
# Measures the process of one entry instance without jobs, with the fleet that is
# expected in two years, against a stand-in of the metadata store, and writes
# docs/slopes-daemon.toml:
#
# [empty], [list] and [tables]  processor time and resident memory, first with an
#                               empty list, then with 1,700 workers in the list,
#                               then also with the tables
# [edits]                       processor time of 53 further edits
# [start]                       processor time and peak resident memory of a second
#                               instance that reads all 54 edits when it starts
#
# Linux only.
set -euo pipefail
cd "$(dirname "$0")/../.."

workers=1700
routes=256
edits=53
window=10
settle=3
output=docs/slopes-daemon.toml
store=http://127.0.77.1:7100
dir=bin/slopes-daemon
mkdir -p "$dir"
started=()
trap 'kill "${started[@]}" 2>/dev/null || true' EXIT

address() { echo "10.2.$(($1 / 250)).$(($1 % 250 + 1)):9000"; }
letters=abcdefghijklmnopqrst
zone() { echo "hr-north-${letters:$(($1 / 8 % 20)):1}"; }

# routes SHARE prints routes with the given share.
routes() {
  for n in $(seq -w 0 $((routes - 1))); do
    printf '[[routes]]\nname = "team-%s-previews"\npool = "editing"\nurgency = 50\nshare = %d\n' "$n" "$1"
    printf 'idempotent = true\ntimeout = "20s"\ncores = 1.0\nmemory-mib = 512\n'
  done
}
# pools prints one pool with all workers.
pools() {
  printf '[[pools]]\nname = "editing"\n'
  for n in $(seq 0 $((workers - 1))); do
    printf '[[pools.servers]]\naddress = "%s"\nzone = "%s"\nrack = "rack-%d"\n' "$(address "$n")" "$(zone "$n")" $((n / 8))
    printf 'slots = 8\nconnections = 64\ncores = 16\nmemory-mib = 65536\n'
  done
}
# settings N prints the settings file of the N-th entry instance.
settings() {
  printf 'peer-address = "127.0.77.1%d:7000"\ncaller-address = "127.0.77.1%d:8080"\n' "$1" "$1"
  printf 'operator-address = "127.0.77.1%d:9090"\nzone = "hr-north-a"\nlog = "%s"\ninstances = "%s"\n' "$1" "$store" "$store"
}
# entry N starts the N-th entry instance in the background.
entry() {
  settings "$1" >"$dir/entry-$1.toml"
  bin/amaranthwell entry --settings "$dir/entry-$1.toml" >"$dir/entry-$1.log" 2>&1 &
  started+=($!)
}
# list puts a record of each worker into the store.
list() {
  local n
  for n in $(seq 0 $((workers - 1))); do
    printf 'next\nurl = "%s/v1/records/keyed.servers/%s"\nrequest = "PUT"\n' "$store" "$(address "$n")"
    printf 'data = "{\\"service\\":\\"editing\\",\\"address\\":\\"%s\\",\\"zone\\":\\"%s\\",' "$(address "$n")" "$(zone "$n")"
    printf '\\"state\\":\\"ready\\",\\"capacity\\":{\\"cpu\\":16000}}"\nsilent\n'
  done | tail -n +2 | curl -K - >/dev/null
}
# publish SHARE publishes tables whose routes have the given share.
publish() {
  routes "$1" >"$dir/routes.toml"
  bin/amaranthwell publish --log "$store" --author workshop "$dir/routes.toml" "$dir/pools.toml" >>"$dir/publish.log"
}

# milliseconds PID prints the processor time that a process has used, in
# milliseconds.
milliseconds() { awk -v hertz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hertz}' "/proc/$1/stat"; }
# kilobytes PID FIELD prints a field of /proc/PID/status, in kB.
kilobytes() { awk -v key="$2:" '$1 == key {print $2}' "/proc/$1/status"; }

# reading NAME PID prints table NAME: the processor time that a process uses in each
# second, measured over a window, and its resident memory at the end.
reading() {
  sleep "$settle"
  local before after
  before=$(milliseconds "$2")
  sleep "$window"
  after=$(milliseconds "$2")
  printf '\n[%s]\nprocessor-ms-per-s = %s\nresident-kb = %s\n' "$1" \
    "$(awk -v a="$after" -v b="$before" -v w="$window" 'BEGIN {print (a - b) / w}')" "$(kilobytes "$2" VmRSS)"
}

pools >"$dir/pools.toml"
bin/amaranthwell-standin store --address 127.0.77.1:7100 >"$dir/store.log" 2>&1 &
started+=($!)
sleep 1
entry 1
first=${started[-1]}
{
  printf 'command = "make slopes-daemon"\nworkers = %d\nroutes = %d\n' "$workers" "$routes"
  reading empty "$first"
  list
  reading list "$first"
  publish 50
  reading tables "$first"
  before=$(milliseconds "$first")
  begin=$SECONDS
  for n in $(seq "$edits"); do publish $((50 + n)); done
  sleep 1
  printf '\n[edits]\nnumber = %d\nprocessor-ms = %s\nseconds = %d\n' "$edits" \
    "$(awk -v a="$(milliseconds "$first")" -v b="$before" 'BEGIN {print a - b}')" $((SECONDS - begin))
  entry 2
  second=${started[-1]}
  sleep 6
  printf '\n[start]\nrecords = %d\nprocessor-ms = %s\npeak-resident-kb = %s\n' $((edits + 1)) \
    "$(milliseconds "$second")" "$(kilobytes "$second" VmHWM)"
} >"$dir/output.toml"
mv "$dir/output.toml" "$output"
cat "$output"
