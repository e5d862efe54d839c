// Reassembles the TCP streams of a capture file: delivers the bytes of each direction once and in order, and
// reports where bytes are missing. Does no I/O: takes segments and emits events. Memory is bounded for each
// stream and in total. Source: RFC 9293 for sequence numbers and states. docs/design/pcap.md compares this
// with libtins' stream follower.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pcap/packet.h"

namespace sloestack::streams {

using StreamId = std::uint64_t;  // counts from 1 in the order in which streams begin
enum class Side { client, server };
constexpr Side other(Side side) { return side == Side::client ? Side::server : Side::client; }

// Why bytes of one direction of a stream are missing. After a gap no more bytes of that direction are
// delivered.
enum class Gap {
    no_handshake,        // the stream's handshake is not in the file
    hole,                // bytes are missing from the file, although later ones are present
    truncated,           // a snap length truncated the segment
    stream_buffer_full,  // the bytes behind a hole exceed Limits::max_buffered_bytes_per_stream
    total_buffer_full,   // the bytes behind holes of all streams exceed Limits::max_buffered_bytes
    too_many_streams     // Limits::max_streams are open; the one that was idle longest is evicted
};
const char* to_text(Gap reason);

enum class End {
    finished,     // both sides have sent a FIN
    half_closed,  // one side has sent a FIN before the file ended or the port was reused
    reset,
    port_reused,  // a new SYN came on the same addresses and ports, and no side had sent a FIN
    end_of_file,
    evicted  // see Gap::too_many_streams
};
const char* to_text(End end);

struct Flow {
    pcap::Endpoint client, server;
    std::uint16_t vlan_client = 0, vlan_server = 0;  // of the first segment from each side
};

// Receives what Streams finds, during take() and finish().
class Events {
public:
    virtual void opened(StreamId id, const Flow& flow, std::int64_t time_us) = 0;
    // The next bytes of a direction; valid only during the call.
    virtual void bytes(StreamId id, Side from, std::string_view bytes, std::int64_t time_us) = 0;
    // `offset`: number of bytes of that direction delivered before the gap.
    virtual void gap(StreamId id, Side from, std::uint64_t offset, Gap reason) = 0;
    virtual void closed(StreamId id, std::int64_t time_us, End end) = 0;

protected:
    ~Events() = default;
};

struct Limits {
    std::size_t max_buffered_bytes = 16 * 1024 * 1024;  // bytes buffered behind holes, over all streams
    std::size_t max_buffered_bytes_per_stream =
        1024 * 1024;                  // the largest TCP window without scaling is 64 KiB
    std::size_t max_streams = 65536;  // open at once; each takes some 400 bytes
    bool vlans_apart = false;         // equal addresses and ports on two VLANs are two streams
};

struct Counters {
    std::uint64_t segments = 0, streams = 0, retransmitted = 0;
    std::uint64_t conflicting = 0;  // retransmitted with different bytes; the first ones are delivered
    std::uint64_t uncompared = 0;   // retransmitted, and the digest of the first bytes is gone
    std::uint64_t out_of_order = 0, two_vlans = 0, half_open = 0, stray = 0;
};

class Streams {
public:
    Streams(const Limits& limits, Events& events);
    ~Streams();
    Streams(const Streams&) = delete;
    Streams& operator=(const Streams&) = delete;

    void take(const pcap::Segment& segment);
    // Ends all open streams; to be called at the end of the file.
    void finish();
    const Counters& counters() const { return counters_; }
    std::size_t held() const {
        return buffered_bytes_;
    }  // bytes buffered behind holes, at most max_buffered_bytes
    std::size_t open() const { return flows_.size(); }  // number of open streams

private:
    struct Key {
        pcap::Endpoint low, high;
        std::uint16_t vlan = 0;
        bool operator==(const Key& other) const {
            return low == other.low && high == other.high && vlan == other.vlan;
        }
    };
    struct Hash {
        std::size_t operator()(const Key& key) const;
    };
    struct Direction;
    struct Stream;
    using Flows = std::unordered_map<Key, std::unique_ptr<Stream>, Hash>;

    Stream& open_stream(const Key& key, const pcap::Segment& segment);
    void add_data(Stream& stream, Side from, const pcap::Segment& segment);
    void deliver_buffered(Stream& stream, Side from, std::int64_t time_us);
    void buffer_segment(Stream& stream, Side from, std::uint64_t offset, const pcap::Segment& segment);
    void report_gap(Stream& stream, Side from, Gap reason);
    void compare_retransmission(Direction& direction, std::uint64_t offset, std::string_view bytes);
    void close(Flows::iterator flow, std::int64_t time_us, End end);
    void release_buffer(Direction& direction);
    bool is_late_segment(const Key& key, std::int64_t time_us) const;

    Limits limits_;
    Events& events_;
    Counters counters_;
    Flows flows_;
    std::list<Key> by_last_segment_;  // open streams in the order of their last segment, the oldest first
    // End times of recently closed streams: later segments of one do not begin a new stream.
    std::unordered_map<Key, std::int64_t, Hash> recently_closed_;
    std::list<Key> closed_by_age_;
    std::size_t buffered_bytes_ = 0;
    StreamId last_id_ = 0;
};

}  // namespace sloestack::streams
