#include "writer/writer.h"

#include <xxhash.h>

namespace sloestack::writer {

namespace flag = pcap::flag;

void Writer::set_first_sequence(std::uint32_t client, std::uint32_t server) {
    first_given_ = true;
    first_client_ = client;
    first_server_ = server;
}

void Writer::segment(Connection& c, Side from, std::uint8_t flags, std::string_view payload,
                     std::int64_t at_us) {
    const bool by_client = from == Side::client;
    pcap::Segment s;
    s.from = by_client ? c.client : c.server;
    s.to = by_client ? c.server : c.client;
    auto& own = by_client ? c.next_client : c.next_server;
    s.seq = own;
    s.flags = flags;
    if (flags & flag::ack) s.ack = by_client ? c.next_server : c.next_client;
    s.payload = payload;
    s.vlan = by_client ? settings_.vlan_client : settings_.vlan_server;
    own += static_cast<std::uint32_t>(payload.size());
    if (flags & (flag::syn | flag::fin)) ++own;  // each takes one number (RFC 9293, 3.4)
    sink_.frame(at_us * 1000, pcap::build(s), 0);
}

void Writer::open(ConnectionId connection, const pcap::Endpoint& client, const pcap::Endpoint& server,
                  std::int64_t at_us) {
    Connection c{client, server, 0, 0};
    const auto first = XXH3_64bits_withSeed(&connection, sizeof connection, settings_.seed);
    c.next_client = first_given_ ? first_client_ : static_cast<std::uint32_t>(first);
    c.next_server = first_given_ ? first_server_ : static_cast<std::uint32_t>(first >> 32);
    segment(c, Side::client, flag::syn, {}, at_us);
    segment(c, Side::server, flag::syn | flag::ack, {}, at_us);
    segment(c, Side::client, flag::ack, {}, at_us);
    connections_[connection] = c;
}

void Writer::data(ConnectionId connection, Side from, std::string_view bytes, std::int64_t at_us) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    while (!bytes.empty()) {
        const auto part = bytes.substr(0, settings_.most_payload);
        bytes.remove_prefix(part.size());
        segment(found->second, from, bytes.empty() ? flag::psh | flag::ack : flag::ack, part, at_us);
    }
    segment(found->second, from == Side::client ? Side::server : Side::client, flag::ack, {}, at_us);
}

void Writer::finish(ConnectionId connection, Side first, std::int64_t at_us) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    const auto second = first == Side::client ? Side::server : Side::client;
    segment(found->second, first, flag::fin | flag::ack, {}, at_us);
    segment(found->second, second, flag::fin | flag::ack, {}, at_us);
    segment(found->second, first, flag::ack, {}, at_us);
    connections_.erase(found);
}

void Writer::reset(ConnectionId connection, Side from, std::int64_t at_us) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    segment(found->second, from, flag::rst | flag::ack, {}, at_us);
    connections_.erase(found);
}

}  // namespace sloestack::writer
