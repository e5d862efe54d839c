// Writes conversations as the packets that would have carried them: handshake, segments with the
// acknowledgements of the other side, FINs or a reset; sequence numbers and checksums as a reader of captures
// expects them. Pure but for the sink that it writes to.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "pcap/file.h"

namespace sloestack::writer {

using ConnectionId = std::uint64_t;
enum class Side { client, server };

struct Settings {
    std::size_t most_payload = 1460;  // bytes of a segment: Ethernet's 1,500 less two heads of 20
    std::uint64_t seed = 1;           // of the first sequence numbers
    std::uint16_t vlan_client = 0, vlan_server = 0;  // tags of what each side sends; 0: none
};

class Writer {
public:
    Writer(const Settings& settings, pcap::Sink& sink) : settings_(settings), sink_(sink) {}

    // Times are Unix microseconds and stand in the file as they are given.
    void open(ConnectionId connection, const pcap::Endpoint& client, const pcap::Endpoint& server,
              std::int64_t at_us);
    void data(ConnectionId connection, Side from, std::string_view bytes, std::int64_t at_us);
    void finish(ConnectionId connection, Side first, std::int64_t at_us);  // FINs of both sides
    void reset(ConnectionId connection, Side from, std::int64_t at_us);
    void set_first_sequence(std::uint32_t client, std::uint32_t server);  // of connections opened from now on
    std::size_t open_connections() const { return connections_.size(); }

private:
    struct Connection {
        pcap::Endpoint client, server;
        std::uint32_t next_client = 0, next_server = 0;
    };
    void segment(Connection& c, Side from, std::uint8_t flags, std::string_view payload, std::int64_t at_us);

    Settings settings_;
    pcap::Sink& sink_;
    std::unordered_map<ConnectionId, Connection> connections_;
    bool first_given_ = false;
    std::uint32_t first_client_ = 0, first_server_ = 0;
};

}  // namespace sloestack::writer
