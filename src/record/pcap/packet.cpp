#include "pcap/packet.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>

namespace sloestack::pcap {
namespace {

// DLT_ and LINKTYPE_ numbers from pcap-linktype(7). Raw IP has three: 101 in files, and 12 or 14, depending
// on the platform, after libpcap's translation.
constexpr int kNull = 0, kEthernet = 1, kRaw12 = 12, kRaw14 = 14, kRaw101 = 101, kLoop = 108, kCooked = 113,
              kIpv4 = 228, kIpv6 = 229, kCooked2 = 276;
constexpr std::uint16_t kEtherTypeIpv4 = 0x0800, kEtherTypeIpv6 = 0x86dd;
constexpr std::uint8_t kTcp = 6, kHopByHop = 0, kRouting = 43, kFragment = 44, kDestination = 60;
constexpr int kMaxVlanTags = 4;           // per frame; two are common
constexpr int kMaxExtensionHeaders = 16;  // of IPv6; bounds the work for a packet that consists of them

using Bytes = std::string_view;

std::uint8_t u8(Bytes b, std::size_t at) { return static_cast<std::uint8_t>(b[at]); }
std::uint16_t u16(Bytes b, std::size_t at) {
    return static_cast<std::uint16_t>(u8(b, at) << 8 | u8(b, at + 1));
}
std::uint32_t u32(Bytes b, std::size_t at) {
    return static_cast<std::uint32_t>(u16(b, at)) << 16 | u16(b, at + 2);
}

bool is_vlan_tag(std::uint16_t type) { return type == 0x8100 || type == 0x88a8 || type == 0x9100; }

// Removes VLAN tags, so that `bytes` begins at the network header and `type` is its ethertype. Returns false
// if a tag is truncated.
bool strip_vlan_tags(Bytes& bytes, std::uint16_t& type, std::uint16_t& vlan) {
    for (int i = 0; i < kMaxVlanTags && is_vlan_tag(type); ++i) {
        if (bytes.size() < 4) return false;
        vlan = u16(bytes, 0) & 0x0fff;
        type = u16(bytes, 2);
        bytes.remove_prefix(4);
    }
    return true;
}

// `length`: bytes of the segment as sent, which may be more than `tcp` holds.
Skip decode_tcp(Segment& out, Bytes tcp, std::size_t length) {
    if (length < 20) return Skip::malformed;
    if (tcp.size() < 20) return Skip::cut_head;
    const std::size_t header_bytes = static_cast<std::size_t>(u8(tcp, 12) >> 4) * 4;
    if (header_bytes < 20 || header_bytes > length) return Skip::malformed;
    if (tcp.size() < header_bytes) return Skip::cut_head;
    out.from.port = u16(tcp, 0);
    out.to.port = u16(tcp, 2);
    out.seq = u32(tcp, 4);
    out.ack = u32(tcp, 8);
    out.flags = u8(tcp, 13);
    out.payload = tcp.substr(header_bytes, length - header_bytes);
    out.length = static_cast<std::uint32_t>(length - header_bytes);
    return Skip::none;
}

Skip decode_v4(Segment& out, Bytes ip) {
    if (ip.size() < 20) return Skip::cut_head;
    const std::size_t header_bytes = static_cast<std::size_t>(u8(ip, 0) & 0x0f) * 4;
    std::size_t total_bytes = u16(ip, 2);
    // A packet captured before segmentation offload has a total length of 0; it then ends with the frame.
    if (total_bytes == 0) total_bytes = ip.size();
    if (header_bytes < 20 || total_bytes < header_bytes) return Skip::malformed;
    if ((u16(ip, 6) & 0x3fff) != 0)
        return Skip::fragment;  // the more-fragments flag, or an offset other than 0
    if (u8(ip, 9) != kTcp) return Skip::not_tcp;
    if (ip.size() < header_bytes) return Skip::cut_head;
    std::memcpy(out.from.address.data(), ip.data() + 12, 4);
    std::memcpy(out.to.address.data(), ip.data() + 16, 4);
    // Bytes after the datagram are Ethernet padding.
    return decode_tcp(out, ip.substr(header_bytes, total_bytes - header_bytes), total_bytes - header_bytes);
}

Skip decode_v6(Segment& out, Bytes ip) {
    if (ip.size() < 40) return Skip::cut_head;
    std::size_t remaining_bytes = u16(ip, 4);
    if (remaining_bytes == 0) remaining_bytes = ip.size() - 40;
    out.from.v6 = out.to.v6 = true;
    std::memcpy(out.from.address.data(), ip.data() + 8, 16);
    std::memcpy(out.to.address.data(), ip.data() + 24, 16);
    auto next = u8(ip, 6);
    auto remaining = ip.substr(40, remaining_bytes);
    for (int i = 0; i < kMaxExtensionHeaders; ++i) {
        if (next == kTcp) return decode_tcp(out, remaining, remaining_bytes);
        if (next == kFragment) return Skip::fragment;
        if (next != kHopByHop && next != kRouting && next != kDestination) return Skip::not_tcp;
        if (remaining_bytes < 8) return Skip::malformed;
        if (remaining.size() < 8) return Skip::cut_head;
        const std::size_t size = (static_cast<std::size_t>(u8(remaining, 1)) + 1) * 8;
        if (size > remaining_bytes) return Skip::malformed;
        if (size > remaining.size()) return Skip::cut_head;
        next = u8(remaining, 0);
        remaining.remove_prefix(size);
        remaining_bytes -= size;
    }
    return Skip::malformed;
}

}  // namespace

bool is_link_type_supported(int link_type) {
    const int supported[] = {kNull, kEthernet, kRaw12, kRaw14, kRaw101,
                             kLoop, kCooked,   kIpv4,  kIpv6,  kCooked2};
    return std::find(std::begin(supported), std::end(supported), link_type) != std::end(supported);
}

Skip decode(int link_type, std::int64_t time_us, std::string_view bytes, Segment& out) {
    out = Segment();
    out.time_us = time_us;
    std::uint16_t type = 0;
    const auto strip_link_header = [&](std::size_t size, std::size_t type_offset) {
        if (bytes.size() < size) return false;
        type = u16(bytes, type_offset);
        bytes.remove_prefix(size);
        return strip_vlan_tags(bytes, type, out.vlan);
    };
    switch (link_type) {
        case kEthernet:
            if (!strip_link_header(14, 12)) return Skip::cut_head;
            break;
        case kCooked:
            if (!strip_link_header(16, 14)) return Skip::cut_head;
            break;
        case kCooked2:
            if (!strip_link_header(20, 0)) return Skip::cut_head;
            break;
        case kNull:  // four bytes of address family follow, in the byte order of the host that captured
        case kLoop: {
            if (bytes.size() < 5) return Skip::cut_head;
            bytes.remove_prefix(4);
            [[fallthrough]];
        }
        case kRaw12:
        case kRaw14:
        case kRaw101:
        case kIpv4:
        case kIpv6:
            if (bytes.empty()) return Skip::cut_head;
            type = u8(bytes, 0) >> 4 == 4 ? kEtherTypeIpv4 : u8(bytes, 0) >> 4 == 6 ? kEtherTypeIpv6 : 0;
            break;
        default:
            return Skip::unknown_link;
    }
    if (type == kEtherTypeIpv4 || type == kEtherTypeIpv6) {
        if (bytes.empty()) return Skip::cut_head;
        if (u8(bytes, 0) >> 4 != (type == kEtherTypeIpv4 ? 4 : 6)) return Skip::malformed;
        return type == kEtherTypeIpv4 ? decode_v4(out, bytes) : decode_v6(out, bytes);
    }
    return Skip::not_ip;
}

Endpoint endpoint_of(const sockaddr_in& address) {
    Endpoint out;
    std::memcpy(out.address.data(), &address.sin_addr, 4);
    out.port = ntohs(address.sin_port);
    return out;
}

std::string to_text(const Endpoint& endpoint) {
    char text[INET6_ADDRSTRLEN] = "";
    inet_ntop(endpoint.v6 ? AF_INET6 : AF_INET, endpoint.address.data(), static_cast<char*>(text),
              sizeof text);
    const std::string address = static_cast<const char*>(text);
    return (endpoint.v6 ? "[" + address + "]" : address) + ":" + std::to_string(endpoint.port);
}

const char* to_text(Skip reason) {
    switch (reason) {
        case Skip::none:
            return "";
        case Skip::unknown_link:
            return "link type not read here";
        case Skip::not_ip:
            return "not IP";
        case Skip::not_tcp:
            return "not TCP";
        case Skip::fragment:
            return "IP fragment";
        case Skip::cut_head:
            return "cut before the end of its headers";
        case Skip::malformed:
            return "malformed headers";
    }
    return "";
}

}  // namespace sloestack::pcap
