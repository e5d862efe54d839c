// TCP streams out of segments that a file holds: each direction's bytes in order, once, with every place
// named where that is not to be had. Pure: segments go in, events come out; memory is bounded in all and by
// stream. Sources: RFC 9293 for sequence numbers and states. docs/design/pcap.md weighs this against libtins'
// follower.
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

using StreamId = std::uint64_t;  // counted from 1 in the order in which streams begin
enum class Side { client, server };
constexpr Side other(Side s) { return s == Side::client ? Side::server : Side::client; }

// Why bytes of a stream are not to be had. After one of these nothing more of that direction is told.
enum class Gap {
    begins_midway,  // its handshake is not in the file
    hole,           // bytes that the file lacks, though later ones are there
    snapped,        // a snap length cut them
    too_much_held,  // more waits behind a hole than a stream may hold
    all_too_much,   // the same for all streams together
    too_many        // streams at once; the one that was silent longest is given up
};
const char* to_text(Gap why);

enum class End {
    finished,     // both sides have said so
    half_closed,  // one side has; the file ends, or its port is used again
    reset,
    reused,  // its port is used again, and nothing was said before
    file_ends,
    given_up  // see Gap::too_many
};
const char* to_text(End how);

struct Flow {
    pcap::Endpoint client, server;
    std::uint16_t vlan_client = 0, vlan_server = 0;  // as first seen of each side
};

class Events {
public:
    virtual void opened(StreamId id, const Flow& flow, std::int64_t time_us) = 0;
    // The next bytes of a direction; good during the call only.
    virtual void bytes(StreamId id, Side from, std::string_view bytes, std::int64_t time_us) = 0;
    // `offset`: bytes of that direction told before.
    virtual void gap(StreamId id, Side from, std::uint64_t offset, Gap why) = 0;
    virtual void closed(StreamId id, std::int64_t time_us, End how) = 0;

protected:
    ~Events() = default;
};

struct Limits {
    std::size_t max_buffered_bytes = 16 * 1024 * 1024;        // bytes behind holes, all streams
    std::size_t max_buffered_bytes_per_stream = 1024 * 1024;  // the largest window without scaling is 64 KiB
    std::size_t max_streams = 65536;                          // some 400 bytes each
    bool vlans_apart = false;                                 // equal addresses on two VLANs are two streams
};

struct Counters {
    std::uint64_t segments = 0, streams = 0, retransmitted = 0;
    std::uint64_t conflicting = 0;  // retransmitted with other bytes; the first ones count
    std::uint64_t uncompared = 0;   // retransmitted, and the first bytes are no longer at hand
    std::uint64_t out_of_order = 0, two_vlans = 0, half_open = 0, stray = 0;
};

class Streams {
public:
    Streams(const Limits& limits, Events& events);
    ~Streams();
    Streams(const Streams&) = delete;
    Streams& operator=(const Streams&) = delete;

    void take(const pcap::Segment& segment);
    void finish();  // the file is over
    const Counters& counters() const { return counters_; }
    std::size_t held() const { return held_; }  // never more than the limit
    std::size_t open() const { return flows_.size(); }

private:
    struct Key {
        pcap::Endpoint low, high;
        std::uint16_t vlan = 0;
        bool operator==(const Key& o) const { return low == o.low && high == o.high && vlan == o.vlan; }
    };
    struct Hash {
        std::size_t operator()(const Key& key) const;
    };
    struct Half;
    struct Stream;
    using Flows = std::unordered_map<Key, std::unique_ptr<Stream>, Hash>;

    Stream& begin(const Key& key, const pcap::Segment& s);
    void data(Stream& stream, Side from, const pcap::Segment& s);
    void deliver_held(Stream& stream, Side from, std::int64_t time_us);
    void hold(Stream& stream, Side from, std::uint64_t offset, const pcap::Segment& s);
    void lose(Stream& stream, Side from, Gap why);
    void compare(Half& half, std::uint64_t offset, std::string_view bytes);
    void close(Flows::iterator at, std::int64_t time_us, End how);
    void forget(Half& half);
    bool is_tail(const Key& key, std::int64_t time_us) const;

    Limits limits_;
    Events& events_;
    Counters counters_;
    Flows flows_;
    std::list<Key> by_age_;  // of the last segment, the oldest first
    // Streams that have ended lately: what still comes of one is its tail, not a stream that begins midway.
    std::unordered_map<Key, std::int64_t, Hash> gone_;
    std::list<Key> gone_by_age_;
    std::size_t held_ = 0;
    StreamId last_ = 0;
};

}  // namespace sloestack::streams
