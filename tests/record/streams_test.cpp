// Tests TCP reassembly: each byte is delivered once and in order whatever the order, repetition and loss of
// segments, and missing bytes are reported with the reason.
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

// Collects the delivered bytes, and the other events as text.
struct EventLog final : Events {
    std::string client, server;
    std::vector<std::string> lines;
    void opened(StreamId id, const Flow&, std::int64_t) override {
        lines.push_back("open " + std::to_string(id));
    }
    void bytes(StreamId, Side from, std::string_view b, std::int64_t) override {
        (from == Side::client ? client : server) += b;
    }
    void gap(StreamId, Side from, std::uint64_t offset, Gap why) override {
        lines.push_back(std::string(from == Side::client ? "client" : "server") + " gap at " +
                        std::to_string(offset) + ": " + to_text(why));
    }
    void closed(StreamId id, std::int64_t, End how) override {
        lines.push_back("close " + std::to_string(id) + ": " + to_text(how));
    }
    bool has(const std::string& text) const {
        return std::find(lines.begin(), lines.end(), text) != lines.end();
    }
};

// Builds the segments of one connection and passes them to Streams.
struct Connection {
    explicit Connection(const Limits& limits = {}, std::uint32_t client = 1000, std::uint32_t server = 9000)
        : streams(limits, log), isn_client(client), isn_server(server) {}
    Segment segment(Side from, std::uint32_t offset, std::string_view payload,
                    std::uint8_t flags = flag::ack) {
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
        streams.take(segment(from, offset, payload, flags));
    }
    void handshake() {
        auto syn = segment(Side::client, 0, {}, flag::syn);
        --syn.seq;
        streams.take(syn);
        auto ack = segment(Side::server, 0, {}, flag::syn | flag::ack);
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
    EventLog log;
    Streams streams;
    std::uint32_t isn_client, isn_server;
    std::uint16_t port = 40000;
    std::int64_t time = 0;
};

TEST(Streams, DeliversReorderedOverlappingAndRepeatedBytesOnce) {
    Connection connection;
    connection.handshake();
    connection.send(Side::client, 3, "def");
    connection.send(Side::client, 0, "abc");
    connection.send(Side::client, 2, "cdefgh");
    connection.send(Side::client, 0, "abc");
    connection.send(Side::server, 0, "yes");
    EXPECT_EQ(connection.log.client, "abcdefgh");
    EXPECT_EQ(connection.log.server, "yes");
    EXPECT_EQ(connection.streams.held(), 0u);
    EXPECT_EQ(connection.streams.counters().conflicting, 0u);
}

TEST(Streams, HandlesWrappingSequenceNumbers) {
    Connection connection({}, 0xfffffff0, 0xffffffff);
    connection.handshake();
    std::string sent;
    for (std::uint32_t i = 0; i < 10; ++i) {
        const std::string part(7, static_cast<char>('a' + i));
        connection.send(Side::client, i * 7, part);
        sent += part;
    }
    connection.send(Side::server, 0, "x");
    EXPECT_EQ(connection.log.client, sent);
    EXPECT_EQ(connection.log.server, "x");
}

TEST(Streams, CountsConflictingRetransmissionsAndKeepsTheFirstBytes) {
    Connection connection;
    connection.handshake();
    connection.send(Side::client, 0, "abc");
    connection.send(Side::client, 0, "abX");
    EXPECT_EQ(connection.log.client, "abc");
    EXPECT_EQ(connection.streams.counters().conflicting, 1u);
    // The same for segments buffered behind a hole.
    connection.send(Side::client, 6, "ghi");
    connection.send(Side::client, 6, "gXi");
    connection.send(Side::client, 3, "def");
    EXPECT_EQ(connection.log.client, "abcdefghi");
    EXPECT_EQ(connection.streams.counters().conflicting, 2u);
}

TEST(Streams, EndsOnlyTheDirectionThatHasAHole) {
    Connection connection;
    connection.handshake();
    connection.send(Side::client, 0, "abc");
    connection.send(Side::client, 6, "ghi");
    connection.send(Side::server, 0, "still here");
    connection.streams.finish();
    EXPECT_EQ(connection.log.client, "abc");
    EXPECT_EQ(connection.log.server, "still here");
    EXPECT_TRUE(connection.log.has("client gap at 3: a hole that is never filled"));
    EXPECT_EQ(connection.streams.held(), 0u);
}

TEST(Streams, DeliversNothingOfAStreamWithoutHandshake) {
    Connection connection;
    connection.send(Side::server, 50, "middle");
    connection.send(Side::client, 9, "more");
    connection.streams.finish();
    EXPECT_EQ(connection.log.client + connection.log.server, "");
    EXPECT_TRUE(connection.log.has("client gap at 0: its beginning is not in the file"));
}

TEST(Streams, IdentifiesTheClientByTheSynAckAlone) {
    Connection connection;
    auto ack = connection.segment(Side::server, 0, {}, flag::syn | flag::ack);
    --ack.seq;
    ack.ack = connection.isn_client + 1;
    connection.streams.take(ack);
    connection.send(Side::client, 0, "ask");
    connection.send(Side::server, 0, "answer");
    EXPECT_EQ(connection.log.client, "ask");
    EXPECT_EQ(connection.log.server, "answer");
}

TEST(Streams, ReportsHowAStreamEnds) {
    Connection connection;
    connection.handshake();
    connection.send(Side::client, 0, "a", flag::ack | flag::fin);
    connection.send(Side::server, 0, "b", flag::ack | flag::fin);
    EXPECT_TRUE(connection.log.has("close 1: finished"));
    connection.send(Side::client, 2, {});  // the last acknowledgement does not begin a stream
    connection.send(Side::server, 0, "b", flag::ack | flag::fin);  // nor does a repeated FIN
    EXPECT_EQ(connection.streams.counters().streams, 1u);
    connection.port = 40001;
    connection.handshake();
    connection.send(Side::server, 0, {}, flag::rst);
    EXPECT_TRUE(connection.log.has("close 2: reset"));
    connection.send(Side::server, 0, "late");
    EXPECT_EQ(connection.streams.counters().streams, 2u);
}

TEST(Streams, BeginsANewStreamWhenAPortIsReused) {
    Connection connection;
    connection.handshake();
    connection.send(Side::client, 0, "one");
    connection.handshake();  // the same SYN, retransmitted
    EXPECT_EQ(connection.streams.counters().streams, 1u);
    connection.isn_client = 5000;
    connection.handshake();
    connection.send(Side::client, 0, "two");
    connection.streams.finish();
    EXPECT_EQ(connection.streams.counters().streams, 2u);
    EXPECT_EQ(connection.log.client, "onetwo");
    EXPECT_TRUE(connection.log.has("close 1: port used again"));
}

TEST(Streams, CountsHalfOpenStreams) {
    Connection connection;
    auto syn = connection.segment(Side::client, 0, {}, flag::syn);
    connection.streams.take(syn);
    connection.streams.finish();
    EXPECT_EQ(connection.streams.counters().half_open, 1u);
}

TEST(Streams, ReportsTruncatedSegmentsUnlessRetransmittedInFull) {
    Connection connection;
    connection.handshake();
    auto cut = connection.segment(Side::client, 0, "abc");
    cut.length = 8;
    connection.streams.take(cut);
    EXPECT_EQ(connection.log.client, "abc");
    EXPECT_TRUE(connection.log.has("client gap at 3: cut by the snap length"));
    connection.port = 40001;
    connection.handshake();
    auto early = connection.segment(Side::client, 4, "ef");
    early.length = 4;
    connection.streams.take(early);
    connection.send(Side::client, 4, "efgh");
    connection.send(Side::client, 0, "abcd");
    EXPECT_EQ(connection.log.client, "abcabcdefgh");
}

TEST(Streams, BoundsBufferedBytes) {
    Limits limits;
    limits.max_buffered_bytes_per_stream = 1000;
    limits.max_buffered_bytes = 1500;
    Connection connection(limits);
    const std::string part(400, 'x');
    for (std::uint16_t port = 1; port <= 8; ++port) {
        connection.port = port;
        connection.handshake();
        for (std::uint32_t i = 0; i < 4; ++i) {
            connection.send(Side::client, 10 + i * 400, part);
            ASSERT_LE(connection.streams.held(), limits.max_buffered_bytes);
        }
    }
    EXPECT_TRUE(connection.log.has("client gap at 0: too many bytes buffered behind a hole"));
    connection.streams.finish();
    EXPECT_EQ(connection.streams.held(), 0u);
}

TEST(Streams, EvictsTheStreamThatIsIdleLongest) {
    Limits limits;
    limits.max_streams = 2;
    Connection connection(limits);
    for (const std::uint16_t port : {1, 2}) {
        connection.port = port;
        connection.handshake();
    }
    connection.port = 1;
    connection.send(Side::client, 0, "alive");
    connection.port = 3;
    connection.handshake();
    EXPECT_TRUE(connection.log.has("close 2: given up"));
    EXPECT_EQ(connection.streams.open(), 2u);
}

TEST(Streams, SeparatesVlansOnlyIfConfigured) {
    for (const bool apart : {false, true}) {
        Limits limits;
        limits.vlans_apart = apart;
        Connection connection(limits);
        connection.handshake();
        auto one = connection.segment(Side::client, 0, "a");
        one.vlan = 10;
        connection.streams.take(one);
        auto two = connection.segment(Side::server, 0, "b");
        two.vlan = 20;
        connection.streams.take(two);
        EXPECT_EQ(connection.log.client, apart ? "" : "a");
        EXPECT_EQ(connection.log.server, apart ? "" : "b");
    }
}

// Random data, cut into segments that are reordered, repeated and overlapped within a window, is reassembled
// unchanged.
TEST(Streams, ReassemblesRandomSegmentOrders) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        emulator::Random random(seed);
        Connection connection({}, static_cast<std::uint32_t>(random.next()));
        connection.handshake();
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
            connection.send(Side::client, static_cast<std::uint32_t>(at),
                            std::string_view(sent).substr(at, size));
        ASSERT_EQ(connection.log.client, sent) << "seed " << seed;
        ASSERT_EQ(connection.streams.counters().conflicting, 0u);
        ASSERT_EQ(connection.streams.held(), 0u);
    }
}

}  // namespace
