#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Writes what was sent, answered and run to record.txt. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
program=$root/build-review/case$(basename "$case_folder")
if [[ ! -x $program ]]; then
    echo "run review/build.sh first"
    exit 2
fi
timeout --signal=KILL 115 "$program" "$case_folder/record.txt" "$root"
result=$?
[[ $result -le 2 ]] || result=2 # it was ended: the case could not run
exit "$result"
