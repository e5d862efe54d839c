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

constexpr std::size_t kMemoryLimitBytes = 64 * 1024;  // small enough for a fuzzer to reach

void require(bool condition) {
    if (!condition) std::abort();
}

struct CheckingListener final : conversation::Listener {
    void asked(const conversation::RequestEvent& request) override { require(request.bytes.size() >= 5); }
    void answered(const conversation::ResponseEvent&) override {}
};

// Checks the order of stream events: no event before a stream is opened or after it is closed, and no bytes
// of a direction after a gap.
struct CheckingStreamEvents final : streams::Events {
    struct Stream {
        std::uint64_t received_bytes[2] = {0, 0};
        bool has_gap[2] = {false, false};
    };
    std::unordered_map<streams::StreamId, Stream> open;
    void opened(streams::StreamId id, const streams::Flow&, std::int64_t) override {
        require(open.emplace(id, Stream{}).second);
    }
    void bytes(streams::StreamId id, streams::Side from, std::string_view bytes, std::int64_t) override {
        auto& stream = open.at(id);
        require(!bytes.empty() && !stream.has_gap[static_cast<int>(from)]);
        stream.received_bytes[static_cast<int>(from)] += bytes.size();
    }
    void gap(streams::StreamId id, streams::Side from, std::uint64_t offset, streams::Gap) override {
        auto& stream = open.at(id);
        require(!stream.has_gap[static_cast<int>(from)] &&
                offset == stream.received_bytes[static_cast<int>(from)]);
        stream.has_gap[static_cast<int>(from)] = true;
    }
    void closed(streams::StreamId id, std::int64_t, streams::End) override { require(open.erase(id) == 1); }
};

}  // namespace

void capture(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return;
    auto* file = fmemopen(const_cast<std::uint8_t*>(data), size, "rb");
    if (!file) return;
    conversation::RecordingSettings settings;
    settings.streams.max_buffered_bytes = settings.streams.max_buffered_bytes_per_stream = kMemoryLimitBytes;
    settings.streams.max_streams = 16;
    settings.max_incomplete_bytes = kMemoryLimitBytes;
    CheckingListener listener;
    try {
        conversation::Recording recording(file, "input", conversation::postgres(), settings, listener);
        while (recording.step()) require(recording.held() <= 2 * kMemoryLimitBytes);
        require(recording.held() == 0);
    } catch (const pcap::CaptureFileError&) {
    }
}

// Each segment is 12 bytes: ports, flags, VLAN, sequence and acknowledgement number, length, and how many
// bytes of the payload were captured.
void segments(const std::uint8_t* data, std::size_t size) {
    streams::Limits limits;
    limits.max_buffered_bytes = 4096;
    limits.max_buffered_bytes_per_stream = 2048;
    limits.max_streams = 4;
    CheckingStreamEvents events;
    streams::Streams all_streams(limits, events);
    const std::string payload(256, 'p');
    for (std::size_t at = 0; at + 12 <= size; at += 12) {
        const auto* input = data + at;
        pcap::Segment segment;
        segment.time_us = static_cast<std::int64_t>(at);
        segment.from.port = static_cast<std::uint16_t>(input[0] % 8);
        segment.to.port = static_cast<std::uint16_t>(input[1] % 8);
        segment.flags = input[2] & 31;
        segment.vlan = input[3] % 2;
        segment.seq = static_cast<std::uint32_t>(input[4] << 24 | input[5] << 16 | input[6] << 8 | input[7]);
        segment.ack = static_cast<std::uint32_t>(input[8] << 8 | input[9]);
        segment.length = input[10];
        segment.payload = std::string_view(payload).substr(0, std::min<std::size_t>(input[11], input[10]));
        all_streams.take(segment);
        require(all_streams.held() <= limits.max_buffered_bytes && all_streams.open() <= limits.max_streams);
    }
    all_streams.finish();
    require(all_streams.held() == 0 && events.open.empty());
}

// Each chunk follows a byte with its length and the side that sends it.
void conversation(const std::uint8_t* data, std::size_t size) {
    conversation::Memory memory;
    memory.most = kMemoryLimitBytes;
    CheckingListener listener;
    const auto dialect = conversation::postgres().begin(1, memory, listener);
    for (std::size_t at = 0; at + 1 < size;) {
        const auto side = data[at] & 1 ? conversation::Side::server : conversation::Side::client;
        const auto length = std::min<std::size_t>(data[at] >> 1, size - at - 1);
        dialect->read(side, {reinterpret_cast<const char*>(data + at + 1), length},
                      static_cast<std::int64_t>(at));
        require(memory.held <= memory.most);
        at += 1 + length;
    }
    dialect->over(9);
    require(memory.held == 0 && dialect->unanswered() == 0);
}

namespace {

// Checks the order of token events: values in the order of the columns, and chunks only inside a value.
struct CheckingTokenEvents final : tds::TokenEvents {
    std::size_t column_count = 0, next_column = 0;
    bool is_inside_value = false;
    void columns(const std::vector<tds::Column>& columns) override {
        column_count = next_column = columns.size();
    }
    void row() override {
        require(next_column == column_count);
        next_column = 0;
    }
    void value(std::size_t column, std::optional<std::string_view>) override {
        require(!is_inside_value && column == next_column++);
    }
    void begin_value(std::size_t column, std::optional<std::uint64_t>) override {
        require(!is_inside_value && column == next_column++);
        is_inside_value = true;
    }
    void value_chunk(std::string_view bytes) override { require(is_inside_value && !bytes.empty()); }
    void end_value() override {
        require(is_inside_value);
        is_inside_value = false;
    }
    void error(const tds::ErrorOrInfo&) override {}
    void done(const tds::Done&) override { require(!is_inside_value); }
};

}  // namespace

// A payload from the server is passed to the token reader at once; a message of a client is parsed when
// complete.
void tds_messages(const std::uint8_t* data, std::size_t size) {
    std::string_view left(reinterpret_cast<const char*>(data), size);
    tds::PacketReader packets;
    CheckingTokenEvents events;
    tds::TokenReader reader(events);
    std::string message;
    try {
        while (const auto packet = packets.next(left)) {
            left.remove_prefix(packet->size);
            if (packet->type == tds::PacketType::result) {
                reader.read(packet->payload);
                require(reader.buffered_bytes() <= tds::kMaxBufferedTokenBytes);
                continue;
            }
            message.append(packet->payload);
            if (!packet->is_last) continue;
            if (packet->type == tds::PacketType::prelogin) tds::read_prelogin(message);
            if (packet->type == tds::PacketType::login) tds::read_login(message);
            if (packet->type == tds::PacketType::batch) tds::read_batch(message);
            if (packet->type == tds::PacketType::rpc) tds::read_rpc(message);
            message.clear();
        }
    } catch (const tds::ProtocolError&) {
    }
}

}  // namespace sloestack::fuzz
