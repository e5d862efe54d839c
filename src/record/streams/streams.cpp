#include "streams/streams.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>

#include "invariant/invariant.h"

namespace sloestack::streams {
namespace {

using pcap::Segment;
namespace flag = pcap::flag;

// Digests kept of the last delivered segments of a direction, to detect a retransmission with different
// bytes. A sender retransmits unacknowledged segments: 8 segments of 1,460 bytes cover the usual initial
// window (RFC 6928).
constexpr std::size_t kSegmentDigests = 8;
// A segment that is more than this many bytes ahead is not part of the stream: no scaled window is larger
// than 1 GiB.
constexpr std::int64_t kMaxWindowBytes = std::int64_t{1} << 30;
constexpr std::size_t kMaxRecentlyClosed = 4096;  // closed streams that are remembered
constexpr std::int64_t kLateSegmentsUs =
    60'000'000;  // us; twice the usual maximum segment lifetime (RFC 9293, 3.4.1)

}  // namespace

struct Streams::Direction {
    struct SegmentDigest {
        std::uint64_t offset = 0;
        std::uint32_t size = 0;
        std::uint64_t digest = 0;
    };
    std::optional<std::uint32_t> first;             // sequence number of the first byte
    std::uint64_t next = 0;                         // offset of the next byte to deliver
    std::map<std::uint64_t, std::string> buffered;  // segments behind a hole, by offset
    std::size_t buffered_bytes = 0;
    std::optional<std::uint64_t>
        truncated_at;                  // offset at which a buffered segment is truncated by a snap length
    std::optional<std::uint64_t> end;  // offset after the last byte, known from the FIN
    std::array<SegmentDigest, kSegmentDigests> digests{};
    std::size_t next_digest = 0;
    bool has_gap = false;  // a gap was reported, and no more bytes are delivered
};

struct Streams::Stream {
    StreamId id = 0;
    Flow flow;
    Direction client, server;
    std::list<Key>::iterator age;
    std::int64_t last_us = 0;
    bool without_handshake = false,
         server_seen = false;  // began without a SYN; the server has sent a segment

