#include "targets.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include "conversation/recording.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"

namespace sloestack::fuzz {
namespace {

constexpr std::size_t kSmall = 64 * 1024;  // bounds that a fuzzer can reach

void must(bool condition) {
    if (!condition) std::abort();
}

struct Nobody final : conversation::Listener {
    void asked(const conversation::Asked& a) override { must(a.bytes.size() >= 5); }
    void answered(const conversation::Answered&) override {}
};

// Holds the streams to what they promise: nothing before the opening, nothing behind a gap or the end.
struct Strict final : streams::Events {
    struct One {
        std::uint64_t told[2] = {0, 0};
        bool lost[2] = {false, false};
    };
    std::unordered_map<streams::StreamId, One> open;
    void opened(streams::StreamId id, const streams::Flow&, std::int64_t) override {
        must(open.emplace(id, One{}).second);
    }
    void bytes(streams::StreamId id, streams::Side from, std::string_view b, std::int64_t) override {
        auto& one = open.at(id);
        must(!b.empty() && !one.lost[static_cast<int>(from)]);
        one.told[static_cast<int>(from)] += b.size();
    }
    void gap(streams::StreamId id, streams::Side from, std::uint64_t offset, streams::Gap) override {
        auto& one = open.at(id);
        must(!one.lost[static_cast<int>(from)] && offset == one.told[static_cast<int>(from)]);
        one.lost[static_cast<int>(from)] = true;
    }
    void closed(streams::StreamId id, std::int64_t, streams::End) override { must(open.erase(id) == 1); }
};

}  // namespace

void capture(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return;
    auto* file = fmemopen(const_cast<std::uint8_t*>(data), size, "rb");
    if (!file) return;
    conversation::RecordingSettings settings;
    settings.streams.most_held = settings.streams.most_held_by_one = kSmall;
    settings.streams.most_streams = 16;
    settings.most_unfinished = kSmall;
    Nobody nobody;
    try {
        conversation::Recording recording(file, "input", conversation::postgres(), settings, nobody);
        while (recording.step()) must(recording.held() <= 2 * kSmall);
        must(recording.held() == 0);
    } catch (const pcap::BadFile&) {
    }
}

// Twelve bytes a segment: ports, flags, sequence number, length and how much of it is there.
void segments(const std::uint8_t* data, std::size_t size) {
    streams::Limits limits;
    limits.most_held = 4096;
    limits.most_held_by_one = 2048;
    limits.most_streams = 4;
    Strict strict;
    streams::Streams all(limits, strict);
    const std::string payload(256, 'p');
    for (std::size_t at = 0; at + 12 <= size; at += 12) {
        const auto* b = data + at;
        pcap::Segment s;
        s.time_us = static_cast<std::int64_t>(at);
        s.from.port = static_cast<std::uint16_t>(b[0] % 8);
        s.to.port = static_cast<std::uint16_t>(b[1] % 8);
        s.flags = b[2] & 31;
        s.vlan = b[3] % 2;
        s.seq = static_cast<std::uint32_t>(b[4] << 24 | b[5] << 16 | b[6] << 8 | b[7]);
        s.ack = static_cast<std::uint32_t>(b[8] << 8 | b[9]);
        s.length = b[10];
        s.payload = std::string_view(payload).substr(0, std::min<std::size_t>(b[11], b[10]));
        all.take(s);
        must(all.held() <= limits.most_held && all.open() <= limits.most_streams);
    }
    all.finish();
    must(all.held() == 0 && strict.open.empty());
}

// A length and a side before each piece.
void conversation(const std::uint8_t* data, std::size_t size) {
    conversation::Memory memory;
    memory.most = kSmall;
    Nobody nobody;
    const auto dialect = conversation::postgres().begin(1, memory, nobody);
    for (std::size_t at = 0; at + 1 < size;) {
        const auto side = data[at] & 1 ? conversation::Side::server : conversation::Side::client;
        const auto length = std::min<std::size_t>(data[at] >> 1, size - at - 1);
        dialect->read(side, {reinterpret_cast<const char*>(data + at + 1), length},
                      static_cast<std::int64_t>(at));
        must(memory.held <= memory.most);
        at += 1 + length;
    }
    dialect->over(9);
    must(memory.held == 0 && dialect->unanswered() == 0);
}

namespace {

// Holds the reader to what it promises: values in the order of the columns, pieces only inside a value.
struct Tokens final : tds::TokenEvents {
    std::size_t columns_now = 0, next = 0;
    bool in_value = false;
    void columns(const std::vector<tds::Column>& c) override { columns_now = next = c.size(); }
    void row() override {
        must(next == columns_now);
        next = 0;
    }
    void value(std::size_t c, std::optional<std::string_view>) override { must(!in_value && c == next++); }
    void begin_value(std::size_t c, std::optional<std::uint64_t>) override {
        must(!in_value && c == next++);
        in_value = true;
    }
    void value_chunk(std::string_view b) override { must(in_value && !b.empty()); }
    void end_value() override {
        must(in_value);
        in_value = false;
    }
    void error(const tds::ErrorOrInfo&) override {}
    void done(const tds::Done&) override { must(!in_value); }
};

}  // namespace

// Packets as they come; whole messages of a client are read by their type, a server's as they come.
void tds_messages(const std::uint8_t* data, std::size_t size) {
    std::string_view left(reinterpret_cast<const char*>(data), size);
    tds::PacketReader packets;
    Tokens tokens;
    tds::TokenReader reader(tokens);
    std::string message;
    try {
        while (const auto part = packets.next(left)) {
            left.remove_prefix(part->size);
            if (part->type == tds::PacketType::result) {
                reader.read(part->payload);
                must(reader.buffered_bytes() <= tds::kMaxBufferedTokenBytes);
                continue;
            }
            message.append(part->payload);
            if (!part->is_last) continue;
            if (part->type == tds::PacketType::prelogin) tds::read_prelogin(message);
            if (part->type == tds::PacketType::login) tds::read_login(message);
            if (part->type == tds::PacketType::batch) tds::read_batch(message);
            if (part->type == tds::PacketType::rpc) tds::read_rpc(message);
            message.clear();
        }
    } catch (const tds::ProtocolError&) {
    }
}

}  // namespace sloestack::fuzz
