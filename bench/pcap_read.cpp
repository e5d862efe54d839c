// How fast a capture is read, stage by stage, against libpcap's bare read of the same file in the same run.
// Paired: `bench/pcap-read FILE` interleaves the stages at random and repeats them; only the ratios count.
#include <benchmark/benchmark.h>
#include <sys/resource.h>
#include <tins/ethernetII.h>
#include <tins/tcp.h>

#include <cstdio>
#include <string>

#include "conversation/recording.h"

namespace {

using namespace sloestack;
std::string path;

void count(benchmark::State& state, std::uint64_t packets) {
    state.counters["packets"] = benchmark::Counter(static_cast<double>(packets), benchmark::Counter::kIsRate);
}

struct Nobody final : conversation::Listener, streams::Events {
    std::uint64_t requests = 0, bytes_seen = 0;
    void asked(const conversation::Asked&) override { ++requests; }
    void answered(const conversation::Answered&) override {}
    void opened(streams::StreamId, const streams::Flow&, std::int64_t) override {}
    void bytes(streams::StreamId, streams::Side, std::string_view b, std::int64_t) override {
        bytes_seen += b.size();
    }
    void gap(streams::StreamId, streams::Side, std::uint64_t, streams::Gap) override {}
    void closed(streams::StreamId, std::int64_t, streams::End) override {}
};

void bare(benchmark::State& state) {
    for (auto _ : state) {
        pcap::Reader reader(path);
        std::uint64_t packets = 0, sum = 0;
        while (const auto frame = reader.next()) ++packets, sum += frame->bytes.size();
        benchmark::DoNotOptimize(sum);
        count(state, packets);
    }
}
void by_libtins(benchmark::State& state) {
    for (auto _ : state) {
        pcap::Reader reader(path);
        std::uint64_t packets = 0, sum = 0;
        while (const auto frame = reader.next()) {
            ++packets;
            const Tins::EthernetII decoded(reinterpret_cast<const std::uint8_t*>(frame->bytes.data()),
                                           static_cast<std::uint32_t>(frame->bytes.size()));
            if (const auto* tcp = decoded.find_pdu<Tins::TCP>()) sum += tcp->seq();
        }
        benchmark::DoNotOptimize(sum);
        count(state, packets);
    }
}
void by_decode(benchmark::State& state) {
    for (auto _ : state) {
        pcap::Reader reader(path);
        std::uint64_t packets = 0, sum = 0;
        while (const auto frame = reader.next()) {
            ++packets;
            pcap::Segment s;
            if (pcap::decode(reader.link_type(), frame->time_ns / 1000, frame->bytes, s) == pcap::Skip::none)
                sum += s.seq;
        }
        benchmark::DoNotOptimize(sum);
        count(state, packets);
    }
}
void by_streams(benchmark::State& state) {
    for (auto _ : state) {
        pcap::Reader reader(path);
        Nobody nobody;
        streams::Streams all({}, nobody);
        std::uint64_t packets = 0;
        while (const auto frame = reader.next()) {
            ++packets;
            pcap::Segment s;
            if (pcap::decode(reader.link_type(), frame->time_ns / 1000, frame->bytes, s) == pcap::Skip::none)
                all.take(s);
        }
        all.finish();
        count(state, packets);
    }
}
void whole(benchmark::State& state) {
    for (auto _ : state) {
        Nobody nobody;
        conversation::Recording recording(path, conversation::postgres(), {}, nobody);
        while (recording.step()) {
        }
        count(state, recording.figures().packets);
    }
}

}  // namespace

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    if (argc != 2) {
        std::fputs("pcap-read [--benchmark_...] FILE\n", stderr);
        return 2;
    }
    path = argv[1];
    for (const auto& [name, stage] : {std::pair{"bare libpcap", bare},
                                      {"decoded by libtins", by_libtins},
                                      {"decoded here", by_decode},
                                      {"streams", by_streams},
                                      {"conversations", whole}})
        benchmark::RegisterBenchmark(name, stage)->Unit(benchmark::kMillisecond)->UseRealTime();
    benchmark::RunSpecifiedBenchmarks();
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    std::printf("largest resident size: %.1f MB\n", static_cast<double>(used.ru_maxrss) / 1024);
    return 0;
}
