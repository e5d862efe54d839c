#!/usr/bin/env bash
# Checks that the program serves the configurations of other deployments and rejects one that it cannot serve, with
# the key at fault.
# deployments_test.sh SLOESTACK FOLDER
set -euo pipefail
program=$1
folder=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
fail() {
    echo "$1" >&2
    exit 1
}
for file in "$folder"/*.json; do
    export EDGE_CONFIG=$file
    "$program" check || fail "$file: check rejected the configuration"
    : >"$scratch/log"
    "$program" serve 2>>"$scratch/log" &
    served=$!
    # grep ends with the log line; the time-out ends the test if the program hangs.
    timeout 60 grep -q -m1 'serving' <(tail -f -n +1 --pid=$served "$scratch/log") || fail "$file: no log line \"serving\""
    kill -TERM $served
    wait $served || fail "$file: SIGTERM did not end the program with exit code 0"
done
sed 's/"non_idempotent"/"at-will"/' "$folder/harbour-stowage.json" >"$scratch/bad.json"
EDGE_CONFIG=$scratch/bad.json
if "$program" check 2>"$scratch/log"; then fail "a configuration with an unknown effect was accepted"; fi
grep -q 'classes.0.effect: unknown value at-will' "$scratch/log" || fail "no error about the effect in: $(cat "$scratch/log")"
echo "deployments: passed"
