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

// Digests of the segments told last, to tell a retransmission with other bytes. A sender retransmits what is
// not acknowledged yet: with 8 segments of 1,460 bytes that covers the usual first window (RFC 6928).
constexpr std::size_t kRemembered = 8;
// A sequence number this far from what is expected belongs to no window: no scaled window is larger than 1
// GiB.
constexpr std::int64_t kWindow = std::int64_t{1} << 30;
constexpr std::size_t kMostGone = 4096;          // ended streams that are remembered
constexpr std::int64_t kTailLasts = 60'000'000;  // twice the usual maximum segment lifetime (RFC 9293, 3.4.1)

}  // namespace

struct Streams::Half {
    struct Told {
        std::uint64_t offset = 0;
        std::uint32_t size = 0;
        std::uint64_t digest = 0;
    };
    std::optional<std::uint32_t> first;  // the sequence number of its first byte
    std::uint64_t next = 0;              // offset of the next byte to tell
    std::map<std::uint64_t, std::string> held;
    std::size_t held_bytes = 0;
    std::optional<std::uint64_t> snapped_at;  // from here on bytes were cut off, until retransmitted
    std::optional<std::uint64_t> end;         // offset behind its last byte, once it has said so
    std::array<Told, kRemembered> told{};
    std::size_t told_next = 0;
    bool lost = false;  // a gap was told; nothing more is
};

struct Streams::Stream {
    StreamId id = 0;
    Flow flow;
    Half client, server;
    std::list<Key>::iterator age;
    std::int64_t last_us = 0;
    bool midway = false, answered = false;  // the server has answered the handshake

    Half& half(Side s) { return s == Side::client ? client : server; }
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

// Whoever sends SYN alone is the client. Where only the answer to it is there, its receiver is. A stream that
// neither is seen of has no beginning: which side asks is not guessed at.
Streams::Stream& Streams::begin(const Key& key, const Segment& s) {
    if (flows_.size() >= limits_.max_streams) {
        const auto oldest = flows_.find(by_age_.front());
        auto& stream = *oldest->second;
        for (const auto side : {Side::client, Side::server}) lose(stream, side, Gap::too_many);
        close(oldest, stream.last_us, End::given_up);
    }
    by_age_.push_back(key);
    auto& stream = *flows_.emplace(key, std::make_unique<Stream>()).first->second;
    stream.age = std::prev(by_age_.end());
    stream.id = ++last_;
    ++counters_.streams;
    const bool syn = s.flags & flag::syn, ack = s.flags & flag::ack;
    const bool by_server = syn && ack;
    stream.flow.client = by_server ? s.to : s.from;
    stream.flow.server = by_server ? s.from : s.to;
    (by_server ? stream.flow.vlan_server : stream.flow.vlan_client) = s.vlan;
    if (syn) {
        stream.half(by_server ? Side::server : Side::client).first = s.seq + 1;
        if (by_server) stream.client.first = s.ack;
    }
    stream.midway = !syn;
    events_.opened(stream.id, stream.flow, s.time_us);
    if (stream.midway)
        for (const auto side : {Side::client, Side::server}) lose(stream, side, Gap::begins_midway);
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
        // The same SYN again is a retransmission; any other begins a new stream on the same ports.
        if (old.midway || !(old.flow.client == s.from) || old.client.first != s.seq + 1) {
            const bool half = old.client.end || old.server.end;
            close(found, s.time_us, half ? End::half_closed : End::reused);
            found = flows_.end();
        }
    }
    if (found == flows_.end()) {
        // The last word of a stream that is over, or of one that began before the file: no bytes are lost
        // with it.
        const bool tail = is_tail(key, s.time_us);
        if (!syn && (s.length == 0 || tail)) {
            // The last acknowledgement of a stream that has ended in order is no news.
            if (!tail || s.length > 0) ++counters_.stray;
            return;
        }
        begin(key, s);
        found = flows_.find(key);
    }
    auto& stream = *found->second;
    stream.last_us = s.time_us;
    by_age_.splice(by_age_.end(), by_age_, stream.age);
    const Side from = s.from == stream.flow.client ? Side::client : Side::server;
    if (from == Side::server) {
        if (!stream.answered) stream.flow.vlan_server = s.vlan;
        stream.answered = true;
        if (syn && !stream.server.first) stream.server.first = s.seq + 1;
        // The server's SYN is not in the file, but its first byte's place can be told from the client's word.
    } else if (ack && !stream.server.first && !stream.midway && !syn) {
        stream.server.first = s.ack;
    }
    if (s.vlan != (from == Side::client ? stream.flow.vlan_client : stream.flow.vlan_server))
        ++counters_.two_vlans;
    if (s.flags & flag::rst) return close(found, s.time_us, End::reset);
    data(stream, from, s);
    auto& half = stream.half(from);
    if ((s.flags & flag::fin) && half.first && !half.end) {
        const auto end =
            static_cast<std::int64_t>(half.next) +
            static_cast<std::int32_t>(s.seq - (*half.first + static_cast<std::uint32_t>(half.next))) +
            s.length;
        half.end = static_cast<std::uint64_t>(std::max<std::int64_t>(0, end));
    }
    const auto over = [](const Half& h) { return h.end && (h.lost || h.next >= *h.end); };
    if (over(stream.client) && over(stream.server)) close(found, s.time_us, End::finished);
}

