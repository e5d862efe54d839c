#!/usr/bin/env bash
# Benchmarks the handling of recordings: read throughput compared with libpcap alone, memory as a function of file size,
# and the lateness of replayed requests at three rates. The machine should be otherwise idle. Takes about six minutes and
# 1.1 GB of disk in FOLDER (default: /tmp).
#   bench/pcap.sh [FOLDER [read|memory|late]]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d "${1:-/tmp}/sloestack-bench-XXXXXX")
demo_pid=
trap '[ -z "$demo_pid" ] || kill "$demo_pid" 2>/dev/null; rm -rf "$folder"' EXIT
cmake -S . -B build-bench -DCMAKE_BUILD_TYPE=Release -DSLOESTACK_BENCH=ON >/dev/null
cmake --build build-bench -j"$(nproc)" >/dev/null
ctl=build-bench/sloestackctl
only=${2:-}

if [ "${only:-read}" = read ]; then
echo "== read throughput, stages interleaved at random, five repetitions"
$ctl pcap make --minutes 5 --rate 2000 --clients 200 -o "$folder/read.pcap"
build-bench/pcap_read --benchmark_enable_random_interleaving=true --benchmark_repetitions=5 \
    --benchmark_report_aggregates_only=true "$folder/read.pcap" 2>/dev/null | grep -E "median|resident"
rm "$folder/read.pcap"
fi

if [ "${only:-memory}" = memory ]; then
echo "== memory: peak resident size of pcap info by file size"
for minutes in 1.6 6.4 14; do
    $ctl pcap make --minutes $minutes --rate 2000 --clients 2000 -o "$folder/size.pcap" >/dev/null
    python3 - "$ctl" "$folder/size.pcap" <<'P'
import os, resource, subprocess, sys
subprocess.run([sys.argv[1], "pcap", "info", sys.argv[2], "--json"], stdout=subprocess.DEVNULL)
print(f"{os.path.getsize(sys.argv[2]) / 2**20:8.0f} MiB file: {resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024:6.1f} MiB")
P
    rm "$folder/size.pcap"
done

fi
if [ "${only:-late}" = late ]; then
echo "== lateness of sends in microseconds, of requests that neither ordering nor a limit delayed; three alternating runs,"
echo "== through the proxy and directly to an endpoint, which keeps up with all three rates (its responses have more parameters)"
$ctl demo --seconds 0.5 --rate 50 --stay --work 0:0 --banks 4 --members 3 >"$folder/demo" &
demo_pid=$!
until grep -q psql "$folder/demo"; do sleep 0.1; done
proxy=$(sed -n 's/.*proxy at \([0-9.:]*\),.*/\1/p' "$folder/demo")
endpoint=$(sed -n 's/.*first replica group is at \([0-9.:]*\),.*/\1/p' "$folder/demo")
for rate in 200 2000 20000; do
    $ctl pcap make --minutes 0.17 --rate $rate --clients $((rate / 10)) --groups 4 -o "$folder/late-$rate.pcap" >/dev/null
done
for run in 1 2 3; do
    for rate in 200 2000 20000; do
        for to in proxy=$proxy direct=$endpoint; do
            $ctl pcap replay "$folder/late-$rate.pcap" --to "${to#*=}" --json >"$folder/report" || true
            python3 - "$folder/report" $rate "$run" "${to%%=*}" <<'P'
import json, resource, sys
r = json.load(open(sys.argv[1]))
own, all_ = r["own_late_us"], r["late_us"]
print(f"{sys.argv[4]:>7} {sys.argv[2]:>6}/s run {sys.argv[3]}: p50 {own['p50']:>6} p99 {own['p99']:>7} of {own['count']:>6};"
      f" with delayed ones p99 {all_['p99']:>7}; sent {r['sent']}, causes {r['causes']}")
P
        done
    done
done
fi
