// Tests the reading of capture files: each kind of damage is reported, and does not affect other streams.
#include "conversation/recording.h"

#include <gtest/gtest.h>
#include <pcap/pcap.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "emulator/make.h"
#include "histogram/histogram.h"

namespace {

using namespace sloestack;
using emulator::Damage;

struct NullListener final : conversation::Listener {
    void asked(const conversation::RequestEvent&) override {}
    void answered(const conversation::ResponseEvent&) override {}
};

struct TemporaryFile {
    std::string path = "/tmp/sloestack-recording-" + std::to_string(getpid()) + ".pcap";
    ~TemporaryFile() { std::filesystem::remove(path); }
};

struct ReadResult {
    conversation::Figures figures;
    std::string fault;
};
ReadResult read(const std::string& path, const conversation::RecordingSettings& settings = {}) {
    NullListener listener;
    conversation::Recording recording(path, conversation::postgres(), settings, listener);
    while (recording.step()) {
    }
    return {recording.figures(), recording.fault()};
}

emulator::RecordingReport make_capture(const std::string& path, std::vector<Damage> damage) {
    emulator::MakeSettings settings;
    settings.length_us = 12'000'000;
    settings.rate = 60;
    settings.clients = 12;
    settings.damage = std::move(damage);
    pcap::File file(path);
    const auto out = emulator::make(settings, file);
    file.close();
    return out;
}

TEST(Recording, ReadsAnUndamagedFileCompletely) {
    TemporaryFile file;
    const auto expected = make_capture(file.path, {});
    const auto result = read(file.path);
    EXPECT_EQ(result.figures.requests, expected.requests);
    EXPECT_EQ(result.figures.streams, expected.connections);
    EXPECT_EQ(result.figures.answers.at("served"), expected.requests);
    EXPECT_EQ(result.figures.cuts + result.figures.backwards + result.figures.skipped.size(), 0u);
    EXPECT_EQ(result.fault, "");
    // The same seed produces the same file.
    TemporaryFile again;
    again.path += ".again";
    make_capture(again.path, {});
    std::ifstream a(file.path), b(again.path);
    EXPECT_TRUE(std::equal(std::istreambuf_iterator<char>(a), {}, std::istreambuf_iterator<char>(b), {}));
}

struct Case {
    Damage damage;
    std::uint64_t cuts;
    const char* reason;  // contained in the reason of at least one cut
};
const Case kCases[] = {{Damage::cut_head, 2, "its beginning is not in the file"},
                       {Damage::cut_tail, 1, "inside a message: the stream ends"},
                       {Damage::cut_length, 1, "inside a length word: the stream ends"},
                       {Damage::cut_answer, 1, "inside a message: the stream ends"},
                       {Damage::cut_answer_length, 1, "inside a length word: the stream ends"},
                       {Damage::cut_value, 1, "inside a large value"},
                       {Damage::hole, 2, "a hole that is never filled"},
                       {Damage::hole_answer, 1, "a hole that is never filled"},
                       {Damage::snap, 1, "cut by the snap length"},
                       {Damage::retransmit, 0, ""},
                       {Damage::retransmit_other, 0, ""},
                       {Damage::overlap, 0, ""},
                       {Damage::reorder, 0, ""},
                       {Damage::wrap, 0, ""},
                       {Damage::vlans, 0, ""},
                       {Damage::rst, 0, ""},
                       {Damage::half_open, 0, ""},
                       {Damage::lost_answer, 0, ""},
                       {Damage::two_ids, 0, ""},
                       {Damage::backwards_1us, 0, ""},
                       {Damage::backwards_2s, 0, ""},
                       {Damage::backwards_stream, 0, ""}};

TEST(Recording, ReportsEachDamageAndReadsTheOtherStreams) {
    TemporaryFile file;
    make_capture(file.path, {});
    const auto whole = read(file.path).figures;
    for (const auto& c : kCases) {
        ASSERT_TRUE(make_capture(file.path, {c.damage}).unapplied_damage.empty());
        const auto f = read(file.path).figures;
        const auto what = "damage " + std::to_string(static_cast<int>(c.damage));
        EXPECT_EQ(f.cuts, c.cuts) << what;
        bool is_reported = *c.reason == '\0';
        for (const auto& cut : f.cut)
            is_reported = is_reported || cut.reason.find(c.reason) != std::string::npos;
        EXPECT_TRUE(is_reported) << what;
        // One of about twelve streams is damaged; the others are read completely.
        EXPECT_GE(f.answers.at("served"), whole.requests * 8 / 10) << what;
    }
}

TEST(Recording, CountsDamageThatCutsNoStream) {
    TemporaryFile file;
    const auto figures = [&](Damage d) {
        make_capture(file.path, {d});
        return read(file.path).figures;
    };
    EXPECT_EQ(figures(Damage::retransmit_other).tcp.conflicting, 1u);
    EXPECT_EQ(figures(Damage::half_open).tcp.half_open, 1u);
    EXPECT_EQ(figures(Damage::two_ids).doubled_ids, 1u);
    EXPECT_EQ(figures(Damage::rst).ends.at("reset"), 1u);
    EXPECT_EQ(figures(Damage::lost_answer).answers.at("none"), 1u);
    auto f = figures(Damage::backwards_1us);
    EXPECT_EQ(f.backwards, 1u);
    EXPECT_EQ(f.farthest_back_us, 1);
    EXPECT_EQ(figures(Damage::backwards_2s).farthest_back_us, 2'000'000);
    EXPECT_GT(figures(Damage::backwards_stream).backwards, 10u);
}

TEST(Recording, ReportsATruncatedLastRecordAndReadsTheRest) {
    TemporaryFile file;
    const auto expected = make_capture(file.path, {});
    std::filesystem::resize_file(file.path, std::filesystem::file_size(file.path) - 7);
    const auto result = read(file.path);
    EXPECT_NE(result.fault.find("truncated"), std::string::npos) << result.fault;
    EXPECT_EQ(result.figures.requests, expected.requests);
}

TEST(Recording, ReadsOnlyStreamsToTheGivenServers) {
    TemporaryFile file;
    make_capture(file.path, {});
    conversation::RecordingSettings settings;
    settings.servers.emplace_back();
    settings.servers[0].address = {10, 0, 0, 99};
    settings.servers[0].port = 5433;
    const auto f = read(file.path, settings).figures;
    EXPECT_EQ(f.requests, 0u);
    EXPECT_EQ(f.skipped.at("stream to another server"), f.streams);
}

// Both timestamp precisions, both byte orders, and pcapng. The files are built byte by byte, since libpcap
// writes only the byte order of the host.
TEST(Recording, ReadsEveryFileFormat) {
    TemporaryFile file;
    struct FrameStore final : pcap::Sink {
        std::vector<std::pair<std::int64_t, std::string>> frames;
        void frame(std::int64_t t, std::string_view b, std::uint32_t) override { frames.emplace_back(t, b); }
    } store;
    emulator::MakeSettings settings;
    settings.length_us = 500'000;
    const auto expected = emulator::make(settings, store);
    const auto append = [](std::string& out, std::uint64_t value, int bytes, bool big_endian) {
        for (int i = 0; i < bytes; ++i)
            out.push_back(static_cast<char>(value >> (8 * (big_endian ? bytes - 1 - i : i))));
    };
    for (const bool big_endian : {false, true}) {
        for (const bool nanoseconds : {false, true}) {
            std::string out;
            append(out, nanoseconds ? 0xa1b23c4d : 0xa1b2c3d4, 4, big_endian);
            append(out, 2, 2, big_endian), append(out, 4, 2, big_endian), append(out, 0, 8, big_endian),
                append(out, 262144, 4, big_endian), append(out, 1, 4, big_endian);
            for (const auto& [time, bytes] : store.frames) {
                append(out, static_cast<std::uint64_t>(time / 1'000'000'000), 4, big_endian);
                append(out, static_cast<std::uint64_t>(time % 1'000'000'000 / (nanoseconds ? 1 : 1000)), 4,
                       big_endian);
                append(out, bytes.size(), 4, big_endian), append(out, bytes.size(), 4, big_endian);
                out += bytes;
            }
            std::ofstream(file.path, std::ios::binary) << out;
            const auto result = read(file.path);
            EXPECT_EQ(result.figures.requests, expected.requests) << big_endian << nanoseconds;
            EXPECT_EQ(result.figures.first_us,
                      settings.begins_us + (*result.figures.first_us - settings.begins_us));
            EXPECT_EQ(*result.figures.first_us, store.frames[0].first / 1000);
        }
        std::string out;  // pcapng: section header, interface, enhanced packets
        append(out, 0x0a0d0d0a, 4, big_endian), append(out, 28, 4, big_endian),
            append(out, 0x1a2b3c4d, 4, big_endian), append(out, 1, 2, big_endian),
            append(out, 0, 2, big_endian), append(out, ~0ull, 8, big_endian), append(out, 28, 4, big_endian);
        append(out, 1, 4, big_endian), append(out, 20, 4, big_endian), append(out, 1, 2, big_endian),
            append(out, 0, 2, big_endian), append(out, 262144, 4, big_endian), append(out, 20, 4, big_endian);
        for (const auto& [time, bytes] : store.frames) {
            const auto padded = (bytes.size() + 3) / 4 * 4;
            const auto us = static_cast<std::uint64_t>(time / 1000);
            append(out, 6, 4, big_endian), append(out, 32 + padded, 4, big_endian),
                append(out, 0, 4, big_endian), append(out, us >> 32, 4, big_endian),
                append(out, us & 0xffffffff, 4, big_endian), append(out, bytes.size(), 4, big_endian),
                append(out, bytes.size(), 4, big_endian);
            out += bytes + std::string(padded - bytes.size(), '\0');
            append(out, 32 + padded, 4, big_endian);
        }
        std::ofstream(file.path, std::ios::binary) << out;
        EXPECT_EQ(read(file.path).figures.requests, expected.requests) << "pcapng " << big_endian;
    }
}

TEST(Recording, RejectsFilesThatAreNotCaptures) {
    TemporaryFile file;
    NullListener listener;
    std::ofstream(file.path) << "not a capture at all, but long enough to be read as one";
    EXPECT_THROW(conversation::Recording(file.path, conversation::postgres(), {}, listener),
                 pcap::CaptureFileError);
    EXPECT_THROW(conversation::Recording(file.path + ".none", conversation::postgres(), {}, listener),
                 pcap::CaptureFileError);
    std::string wifi("\xd4\xc3\xb2\xa1\2\0\4\0\0\0\0\0\0\0\0\0\0\0\4\0\x69\0\0\0", 24);
    std::ofstream(file.path, std::ios::binary) << wifi;
    try {
        conversation::Recording(file.path, conversation::postgres(), {}, listener);
        FAIL();
    } catch (const pcap::CaptureFileError& error) {
        EXPECT_NE(std::string(error.what()).find("link type"), std::string::npos);
    }
}

TEST(Histogram, QuantilesHaveAnErrorOfAtMostOneInThirtyTwo) {
    histogram::Histogram h;
    EXPECT_EQ(h.quantile(0.5), 0);
    for (int i = 1; i <= 100'000; ++i) h.add(i);
    for (const double share : {0.01, 0.5, 0.9, 0.99, 1.0}) {
        const auto exact = share * 100'000;
        EXPECT_GE(static_cast<double>(h.quantile(share)), exact);
        EXPECT_LE(static_cast<double>(h.quantile(share)), exact * (1 + 1.0 / 32) + 1);
    }
    EXPECT_EQ(h.max(), 100'000);
    h.add(-5);
    h.add(std::int64_t{1} << 50);
    EXPECT_EQ(h.count(), 100'002u);
}

}  // namespace
