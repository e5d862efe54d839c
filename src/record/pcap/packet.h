// Decodes packets: link layer, VLAN tags, IPv4 or IPv6, TCP. Does no I/O and copies nothing, since it is the
// hot path of reading a capture. docs/design/pcap.md has the measurement that decided against libtins here;
// the tests compare this decoder with libtins packet by packet. Sources: RFC 791, 8200, 9293; IEEE 802.1Q;
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
    std::array<std::uint8_t, 16> address{};  // an IPv4 address is in the first four bytes, and the rest is 0
    std::uint16_t port = 0;
    bool v6 = false;
    bool operator==(const Endpoint& other) const {
        return port == other.port && v6 == other.v6 && address == other.address;
    }
    bool operator<(const Endpoint& other) const {
        return std::tie(v6, address, port) < std::tie(other.v6, other.address, other.port);
    }
};
Endpoint endpoint_of(const sockaddr_in& address);
std::string to_text(const Endpoint& endpoint);  // "10.0.0.4:5433", "[::1]:5433"

namespace flag {
constexpr std::uint8_t fin = 1, syn = 2, rst = 4, psh = 8, ack = 16;
}

struct Segment {
    std::int64_t time_us = 0;
    Endpoint from, to;
    std::uint32_t seq = 0, ack = 0;
    std::uint8_t flags = 0;
    std::uint16_t vlan = 0;    // VLAN identifier of the innermost tag; 0 if there is none
    std::string_view payload;  // the part of the payload that the file contains
    std::uint32_t length =
        0;  // payload bytes as sent; larger than payload.size() if a snap length truncated it
};

// Why a packet is not part of a TCP stream.
enum class Skip {
    none,          // the packet is a TCP segment
    unknown_link,  // a link type that decode() does not support
    not_ip,        // any other ethertype, such as ARP
    not_tcp,
    fragment,  // of an IP datagram; fragments are not reassembled, since TCP avoids them
    cut_head,  // truncated by the snap length before the end of the TCP header
    malformed  // inconsistent lengths
};
const char* to_text(Skip reason);

// Decodes a TCP segment into `out` and returns Skip::none; for any other packet returns the reason, and the
// contents of `out` are unspecified. `link_type` is a DLT_ number. Never reads outside `bytes`; out.payload
// points into them.
Skip decode(int link_type, std::int64_t time_us, std::string_view bytes, Segment& out);
// Returns whether decode() supports this link type.
bool is_link_type_supported(int link_type);

}  // namespace sloestack::pcap
