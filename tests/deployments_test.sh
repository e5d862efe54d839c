#!/usr/bin/env bash
# The program starts on the configurations of other deployments, and says what is wrong with one that it cannot serve.
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
    "$program" check || fail "$file cannot be served"
    : >"$scratch/log"
    "$program" serve 2>>"$scratch/log" &
    served=$!
    # Ends with the event; the limit is for a hang.
    timeout 60 grep -q -m1 'serving' <(tail -f -n +1 --pid=$served "$scratch/log") || fail "$file is not served"
    kill -TERM $served
    wait $served || fail "$file: has not ended in order"
done
sed 's/"non_idempotent"/"at-will"/' "$folder/harbour-stowage.json" >"$scratch/bad.json"
EDGE_CONFIG=$scratch/bad.json
if "$program" check 2>"$scratch/log"; then fail "an unknown effect is served"; fi
grep -q 'classes.0.effect: unknown word at-will' "$scratch/log" || fail "not told: $(cat "$scratch/log")"
echo "deployments: passed"
