#include "writer/writer.h"

#include <xxhash.h>

namespace sloestack::writer {

namespace flag = pcap::flag;

void Writer::set_first_sequence(std::uint32_t client, std::uint32_t server) {
    has_initial_sequence_ = true;
    initial_client_sequence_ = client;
    initial_server_sequence_ = server;
}

void Writer::write_segment(Connection& connection, Side from, std::uint8_t flags, std::string_view payload,
                           std::int64_t at_us) {
    const bool by_client = from == Side::client;
    pcap::Segment packet;
    packet.from = by_client ? connection.client : connection.server;
    packet.to = by_client ? connection.server : connection.client;
    auto& next_sequence = by_client ? connection.next_client_sequence : connection.next_server_sequence;
    packet.seq = next_sequence;
    packet.flags = flags;
    if (flags & flag::ack)
        packet.ack = by_client ? connection.next_server_sequence : connection.next_client_sequence;
    packet.payload = payload;
    packet.vlan = by_client ? settings_.vlan_client : settings_.vlan_server;
    next_sequence += static_cast<std::uint32_t>(payload.size());
    if (flags & (flag::syn | flag::fin))
        ++next_sequence;  // each consumes one sequence number (RFC 9293, 3.4)
    sink_.frame(at_us * 1000, pcap::build(packet), 0);
}

void Writer::open(ConnectionId connection, const pcap::Endpoint& client, const pcap::Endpoint& server,
                  std::int64_t at_us) {
    Connection opened{client, server, 0, 0};
    const auto initial = XXH3_64bits_withSeed(&connection, sizeof connection, settings_.seed);
    opened.next_client_sequence =
        has_initial_sequence_ ? initial_client_sequence_ : static_cast<std::uint32_t>(initial);
    opened.next_server_sequence =
        has_initial_sequence_ ? initial_server_sequence_ : static_cast<std::uint32_t>(initial >> 32);
    write_segment(opened, Side::client, flag::syn, {}, at_us);
    write_segment(opened, Side::server, flag::syn | flag::ack, {}, at_us);
    write_segment(opened, Side::client, flag::ack, {}, at_us);
    connections_[connection] = opened;
}

void Writer::data(ConnectionId connection, Side from, std::string_view bytes, std::int64_t at_us) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    while (!bytes.empty()) {
        const auto part = bytes.substr(0, settings_.max_payload_bytes);
        bytes.remove_prefix(part.size());
        write_segment(found->second, from, bytes.empty() ? flag::psh | flag::ack : flag::ack, part, at_us);
    }
    write_segment(found->second, from == Side::client ? Side::server : Side::client, flag::ack, {}, at_us);
}

void Writer::finish(ConnectionId connection, Side closed_by, std::int64_t at_us) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    const auto other = closed_by == Side::client ? Side::server : Side::client;
    write_segment(found->second, closed_by, flag::fin | flag::ack, {}, at_us);
    write_segment(found->second, other, flag::fin | flag::ack, {}, at_us);
    write_segment(found->second, closed_by, flag::ack, {}, at_us);
    connections_.erase(found);
}

void Writer::reset(ConnectionId connection, Side from, std::int64_t at_us) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    write_segment(found->second, from, flag::rst | flag::ack, {}, at_us);
    connections_.erase(found);
}

}  // namespace sloestack::writer