void Streams::data(Stream& stream, Side from, const Segment& s) {
    auto& half = stream.half(from);
    if (half.lost || s.length == 0) return;
    if (!half.first) return lose(stream, from, Gap::begins_midway);
    // 32 bits of a sequence number, unwrapped by their distance from what is expected.
    const auto shift =
        static_cast<std::int32_t>(s.seq - (*half.first + static_cast<std::uint32_t>(half.next)));
    const auto start = static_cast<std::int64_t>(half.next) + shift + ((s.flags & flag::syn) ? 1 : 0);
    if (start < 0 || shift > kWindow) {
        ++counters_.stray;  // a keep-alive before the first byte, or no segment of this stream
        return;
    }
    const auto offset = static_cast<std::uint64_t>(start);
    if (offset > half.next) {
        ++counters_.out_of_order;
        return hold(stream, from, offset, s);
    }
    auto bytes = s.payload;
    if (offset < half.next) {
        const auto again =
            static_cast<std::size_t>(std::min<std::uint64_t>(half.next - offset, bytes.size()));
        // One byte behind what was acknowledged is how a connection is kept alive (RFC 9293, 3.8.4).
        if (s.length > 1 || again > 1) {
            ++counters_.retransmitted;
            compare(half, offset, bytes);
        }
        bytes.remove_prefix(again);
    }
    const bool snapped = s.length > s.payload.size();
    if (!bytes.empty()) {
        half.told[half.told_next++ % kRemembered] = {half.next, static_cast<std::uint32_t>(bytes.size()),
                                                     XXH3_64bits(bytes.data(), bytes.size())};
        half.next += bytes.size();
        events_.bytes(stream.id, from, bytes, s.time_us);
    }
    if (snapped && offset + s.length > half.next) return lose(stream, from, Gap::snapped);
    if (!half.held.empty()) deliver_held(stream, from, s.time_us);
}

// The first bytes told stand, since whoever read the stream read those; that others came is counted.
void Streams::compare(Half& half, std::uint64_t offset, std::string_view bytes) {
    for (const auto& told : half.told) {
        if (told.size == 0 || told.offset < offset || told.offset + told.size > offset + bytes.size())
            continue;
        const auto part = bytes.substr(static_cast<std::size_t>(told.offset - offset), told.size);
        if (XXH3_64bits(part.data(), part.size()) != told.digest) ++counters_.conflicting;
        return;
    }
    ++counters_.uncompared;
}

void Streams::hold(Stream& stream, Side from, std::uint64_t offset, const Segment& s) {
    auto& half = stream.half(from);
    if (s.payload.size() < s.length)
        half.snapped_at = std::min(half.snapped_at.value_or(~0ull), offset + s.payload.size());
    if (s.payload.empty()) return;
    const auto [at, fresh] = half.held.try_emplace(offset);
    auto& kept = at->second;
    const auto same = std::min(kept.size(), s.payload.size());
    if (!fresh) {
        ++counters_.retransmitted;
        if (s.payload.substr(0, same) != std::string_view(kept).substr(0, same)) ++counters_.conflicting;
    }
    if (s.payload.size() <= kept.size()) return;
    const auto more = s.payload.size() - kept.size();
    if (half.held_bytes + more > limits_.max_buffered_bytes_per_stream ||
        held_ + more > limits_.max_buffered_bytes) {
        const bool own = half.held_bytes + more > limits_.max_buffered_bytes_per_stream;
        if (fresh) half.held.erase(at);
        return lose(stream, from, own ? Gap::too_much_held : Gap::all_too_much);
    }
    kept.append(s.payload.substr(kept.size()));
    half.held_bytes += more;
    held_ += more;
    if (!SLOESTACK_INVARIANT(held_ <= limits_.max_buffered_bytes, "streams hold no more than they may"))
        lose(stream, from, Gap::all_too_much);
}

