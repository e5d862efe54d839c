#!/usr/bin/env bash
# Plays scenarios of the fault harness with one or two builds of sloestack, seed by seed in turn, and leaves a JSON report a run in
# a folder, for `sloestackctl fleet compare`. Nothing else should run beside it.
#   fleet.sh FOLDER "SCENARIO..." "SIZE..." "SEED..." NAME=PROGRAM [NAME=PROGRAM]
# SCENARIO: a file's name under fault_harness/scenarios without its ending. Sizes up to 100 are played side by side.
set -euo pipefail
cd "$(dirname "$0")/.."
ctl=${SLOESTACKCTL:-build/sloestackctl}
folder=$1 scenarios=$2 sizes=$3 seeds=$4
shift 4
mkdir -p "$folder"
play() {  # NAME PROGRAM SCENARIO SIZE SEED
    local out="$folder/$1.$3.$4.$5.json"
    [ -s "$out" ] || "$ctl" fleet run "fault_harness/scenarios/$3.json" --proxies "$4" --seed "$5" --program "$2" --json \
        >"$out" 2>"$out.err" || echo "exit code $?: $out"
}
for seed in $seeds; do
    for scenario in $scenarios; do
        for build in "$@"; do
            beside=()
            for size in $sizes; do
                if [ "$size" -le 100 ]; then
                    play "${build%%=*}" "${build#*=}" "$scenario" "$size" "$seed" &
                    beside+=($!)
                fi
            done
            [ ${#beside[@]} -eq 0 ] || wait "${beside[@]}"
            for size in $sizes; do
                [ "$size" -le 100 ] || play "${build%%=*}" "${build#*=}" "$scenario" "$size" "$seed"
            done
        done
    done
done
