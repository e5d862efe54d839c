#!/usr/bin/env bash
# sloestack starts, serves and stops cleanly with the configuration of every deployment in FOLDER, and names the faulty
# setting of a configuration that is invalid.
#   deployments_test.sh SLOESTACK FOLDER
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
    "$program" check || fail "$file: sloestack check rejects it"
    : >"$scratch/log"
    "$program" serve 2>>"$scratch/log" &
    server=$!
    # Returns as soon as the line appears; the limit only ends a hang.
    timeout 60 grep -q -m1 'serving' <(tail -f -n +1 --pid=$server "$scratch/log") || fail "$file: sloestack serve did not log that it is serving"
    kill -TERM $server
    wait $server || fail "$file: sloestack serve did not exit with code 0 after SIGTERM"
done
sed 's/"non_idempotent"/"at-will"/' "$folder/harbour-stowage.json" >"$scratch/bad.json"
EDGE_CONFIG=$scratch/bad.json
if "$program" check 2>"$scratch/log"; then fail "sloestack check accepts an unknown effect"; fi
grep -q 'classes.0.effect: unknown word at-will' "$scratch/log" || fail "the unknown effect is not named in: $(cat "$scratch/log")"
echo "deployments: passed"
