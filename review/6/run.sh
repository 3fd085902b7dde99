#!/usr/bin/env bash
# Runs the case in this folder and writes record.txt. Exits with 1 if the rule in claim.txt was
# broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. Expects the build of the deploy file and that of review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rig-2 ] || [ ! -x target/amaranthwell ]; then
  echo "not built" | tee review/6/record.txt >&2
  exit 2
fi
exec timeout -k 5 110 target/rig-2 ended review/6/record.txt
