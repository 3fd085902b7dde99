#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start, into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
go build -buildvcs=false -o ../../target/rig-2 .
