// Whole files: every damage that a capture can have is reported, and all other streams play.
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

struct Nobody final : conversation::Listener {
    void asked(const conversation::RequestEvent&) override {}
    void answered(const conversation::ResponseEvent&) override {}
};

struct Scratch {
    std::string path = "/tmp/sloestack-recording-" + std::to_string(getpid()) + ".pcap";
    ~Scratch() { std::filesystem::remove(path); }
};

struct Read {
    conversation::Figures figures;
    std::string fault;
};
Read read(const std::string& path, const conversation::RecordingSettings& settings = {}) {
    Nobody nobody;
    conversation::Recording recording(path, conversation::postgres(), settings, nobody);
    while (recording.step()) {
    }
    return {recording.figures(), recording.fault()};
}

emulator::Made made(const std::string& path, std::vector<Damage> damage) {
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

TEST(Recording, AnUndamagedFileIsReadWhole) {
    Scratch scratch;
    const auto of = made(scratch.path, {});
    const auto got = read(scratch.path);
    EXPECT_EQ(got.figures.requests, of.requests);
    EXPECT_EQ(got.figures.streams, of.connections);
    EXPECT_EQ(got.figures.answers.at("served"), of.requests);
    EXPECT_EQ(got.figures.cuts + got.figures.backwards + got.figures.skipped.size(), 0u);
    EXPECT_EQ(got.fault, "");
    // Equal seeds make equal files.
    Scratch again;
    again.path += ".again";
    made(again.path, {});
    std::ifstream a(scratch.path), b(again.path);
    EXPECT_TRUE(std::equal(std::istreambuf_iterator<char>(a), {}, std::istreambuf_iterator<char>(b), {}));
}

struct Case {
    Damage damage;
    std::uint64_t cuts;
    const char* reason;  // in one of them
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

TEST(Recording, EveryDamageIsNamedAndTheOtherStreamsPlay) {
    Scratch scratch;
    made(scratch.path, {});
    const auto whole = read(scratch.path).figures;
    for (const auto& c : kCases) {
        ASSERT_TRUE(made(scratch.path, {c.damage}).not_done.empty());
        const auto f = read(scratch.path).figures;
        const auto what = "damage " + std::to_string(static_cast<int>(c.damage));
        EXPECT_EQ(f.cuts, c.cuts) << what;
        bool named = *c.reason == '\0';
        for (const auto& cut : f.cut) named = named || cut.reason.find(c.reason) != std::string::npos;
        EXPECT_TRUE(named) << what;
        // One stream of twelve or so is struck: the others lose nothing.
        EXPECT_GE(f.answers.at("served"), whole.requests * 8 / 10) << what;
    }
}

TEST(Recording, TheFiguresTellOfWhatIsNoCut) {
    Scratch scratch;
    const auto figures = [&](Damage d) {
        made(scratch.path, {d});
        return read(scratch.path).figures;
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

TEST(Recording, ATruncatedLastRecordIsReportedAndTheRestCounts) {
    Scratch scratch;
    const auto of = made(scratch.path, {});
    std::filesystem::resize_file(scratch.path, std::filesystem::file_size(scratch.path) - 7);
    const auto got = read(scratch.path);
    EXPECT_NE(got.fault.find("truncated"), std::string::npos) << got.fault;
    EXPECT_EQ(got.figures.requests, of.requests);
}

TEST(Recording, OnlyTheServersAskedForArePlayed) {
    Scratch scratch;
    made(scratch.path, {});
    conversation::RecordingSettings settings;
    settings.servers.emplace_back();
    settings.servers[0].address = {10, 0, 0, 99};
    settings.servers[0].port = 5433;
    const auto f = read(scratch.path, settings).figures;
    EXPECT_EQ(f.requests, 0u);
    EXPECT_EQ(f.skipped.at("stream to another server"), f.streams);
}

// Both precisions and both byte orders, and pcapng; written byte by byte, since libpcap writes its own order
// only.
TEST(Recording, FileFormsAreToldApart) {
    Scratch scratch;
    struct Kept final : pcap::Sink {
        std::vector<std::pair<std::int64_t, std::string>> frames;
        void frame(std::int64_t t, std::string_view b, std::uint32_t) override { frames.emplace_back(t, b); }
    } kept;
    emulator::MakeSettings settings;
    settings.length_us = 500'000;
    const auto of = emulator::make(settings, kept);
    const auto put = [](std::string& out, std::uint64_t value, int bytes, bool big) {
        for (int i = 0; i < bytes; ++i)
            out.push_back(static_cast<char>(value >> (8 * (big ? bytes - 1 - i : i))));
    };
    for (const bool big : {false, true}) {
        for (const bool nano : {false, true}) {
            std::string out;
            put(out, nano ? 0xa1b23c4d : 0xa1b2c3d4, 4, big);
            put(out, 2, 2, big), put(out, 4, 2, big), put(out, 0, 8, big), put(out, 262144, 4, big),
                put(out, 1, 4, big);
            for (const auto& [time, bytes] : kept.frames) {
                put(out, static_cast<std::uint64_t>(time / 1'000'000'000), 4, big);
                put(out, static_cast<std::uint64_t>(time % 1'000'000'000 / (nano ? 1 : 1000)), 4, big);
                put(out, bytes.size(), 4, big), put(out, bytes.size(), 4, big);
                out += bytes;
            }
            std::ofstream(scratch.path, std::ios::binary) << out;
            const auto got = read(scratch.path);
            EXPECT_EQ(got.figures.requests, of.requests) << big << nano;
            EXPECT_EQ(got.figures.first_us,
                      settings.begins_us + (*got.figures.first_us - settings.begins_us));
            EXPECT_EQ(*got.figures.first_us, kept.frames[0].first / 1000);
        }
        std::string out;  // pcapng: section header, interface, enhanced packets
        put(out, 0x0a0d0d0a, 4, big), put(out, 28, 4, big), put(out, 0x1a2b3c4d, 4, big), put(out, 1, 2, big),
            put(out, 0, 2, big), put(out, ~0ull, 8, big), put(out, 28, 4, big);
        put(out, 1, 4, big), put(out, 20, 4, big), put(out, 1, 2, big), put(out, 0, 2, big),
            put(out, 262144, 4, big), put(out, 20, 4, big);
        for (const auto& [time, bytes] : kept.frames) {
            const auto padded = (bytes.size() + 3) / 4 * 4;
            const auto us = static_cast<std::uint64_t>(time / 1000);
            put(out, 6, 4, big), put(out, 32 + padded, 4, big), put(out, 0, 4, big),
                put(out, us >> 32, 4, big), put(out, us & 0xffffffff, 4, big), put(out, bytes.size(), 4, big),
                put(out, bytes.size(), 4, big);
            out += bytes + std::string(padded - bytes.size(), '\0');
            put(out, 32 + padded, 4, big);
        }
        std::ofstream(scratch.path, std::ios::binary) << out;
        EXPECT_EQ(read(scratch.path).figures.requests, of.requests) << "pcapng " << big;
    }
}

TEST(Recording, WhatIsNoCaptureIsRefusedWithASentence) {
    Scratch scratch;
    Nobody nobody;
    std::ofstream(scratch.path) << "not a capture at all, but long enough to be read as one";
    EXPECT_THROW(conversation::Recording(scratch.path, conversation::postgres(), {}, nobody),
                 pcap::CaptureFileError);
    EXPECT_THROW(conversation::Recording(scratch.path + ".none", conversation::postgres(), {}, nobody),
                 pcap::CaptureFileError);
    std::string wifi("\xd4\xc3\xb2\xa1\2\0\4\0\0\0\0\0\0\0\0\0\0\0\4\0\x69\0\0\0", 24);
    std::ofstream(scratch.path, std::ios::binary) << wifi;
    try {
        conversation::Recording(scratch.path, conversation::postgres(), {}, nobody);
        FAIL();
    } catch (const pcap::CaptureFileError& error) {
        EXPECT_NE(std::string(error.what()).find("link type"), std::string::npos);
    }
}

TEST(Histogram, QuantilesAreRightToOneInThirtyTwo) {
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
