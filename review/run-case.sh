#!/usr/bin/env bash
# Plays a case by its name: run-case.sh NAME. It is called by the run.sh of each case, which sets
# TROUBLE (0 for a run without the disruption) and CASE_RECORD (the file for the record). The
# temporary folder holds settings and logs of the gateways; KEEP=1 keeps it and prints its name.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
export CASE_RECORD="${CASE_RECORD:?the file for the record is not set}"
cd "$(dirname "$0")/.."
if [ ! -x target/review/standin ] || [ ! -x target/release/godwitcrank-platform ]; then
    echo "not built: the build of the deploy file and review/build.sh come first"
    exit 2
fi
# A router of the sheet may open 4,100 files, and the clients share one process.
ulimit -Sn 8192 2> /dev/null || ulimit -Sn "$(ulimit -Hn)"
CASE_FOLDER="$(mktemp -d)"
export CASE_FOLDER
timeout --kill-after=5 110 target/review/standin "$1"
code=$?
if [ "${KEEP:-0}" = 1 ]; then echo "kept $CASE_FOLDER"; else rm -rf "$CASE_FOLDER"; fi
# The stand-in ends its processes when it ends, also after a timeout.
if [ "$code" -gt 2 ]; then code=2; fi
exit "$code"
