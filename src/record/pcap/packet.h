// Takes packets apart: link layer, VLAN tags, IPv4 or IPv6, TCP. Pure and without copies: the hot path of
// every capture that is read. docs/design/pcap.md has the measurement that decided against libtins here; the
// tests hold this against libtins, packet by packet. Sources: RFC 791, 8200, 9293; IEEE 802.1Q;
// pcap-linktype(7).
#pragma once

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace sloestack::pcap {

struct Endpoint {
    std::array<std::uint8_t, 16> address{};  // IPv4 in the first four bytes, the rest 0
    std::uint16_t port = 0;
    bool v6 = false;
    bool operator==(const Endpoint& o) const { return port == o.port && v6 == o.v6 && address == o.address; }
    bool operator<(const Endpoint& o) const {
        return std::tie(v6, address, port) < std::tie(o.v6, o.address, o.port);
    }
};
Endpoint endpoint_of(const sockaddr_in& at);
std::string to_text(const Endpoint& at);  // "10.0.0.4:5433", "[::1]:5433"

namespace flag {
constexpr std::uint8_t fin = 1, syn = 2, rst = 4, psh = 8, ack = 16;
}

struct Segment {
    std::int64_t time_us = 0;
    Endpoint from, to;
    std::uint32_t seq = 0, ack = 0;
    std::uint8_t flags = 0;
    std::uint16_t vlan = 0;    // the innermost tag's number, 0 where there is none
    std::string_view payload;  // what the file holds of it
    std::uint32_t length = 0;  // of the payload as it was sent: more than is held where a snap length cut it
};

// Why a packet is none of a TCP stream's.
enum class Skip {
    none,          // it is
    unknown_link,  // a link type that is not read here
    not_ip,        // ARP, IPv6 neighbour discovery on other ethertypes, ...
    not_tcp,
    fragment,  // of an IP datagram; not put together, since TCP avoids them
    cut_head,  // the snap length cut it before the end of the TCP header
    malformed  // lengths that contradict each other
};
const char* to_text(Skip why);

// Fills `out` where the packet is a TCP segment, and says none; what `out` holds otherwise means nothing.
// `link` is a DLT_ number. Never reads outside `bytes`.
Skip decode(int link, std::int64_t time_us, std::string_view bytes, Segment& out);
// Whether packets of this link type are read at all.
bool knows_link(int link);

}  // namespace sloestack::pcap
