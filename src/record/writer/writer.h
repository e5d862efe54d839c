// Writes connections as TCP packets: the handshake, data segments with the acknowledgements of the other
// side, and FINs or a reset, with consistent sequence numbers and valid checksums. Does no I/O except through
// the sink.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "pcap/file.h"

namespace sloestack::writer {

using ConnectionId = std::uint64_t;
enum class Side { client, server };

struct Settings {
    std::size_t max_payload_bytes =
        1460;  // per segment: Ethernet's 1,500 bytes less the IPv4 and TCP headers of 20 bytes each
    std::uint64_t seed = 1;                          // for the initial sequence numbers
    std::uint16_t vlan_client = 0, vlan_server = 0;  // VLAN tags of the frames that each side sends; 0: none
};

class Writer {
public:
    // `sink` must outlive the writer.
    Writer(const Settings& settings, pcap::Sink& sink) : settings_(settings), sink_(sink) {}

    // Times are Unix microseconds, and are written unchanged. Calls for a connection that is not open are
    // ignored.
    void open(ConnectionId connection, const pcap::Endpoint& client, const pcap::Endpoint& server,
              std::int64_t at_us);
    void data(ConnectionId connection, Side from, std::string_view bytes, std::int64_t at_us);
    void finish(ConnectionId connection, Side closed_by,
                std::int64_t at_us);  // FINs of both sides, that of `closed_by` first
    void reset(ConnectionId connection, Side from, std::int64_t at_us);
    // Sets the initial sequence numbers of connections that are opened later.
    void set_first_sequence(std::uint32_t client, std::uint32_t server);
    std::size_t open_connections() const { return connections_.size(); }

private:
    struct Connection {
        pcap::Endpoint client, server;
        std::uint32_t next_client_sequence = 0, next_server_sequence = 0;
    };
    void write_segment(Connection& connection, Side from, std::uint8_t flags, std::string_view payload,
                       std::int64_t at_us);

    Settings settings_;
    pcap::Sink& sink_;
    std::unordered_map<ConnectionId, Connection> connections_;
    bool has_initial_sequence_ = false;
    std::uint32_t initial_client_sequence_ = 0, initial_server_sequence_ = 0;
};

}  // namespace sloestack::writer