    Direction& direction(Side side) { return side == Side::client ? client : server; }
};

std::size_t Streams::Hash::operator()(const Key& key) const {
    std::array<std::uint8_t, 40> bytes{};
    std::memcpy(bytes.data(), key.low.address.data(), 16);
    std::memcpy(bytes.data() + 16, key.high.address.data(), 16);
    std::memcpy(bytes.data() + 32, &key.low.port, 2);
    std::memcpy(bytes.data() + 34, &key.high.port, 2);
    std::memcpy(bytes.data() + 36, &key.vlan, 2);
    return XXH3_64bits(bytes.data(), bytes.size());
}

Streams::Streams(const Limits& limits, Events& events) : limits_(limits), events_(events) {}
Streams::~Streams() = default;

// The sender of a SYN without ACK is the client, or, if the file has only the SYN-ACK, the receiver of that.
// A stream with neither is reported with a gap in both directions, since its client is unknown.
Streams::Stream& Streams::open_stream(const Key& key, const Segment& s) {
    if (flows_.size() >= limits_.max_streams) {
        const auto oldest = flows_.find(by_last_segment_.front());
        auto& stream = *oldest->second;
        for (const auto side : {Side::client, Side::server}) report_gap(stream, side, Gap::too_many_streams);
        close(oldest, stream.last_us, End::evicted);
    }
    by_last_segment_.push_back(key);
    auto& stream = *flows_.emplace(key, std::make_unique<Stream>()).first->second;
    stream.age = std::prev(by_last_segment_.end());
    stream.id = ++last_id_;
    ++counters_.streams;
    const bool syn = s.flags & flag::syn, ack = s.flags & flag::ack;
    const bool by_server = syn && ack;
    stream.flow.client = by_server ? s.to : s.from;
    stream.flow.server = by_server ? s.from : s.to;
    (by_server ? stream.flow.vlan_server : stream.flow.vlan_client) = s.vlan;
    if (syn) {
        stream.direction(by_server ? Side::server : Side::client).first = s.seq + 1;
        if (by_server) stream.client.first = s.ack;
    }
    stream.without_handshake = !syn;
    events_.opened(stream.id, stream.flow, s.time_us);
    if (stream.without_handshake)
        for (const auto side : {Side::client, Side::server}) report_gap(stream, side, Gap::no_handshake);
    return stream;
}

void Streams::take(const Segment& s) {
    ++counters_.segments;
    const bool forward = s.from < s.to;
    const Key key{forward ? s.from : s.to, forward ? s.to : s.from,
                  limits_.vlans_apart ? s.vlan : std::uint16_t{0}};
    auto found = flows_.find(key);
    const bool syn = s.flags & flag::syn, ack = s.flags & flag::ack;
    if (found != flows_.end() && syn && !ack) {
        auto& old = *found->second;
        // A SYN with the same sequence number is a retransmission; any other begins a new stream.
        if (old.without_handshake || !(old.flow.client == s.from) || old.client.first != s.seq + 1) {
            const bool is_half_closed = old.client.end || old.server.end;
            close(found, s.time_us, is_half_closed ? End::half_closed : End::port_reused);
            found = flows_.end();
        }
    }
    if (found == flows_.end()) {
        // A late segment of a closed stream, or an empty one of a stream that began before the file: no bytes
        // are lost by ignoring it.
        const bool is_late = is_late_segment(key, s.time_us);
        if (!syn && (s.length == 0 || is_late)) {
            // The last acknowledgement of a closed stream is expected and not counted.
            if (!is_late || s.length > 0) ++counters_.stray;
            return;
        }
        open_stream(key, s);
        found = flows_.find(key);
    }
    auto& stream = *found->second;
    stream.last_us = s.time_us;
    by_last_segment_.splice(by_last_segment_.end(), by_last_segment_, stream.age);
    const Side from = s.from == stream.flow.client ? Side::client : Side::server;
    if (from == Side::server) {
        if (!stream.server_seen) stream.flow.vlan_server = s.vlan;
        stream.server_seen = true;
        if (syn && !stream.server.first) stream.server.first = s.seq + 1;
        // If the SYN-ACK is not in the file, the client's acknowledgement has the number of the first byte.
    } else if (ack && !stream.server.first && !stream.without_handshake && !syn) {
        stream.server.first = s.ack;
    }
    if (s.vlan != (from == Side::client ? stream.flow.vlan_client : stream.flow.vlan_server))
        ++counters_.two_vlans;
    if (s.flags & flag::rst) return close(found, s.time_us, End::reset);
    add_data(stream, from, s);
    auto& direction = stream.direction(from);
    if ((s.flags & flag::fin) && direction.first && !direction.end) {
        const auto end = static_cast<std::int64_t>(direction.next) +
                         static_cast<std::int32_t>(
                             s.seq - (*direction.first + static_cast<std::uint32_t>(direction.next))) +
                         s.length;
        direction.end = static_cast<std::uint64_t>(std::max<std::int64_t>(0, end));
    }
    const auto is_complete = [](const Direction& d) { return d.end && (d.has_gap || d.next >= *d.end); };
    if (is_complete(stream.client) && is_complete(stream.server)) close(found, s.time_us, End::finished);
}

void Streams::add_data(Stream& stream, Side from, const Segment& s) {
    auto& direction = stream.direction(from);
    if (direction.has_gap || s.length == 0) return;
    if (!direction.first) return report_gap(stream, from, Gap::no_handshake);
    // Unwraps the 32-bit sequence number by its distance from the expected one.
    const auto distance =
        static_cast<std::int32_t>(s.seq - (*direction.first + static_cast<std::uint32_t>(direction.next)));
    const auto start = static_cast<std::int64_t>(direction.next) + distance + ((s.flags & flag::syn) ? 1 : 0);
    if (start < 0 || distance > kMaxWindowBytes) {
        ++counters_.stray;  // a keep-alive before the first byte, or a foreign segment
        return;
    }
    const auto offset = static_cast<std::uint64_t>(start);
    if (offset > direction.next) {
        ++counters_.out_of_order;
        return buffer_segment(stream, from, offset, s);
    }
    auto bytes = s.payload;
    if (offset < direction.next) {
        const auto repeated_bytes =
            static_cast<std::size_t>(std::min<std::uint64_t>(direction.next - offset, bytes.size()));
        // A keep-alive resends one acknowledged byte (RFC 9293, 3.8.4) and is no retransmission.
        if (s.length > 1 || repeated_bytes > 1) {
            ++counters_.retransmitted;
            compare_retransmission(direction, offset, bytes);
        }
        bytes.remove_prefix(repeated_bytes);
    }
    const bool is_truncated = s.length > s.payload.size();
    if (!bytes.empty()) {
        direction.digests[direction.next_digest++ % kSegmentDigests] = {
            direction.next, static_cast<std::uint32_t>(bytes.size()),
            XXH3_64bits(bytes.data(), bytes.size())};
        direction.next += bytes.size();
        events_.bytes(stream.id, from, bytes, s.time_us);
    }
    if (is_truncated && offset + s.length > direction.next) return report_gap(stream, from, Gap::truncated);
    if (!direction.buffered.empty()) deliver_buffered(stream, from, s.time_us);
}

// Counts a retransmission whose bytes differ from those already delivered, which are not replaced.
void Streams::compare_retransmission(Direction& direction, std::uint64_t offset, std::string_view bytes) {
    for (const auto& segment : direction.digests) {
        if (segment.size == 0 || segment.offset < offset ||
            segment.offset + segment.size > offset + bytes.size())
            continue;
        const auto part = bytes.substr(static_cast<std::size_t>(segment.offset - offset), segment.size);
        if (XXH3_64bits(part.data(), part.size()) != segment.digest) ++counters_.conflicting;
        return;
    }
    ++counters_.uncompared;
}

void Streams::buffer_segment(Stream& stream, Side from, std::uint64_t offset, const Segment& s) {
    auto& direction = stream.direction(from);
    if (s.payload.size() < s.length)
        direction.truncated_at = std::min(direction.truncated_at.value_or(~0ull), offset + s.payload.size());
    if (s.payload.empty()) return;
    const auto [at, is_new] = direction.buffered.try_emplace(offset);
    auto& segment_bytes = at->second;
    const auto common_bytes = std::min(segment_bytes.size(), s.payload.size());
    if (!is_new) {
        ++counters_.retransmitted;
        if (s.payload.substr(0, common_bytes) != std::string_view(segment_bytes).substr(0, common_bytes))
            ++counters_.conflicting;
    }
    if (s.payload.size() <= segment_bytes.size()) return;
    const auto added_bytes = s.payload.size() - segment_bytes.size();
    if (direction.buffered_bytes + added_bytes > limits_.max_buffered_bytes_per_stream ||
        buffered_bytes_ + added_bytes > limits_.max_buffered_bytes) {
        const bool exceeds_stream_limit =
            direction.buffered_bytes + added_bytes > limits_.max_buffered_bytes_per_stream;
        if (is_new) direction.buffered.erase(at);
        return report_gap(stream, from,
                          exceeds_stream_limit ? Gap::stream_buffer_full : Gap::total_buffer_full);
    }
    segment_bytes.append(s.payload.substr(segment_bytes.size()));
    direction.buffered_bytes += added_bytes;
    buffered_bytes_ += added_bytes;
    if (!SLOESTACK_INVARIANT(buffered_bytes_ <= limits_.max_buffered_bytes,
                             "streams hold no more than they may"))
        report_gap(stream, from, Gap::total_buffer_full);
}

void Streams::deliver_buffered(Stream& stream, Side from, std::int64_t time_us) {
    auto& direction = stream.direction(from);
    while (!direction.buffered.empty() && direction.buffered.begin()->first <= direction.next) {
        const auto offset = direction.buffered.begin()->first;
        const auto segment_bytes = std::move(direction.buffered.begin()->second);
        direction.buffered.erase(direction.buffered.begin());
        direction.buffered_bytes -= segment_bytes.size();
        buffered_bytes_ -= segment_bytes.size();
        auto bytes = std::string_view(segment_bytes);
        if (offset < direction.next) {
            compare_retransmission(direction, offset, bytes);
            bytes.remove_prefix(
                static_cast<std::size_t>(std::min<std::uint64_t>(direction.next - offset, bytes.size())));
        }
        if (bytes.empty()) continue;
        direction.digests[direction.next_digest++ % kSegmentDigests] = {
            direction.next, static_cast<std::uint32_t>(bytes.size()),
            XXH3_64bits(bytes.data(), bytes.size())};
        direction.next += bytes.size();
        events_.bytes(stream.id, from, bytes, time_us);
    }
    if (direction.truncated_at && direction.next >= *direction.truncated_at) {
        // A complete retransmission may have been delivered in the meantime.
        if (direction.next == *direction.truncated_at) return report_gap(stream, from, Gap::truncated);
        direction.truncated_at.reset();
    }
}

void Streams::release_buffer(Direction& direction) {
    buffered_bytes_ -= direction.buffered_bytes;
    direction.buffered.clear();
    direction.buffered_bytes = 0;
}

void Streams::report_gap(Stream& stream, Side from, Gap reason) {
    auto& direction = stream.direction(from);
    if (direction.has_gap) return;
    direction.has_gap = true;
    release_buffer(direction);
    events_.gap(stream.id, from, direction.next, reason);
}

void Streams::close(Flows::iterator flow, std::int64_t time_us, End end) {
    auto& stream = *flow->second;
    for (const auto side : {Side::client, Side::server}) {
        auto& direction = stream.direction(side);
        if (direction.has_gap) continue;
        if (!direction.buffered.empty() || direction.truncated_at ||
            (direction.end && direction.next < *direction.end))
            report_gap(stream, side,
                       direction.truncated_at && direction.buffered.empty() ? Gap::truncated : Gap::hole);
    }
    // Streams whose handshake precedes the file are not half open.
    if (!stream.server_seen && !stream.without_handshake) ++counters_.half_open;
    for (const auto side : {Side::client, Side::server}) release_buffer(stream.direction(side));
    if (recently_closed_.emplace(flow->first, time_us).second) closed_by_age_.push_back(flow->first);
    recently_closed_[flow->first] = time_us;
    if (closed_by_age_.size() > kMaxRecentlyClosed) {
        recently_closed_.erase(closed_by_age_.front());
        closed_by_age_.pop_front();
    }
    by_last_segment_.erase(stream.age);
    const auto closed = std::move(flow->second);
    flows_.erase(flow);
    events_.closed(closed->id, time_us, end);
}

bool Streams::is_late_segment(const Key& key, std::int64_t time_us) const {
    const auto found = recently_closed_.find(key);
    return found != recently_closed_.end() && time_us - found->second < kLateSegmentsUs;
}

void Streams::finish() {
    while (!by_last_segment_.empty()) {
        const auto at = flows_.find(by_last_segment_.front());
        const auto& stream = *at->second;
        const bool is_half_closed = stream.client.end || stream.server.end;
        close(at, stream.last_us, is_half_closed ? End::half_closed : End::end_of_file);
    }
}

const char* to_text(Gap reason) {
    switch (reason) {
        case Gap::no_handshake:
            return "its beginning is not in the file";
        case Gap::hole:
            return "a hole that is never filled";
        case Gap::truncated:
            return "cut by the snap length";
        case Gap::stream_buffer_full:
            return "too many bytes buffered behind a hole";
        case Gap::total_buffer_full:
            return "too many bytes buffered behind holes of all streams";
        case Gap::too_many_streams:
            return "too many streams at once";
    }
    return "";
}

const char* to_text(End end) {
    switch (end) {
        case End::finished:
            return "finished";
        case End::half_closed:
            return "half closed";
        case End::reset:
            return "reset";
        case End::port_reused:
            return "port used again";
        case End::end_of_file:
            return "file ends";
        case End::evicted:
            return "given up";
    }
    return "";
}

}  // namespace sloestack::streams
