#!/usr/bin/env bash
# Runs scenarios of the fault harness with one or two builds of sloestack, alternating for each seed, and writes one JSON
# report per run to FOLDER, for `sloestackctl fleet compare`. The machine should be otherwise idle.
#   fleet.sh FOLDER "SCENARIO..." "SIZE..." "SEED..." NAME=PROGRAM [NAME=PROGRAM]
# SCENARIO: name of a file in fault_harness/scenarios, without .json. SIZE: number of proxies; sizes up to 100 run in
# parallel. A run whose report exists already is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
ctl=${SLOESTACKCTL:-build/sloestackctl}
folder=$1 scenarios=$2 sizes=$3 seeds=$4
shift 4
mkdir -p "$folder"
run_scenario() {  # NAME PROGRAM SCENARIO SIZE SEED
    local out="$folder/$1.$3.$4.$5.json"
    [ -s "$out" ] || "$ctl" fleet run "fault_harness/scenarios/$3.json" --proxies "$4" --seed "$5" --program "$2" --json \
        >"$out" 2>"$out.err" || echo "sloestackctl fleet run exited with code $?: $out.err"
}
for seed in $seeds; do
    for scenario in $scenarios; do
        for build in "$@"; do
            parallel_runs=()
            for size in $sizes; do
                if [ "$size" -le 100 ]; then
                    run_scenario "${build%%=*}" "${build#*=}" "$scenario" "$size" "$seed" &
                    parallel_runs+=($!)
                fi
            done
            [ ${#parallel_runs[@]} -eq 0 ] || wait "${parallel_runs[@]}"
            for size in $sizes; do
                [ "$size" -le 100 ] || run_scenario "${build%%=*}" "${build#*=}" "$scenario" "$size" "$seed"
            done
        done
    done
done
