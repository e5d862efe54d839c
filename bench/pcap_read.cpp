// Benchmarks reading a capture, stage by stage, against a read of the same file with libpcap alone. Use the
// ratios only: bench/pcap.sh runs the stages randomly interleaved and repeated, so that the machine's load
// affects all of them alike.
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

void report_packet_rate(benchmark::State& state, std::uint64_t packets) {
    state.counters["packets"] = benchmark::Counter(static_cast<double>(packets), benchmark::Counter::kIsRate);
}

struct CountingListener final : conversation::Listener, streams::Events {
    std::uint64_t requests = 0, bytes_seen = 0;
    void asked(const conversation::RequestEvent&) override { ++requests; }
    void answered(const conversation::ResponseEvent&) override {}
    void opened(streams::StreamId, const streams::Flow&, std::int64_t) override {}
    void bytes(streams::StreamId, streams::Side, std::string_view b, std::int64_t) override {
        bytes_seen += b.size();
    }
    void gap(streams::StreamId, streams::Side, std::uint64_t, streams::Gap) override {}
    void closed(streams::StreamId, std::int64_t, streams::End) override {}
};

void read_frames(benchmark::State& state) {
    for (auto _ : state) {
        pcap::Reader reader(path);
        std::uint64_t packets = 0, sum = 0;
        while (const auto frame = reader.next()) ++packets, sum += frame->bytes.size();
        benchmark::DoNotOptimize(sum);
        report_packet_rate(state, packets);
    }
}
void decode_with_libtins(benchmark::State& state) {
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
        report_packet_rate(state, packets);
    }
}
void decode_segments(benchmark::State& state) {
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
        report_packet_rate(state, packets);
    }
}
void reassemble_streams(benchmark::State& state) {
    for (auto _ : state) {
        pcap::Reader reader(path);
        CountingListener listener;
        streams::Streams reassembler({}, listener);
        std::uint64_t packets = 0;
        while (const auto frame = reader.next()) {
            ++packets;
            pcap::Segment s;
            if (pcap::decode(reader.link_type(), frame->time_ns / 1000, frame->bytes, s) == pcap::Skip::none)
                reassembler.take(s);
        }
        reassembler.finish();
        report_packet_rate(state, packets);
    }
}
void read_conversations(benchmark::State& state) {
    for (auto _ : state) {
        CountingListener listener;
        conversation::Recording recording(path, conversation::postgres(), {}, listener);
        while (recording.step()) {
        }
        report_packet_rate(state, recording.figures().packets);
    }
}

}  // namespace

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    if (argc != 2) {
        std::fputs("usage: pcap_read [--benchmark_...] FILE\n", stderr);
        return 2;
    }
    path = argv[1];
    for (const auto& [name, stage] : {std::pair{"bare libpcap", read_frames},
                                      {"decoded by libtins", decode_with_libtins},
                                      {"decoded by pcap::decode", decode_segments},
                                      {"streams", reassemble_streams},
                                      {"conversations", read_conversations}})
        benchmark::RegisterBenchmark(name, stage)->Unit(benchmark::kMillisecond)->UseRealTime();
    benchmark::RunSpecifiedBenchmarks();
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    std::printf("peak resident size: %.1f MB\n", static_cast<double>(used.ru_maxrss) / 1024);
    return 0;
}
