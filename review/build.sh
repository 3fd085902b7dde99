#!/usr/bin/env bash
# Builds the program that the scripts of the review run. It contains all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