void Streams::deliver_held(Stream& stream, Side from, std::int64_t time_us) {
    auto& half = stream.half(from);
    while (!half.held.empty() && half.held.begin()->first <= half.next) {
        const auto offset = half.held.begin()->first;
        const auto kept = std::move(half.held.begin()->second);
        half.held.erase(half.held.begin());
        half.held_bytes -= kept.size();
        held_ -= kept.size();
        auto bytes = std::string_view(kept);
        if (offset < half.next) {
            compare(half, offset, bytes);
            bytes.remove_prefix(
                static_cast<std::size_t>(std::min<std::uint64_t>(half.next - offset, bytes.size())));
        }
        if (bytes.empty()) continue;
        half.told[half.told_next++ % kRemembered] = {half.next, static_cast<std::uint32_t>(bytes.size()),
                                                     XXH3_64bits(bytes.data(), bytes.size())};
        half.next += bytes.size();
        events_.bytes(stream.id, from, bytes, time_us);
    }
    if (half.snapped_at && half.next >= *half.snapped_at) {
        // Unless what was cut has come whole in the meantime.
        if (half.next == *half.snapped_at) return lose(stream, from, Gap::snapped);
        half.snapped_at.reset();
    }
}

void Streams::forget(Half& half) {
    held_ -= half.held_bytes;
    half.held.clear();
    half.held_bytes = 0;
}

void Streams::lose(Stream& stream, Side from, Gap why) {
    auto& half = stream.half(from);
    if (half.lost) return;
    half.lost = true;
    forget(half);
    events_.gap(stream.id, from, half.next, why);
}

void Streams::close(Flows::iterator at, std::int64_t time_us, End how) {
    auto& stream = *at->second;
    for (const auto side : {Side::client, Side::server}) {
        auto& half = stream.half(side);
        if (half.lost) continue;
        if (!half.held.empty() || half.snapped_at || (half.end && half.next < *half.end))
            lose(stream, side, half.snapped_at && half.held.empty() ? Gap::snapped : Gap::hole);
    }
    // Guards the count of half-open ones against streams whose handshake is merely older than the file.
    if (!stream.answered && !stream.midway) ++counters_.half_open;
    for (const auto side : {Side::client, Side::server}) forget(stream.half(side));
    if (gone_.emplace(at->first, time_us).second) gone_by_age_.push_back(at->first);
    gone_[at->first] = time_us;
    if (gone_by_age_.size() > kMostGone) {
        gone_.erase(gone_by_age_.front());
        gone_by_age_.pop_front();
    }
    by_age_.erase(stream.age);
    const auto gone = std::move(at->second);
    flows_.erase(at);
    events_.closed(gone->id, time_us, how);
}

bool Streams::is_tail(const Key& key, std::int64_t time_us) const {
    const auto found = gone_.find(key);
    return found != gone_.end() && time_us - found->second < kTailLasts;
}

void Streams::finish() {
    while (!by_age_.empty()) {
        const auto at = flows_.find(by_age_.front());
        const auto& stream = *at->second;
        const bool half = stream.client.end || stream.server.end;
        close(at, stream.last_us, half ? End::half_closed : End::file_ends);
    }
}

const char* to_text(Gap why) {
    switch (why) {
        case Gap::begins_midway:
            return "its beginning is not in the file";
        case Gap::hole:
            return "a hole that is never filled";
        case Gap::snapped:
            return "cut by the snap length";
        case Gap::too_much_held:
            return "too much held behind a hole";
        case Gap::all_too_much:
            return "too much held behind holes in all";
        case Gap::too_many:
            return "too many streams at once";
    }
    return "";
}

const char* to_text(End how) {
    switch (how) {
        case End::finished:
            return "finished";
        case End::half_closed:
            return "half closed";
        case End::reset:
            return "reset";
        case End::reused:
            return "port used again";
        case End::file_ends:
            return "file ends";
        case End::given_up:
            return "given up";
    }
    return "";
}

}  // namespace sloestack::streams
