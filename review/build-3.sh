#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the program itself, which the
# build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/rig-3
