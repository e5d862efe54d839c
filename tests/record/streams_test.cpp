// TCP streams: whatever order, repetition and loss the packets of a file have, each byte is told once, in
// order, and what is not to be had is named.
#include "streams/streams.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "emulator/values.h"

namespace {

using namespace sloestack;
using namespace sloestack::streams;
using pcap::Segment;
namespace flag = pcap::flag;

struct Seen final : Events {
    std::string client, server;
    std::vector<std::string> log;
    void opened(StreamId id, const Flow&, std::int64_t) override {
        log.push_back("open " + std::to_string(id));
    }
    void bytes(StreamId, Side from, std::string_view b, std::int64_t) override {
        (from == Side::client ? client : server) += b;
    }
    void gap(StreamId, Side from, std::uint64_t offset, Gap why) override {
        log.push_back(std::string(from == Side::client ? "client" : "server") + " gap at " +
                      std::to_string(offset) + ": " + to_text(why));
    }
    void closed(StreamId id, std::int64_t, End how) override {
        log.push_back("close " + std::to_string(id) + ": " + to_text(how));
    }
    bool has(const std::string& text) const { return std::find(log.begin(), log.end(), text) != log.end(); }
};

struct Wire {
    explicit Wire(const Limits& limits = {}, std::uint32_t client = 1000, std::uint32_t server = 9000)
        : streams(limits, seen), isn_client(client), isn_server(server) {}
    Segment of(Side from, std::uint32_t offset, std::string_view payload, std::uint8_t flags = flag::ack) {
        Segment s;
        s.from = from == Side::client ? at(2, port) : at(4, 5433);
        s.to = from == Side::client ? at(4, 5433) : at(2, port);
        s.seq = (from == Side::client ? isn_client : isn_server) + 1 + offset;
        s.flags = flags;
        s.payload = payload;
        s.length = static_cast<std::uint32_t>(payload.size());
        s.time_us = ++time;
        return s;
    }
    void send(Side from, std::uint32_t offset, std::string_view payload, std::uint8_t flags = flag::ack) {
        streams.take(of(from, offset, payload, flags));
    }
    void shake() {
        auto syn = of(Side::client, 0, {}, flag::syn);
        --syn.seq;
        streams.take(syn);
        auto ack = of(Side::server, 0, {}, flag::syn | flag::ack);
        --ack.seq;
        ack.ack = isn_client + 1;
        streams.take(ack);
    }
    static pcap::Endpoint at(std::uint8_t last, std::uint16_t port) {
        pcap::Endpoint e;
        e.address = {10, 0, 0, last};
        e.port = port;
        return e;
    }
    Seen seen;
    Streams streams;
    std::uint32_t isn_client, isn_server;
    std::uint16_t port = 40000;
    std::int64_t time = 0;
};

TEST(Streams, OutOfOrderOverlappingAndRepeatedBytesAreToldOnce) {
    Wire w;
    w.shake();
    w.send(Side::client, 3, "def");
    w.send(Side::client, 0, "abc");
    w.send(Side::client, 2, "cdefgh");
    w.send(Side::client, 0, "abc");
    w.send(Side::server, 0, "yes");
    EXPECT_EQ(w.seen.client, "abcdefgh");
    EXPECT_EQ(w.seen.server, "yes");
    EXPECT_EQ(w.streams.held(), 0u);
    EXPECT_EQ(w.streams.counters().conflicting, 0u);
}

TEST(Streams, SequenceNumbersWrap) {
    Wire w({}, 0xfffffff0, 0xffffffff);
    w.shake();
    std::string sent;
    for (std::uint32_t i = 0; i < 10; ++i) {
        const std::string part(7, static_cast<char>('a' + i));
        w.send(Side::client, i * 7, part);
        sent += part;
    }
    w.send(Side::server, 0, "x");
    EXPECT_EQ(w.seen.client, sent);
    EXPECT_EQ(w.seen.server, "x");
}

TEST(Streams, ARetransmissionWithOtherBytesIsReportedAndTheFirstBytesCount) {
    Wire w;
    w.shake();
    w.send(Side::client, 0, "abc");
    w.send(Side::client, 0, "abX");
    EXPECT_EQ(w.seen.client, "abc");
    EXPECT_EQ(w.streams.counters().conflicting, 1u);
    // The same among what is held behind a hole.
    w.send(Side::client, 6, "ghi");
    w.send(Side::client, 6, "gXi");
    w.send(Side::client, 3, "def");
    EXPECT_EQ(w.seen.client, "abcdefghi");
    EXPECT_EQ(w.streams.counters().conflicting, 2u);
}

TEST(Streams, AHoleThatNeverFillsEndsThatDirectionOnly) {
    Wire w;
    w.shake();
    w.send(Side::client, 0, "abc");
    w.send(Side::client, 6, "ghi");
    w.send(Side::server, 0, "still here");
    w.streams.finish();
    EXPECT_EQ(w.seen.client, "abc");
    EXPECT_EQ(w.seen.server, "still here");
    EXPECT_TRUE(w.seen.has("client gap at 3: a hole that is never filled"));
    EXPECT_EQ(w.streams.held(), 0u);
}

TEST(Streams, AStreamThatBeginsBeforeTheFileIsNotGuessedAt) {
    Wire w;
    w.send(Side::server, 50, "middle");
    w.send(Side::client, 9, "more");
    w.streams.finish();
    EXPECT_EQ(w.seen.client + w.seen.server, "");
    EXPECT_TRUE(w.seen.has("client gap at 0: its beginning is not in the file"));
}

TEST(Streams, TheServersHandshakeAloneTellsWhoIsWho) {
    Wire w;
    auto ack = w.of(Side::server, 0, {}, flag::syn | flag::ack);
    --ack.seq;
    ack.ack = w.isn_client + 1;
    w.streams.take(ack);
    w.send(Side::client, 0, "ask");
    w.send(Side::server, 0, "answer");
    EXPECT_EQ(w.seen.client, "ask");
    EXPECT_EQ(w.seen.server, "answer");
}

TEST(Streams, EndsAreTold) {
    Wire w;
    w.shake();
    w.send(Side::client, 0, "a", flag::ack | flag::fin);
    w.send(Side::server, 0, "b", flag::ack | flag::fin);
    EXPECT_TRUE(w.seen.has("close 1: finished"));
    w.send(Side::client, 2, {});                          // the last acknowledgement begins no stream
    w.send(Side::server, 0, "b", flag::ack | flag::fin);  // nor does a FIN again
    EXPECT_EQ(w.streams.counters().streams, 1u);
    w.port = 40001;
    w.shake();
    w.send(Side::server, 0, {}, flag::rst);
    EXPECT_TRUE(w.seen.has("close 2: reset"));
    w.send(Side::server, 0, "late");
    EXPECT_EQ(w.streams.counters().streams, 2u);
}

TEST(Streams, APortUsedAgainIsANewStream) {
    Wire w;
    w.shake();
    w.send(Side::client, 0, "one");
    w.shake();  // the same SYN again: a retransmission
    EXPECT_EQ(w.streams.counters().streams, 1u);
    w.isn_client = 5000;
    w.shake();
    w.send(Side::client, 0, "two");
    w.streams.finish();
    EXPECT_EQ(w.streams.counters().streams, 2u);
    EXPECT_EQ(w.seen.client, "onetwo");
    EXPECT_TRUE(w.seen.has("close 1: port used again"));
}

TEST(Streams, HalfOpenOnesAreCounted) {
    Wire w;
    auto syn = w.of(Side::client, 0, {}, flag::syn);
    w.streams.take(syn);
    w.streams.finish();
    EXPECT_EQ(w.streams.counters().half_open, 1u);
}

TEST(Streams, ASnapLengthCutsUnlessTheWholeComesLater) {
    Wire w;
    w.shake();
    auto cut = w.of(Side::client, 0, "abc");
    cut.length = 8;
    w.streams.take(cut);
    EXPECT_EQ(w.seen.client, "abc");
    EXPECT_TRUE(w.seen.has("client gap at 3: cut by the snap length"));
    w.port = 40001;
    w.shake();
    auto early = w.of(Side::client, 4, "ef");
    early.length = 4;
    w.streams.take(early);
    w.send(Side::client, 4, "efgh");
    w.send(Side::client, 0, "abcd");
    EXPECT_EQ(w.seen.client, "abcabcdefgh");
}

TEST(Streams, WhatIsHeldIsBounded) {
    Limits limits;
    limits.max_buffered_bytes_per_stream = 1000;
    limits.max_buffered_bytes = 1500;
    Wire w(limits);
    const std::string part(400, 'x');
    for (std::uint16_t port = 1; port <= 8; ++port) {
        w.port = port;
        w.shake();
        for (std::uint32_t i = 0; i < 4; ++i) {
            w.send(Side::client, 10 + i * 400, part);
            ASSERT_LE(w.streams.held(), limits.max_buffered_bytes);
        }
    }
    EXPECT_TRUE(w.seen.has("client gap at 0: too much held behind a hole"));
    w.streams.finish();
    EXPECT_EQ(w.streams.held(), 0u);
}

TEST(Streams, TheOneSilentLongestMakesRoom) {
    Limits limits;
    limits.max_streams = 2;
    Wire w(limits);
    for (const std::uint16_t port : {1, 2}) {
        w.port = port;
        w.shake();
    }
    w.port = 1;
    w.send(Side::client, 0, "alive");
    w.port = 3;
    w.shake();
    EXPECT_TRUE(w.seen.has("close 2: given up"));
    EXPECT_EQ(w.streams.open(), 2u);
}

TEST(Streams, VlansAreIgnoredOrApartAsIsAsked) {
    for (const bool apart : {false, true}) {
        Limits limits;
        limits.vlans_apart = apart;
        Wire w(limits);
        w.shake();
        auto one = w.of(Side::client, 0, "a");
        one.vlan = 10;
        w.streams.take(one);
        auto two = w.of(Side::server, 0, "b");
        two.vlan = 20;
        w.streams.take(two);
        EXPECT_EQ(w.seen.client, apart ? "" : "a");
        EXPECT_EQ(w.seen.server, apart ? "" : "b");
    }
}

// Whatever is cut into segments, put out of order, repeated and overlapped within a window comes out as it
// went in.
TEST(Streams, AnyOrderGivesTheSameBytes) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        emulator::Random random(seed);
        Wire w({}, static_cast<std::uint32_t>(random.next()));
        w.shake();
        std::string sent(static_cast<std::size_t>(random.between(1, 5000)), '\0');
        for (auto& c : sent) c = static_cast<char>(random.next());
        std::vector<std::pair<std::size_t, std::size_t>> parts;
        for (std::size_t at = 0; at < sent.size();) {
            const auto size =
                std::min<std::size_t>(static_cast<std::size_t>(random.between(1, 300)), sent.size() - at);
            const auto back = std::min<std::size_t>(at, static_cast<std::size_t>(random.between(0, 20)));
            parts.emplace_back(at - back, size + back);
            if (random.next() % 8 == 0) parts.push_back(parts.back());
            at += size;
        }
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            std::swap(parts[i],
                      parts[std::min(parts.size() - 1, i + static_cast<std::size_t>(random.between(0, 6)))]);
        for (const auto& [at, size] : parts)
            w.send(Side::client, static_cast<std::uint32_t>(at), std::string_view(sent).substr(at, size));
        ASSERT_EQ(w.seen.client, sent) << "seed " << seed;
        ASSERT_EQ(w.streams.counters().conflicting, 0u);
        ASSERT_EQ(w.streams.held(), 0u);
    }
}

}  // namespace
