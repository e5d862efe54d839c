#include "pcap/packet.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>

namespace sloestack::pcap {
namespace {

// Numbers from pcap-linktype(7). Raw IP has three: 101 in files, 12 and 14 where libpcap translates it.
constexpr int kNull = 0, kEthernet = 1, kRawA = 12, kRawB = 14, kRawFile = 101, kLoop = 108, kCooked = 113,
              kIpv4 = 228, kIpv6 = 229, kCooked2 = 276;
constexpr std::uint16_t kTypeIpv4 = 0x0800, kTypeIpv6 = 0x86dd;
constexpr std::uint8_t kTcp = 6, kHopByHop = 0, kRouting = 43, kFragment = 44, kDestination = 60;
constexpr int kMostTags = 4;         // VLAN tags on one frame; two are common
constexpr int kMostExtensions = 16;  // IPv6 extension headers: guards against a packet made of them

using Bytes = std::string_view;

std::uint8_t u8(Bytes b, std::size_t at) { return static_cast<std::uint8_t>(b[at]); }
std::uint16_t u16(Bytes b, std::size_t at) {
    return static_cast<std::uint16_t>(u8(b, at) << 8 | u8(b, at + 1));
}
std::uint32_t u32(Bytes b, std::size_t at) {
    return static_cast<std::uint32_t>(u16(b, at)) << 16 | u16(b, at + 2);
}

bool is_tag(std::uint16_t type) { return type == 0x8100 || type == 0x88a8 || type == 0x9100; }

// Leaves `bytes` at the IP header and `type` at its ethertype.
bool strip_tags(Bytes& bytes, std::uint16_t& type, std::uint16_t& vlan) {
    for (int i = 0; i < kMostTags && is_tag(type); ++i) {
        if (bytes.size() < 4) return false;
        vlan = u16(bytes, 0) & 0x0fff;
        type = u16(bytes, 2);
        bytes.remove_prefix(4);
    }
    return true;
}

Skip decode_tcp(Segment& out, Bytes tcp, std::size_t whole) {
    if (whole < 20) return Skip::malformed;
    if (tcp.size() < 20) return Skip::cut_head;
    const std::size_t head = static_cast<std::size_t>(u8(tcp, 12) >> 4) * 4;
    if (head < 20 || head > whole) return Skip::malformed;
    if (tcp.size() < head) return Skip::cut_head;
    out.from.port = u16(tcp, 0);
    out.to.port = u16(tcp, 2);
    out.seq = u32(tcp, 4);
    out.ack = u32(tcp, 8);
    out.flags = u8(tcp, 13);
    out.payload = tcp.substr(head, whole - head);
    out.length = static_cast<std::uint32_t>(whole - head);
    return Skip::none;
}

Skip decode_v4(Segment& out, Bytes ip) {
    if (ip.size() < 20) return Skip::cut_head;
    const std::size_t head = static_cast<std::size_t>(u8(ip, 0) & 0x0f) * 4;
    std::size_t total = u16(ip, 2);
    // A packet taken before its offloaded segmentation says 0; it then ends where the frame ends.
    if (total == 0) total = ip.size();
    if (head < 20 || total < head) return Skip::malformed;
    if ((u16(ip, 6) & 0x3fff) != 0) return Skip::fragment;  // more follow, or not at the start
    if (u8(ip, 9) != kTcp) return Skip::not_tcp;
    if (ip.size() < head) return Skip::cut_head;
    std::memcpy(out.from.address.data(), ip.data() + 12, 4);
    std::memcpy(out.to.address.data(), ip.data() + 16, 4);
    // What stands behind the datagram is Ethernet's padding.
    return decode_tcp(out, ip.substr(head, total - head), total - head);
}

Skip decode_v6(Segment& out, Bytes ip) {
    if (ip.size() < 40) return Skip::cut_head;
    std::size_t left = u16(ip, 4);
    if (left == 0) left = ip.size() - 40;
    out.from.v6 = out.to.v6 = true;
    std::memcpy(out.from.address.data(), ip.data() + 8, 16);
    std::memcpy(out.to.address.data(), ip.data() + 24, 16);
    auto next = u8(ip, 6);
    auto rest = ip.substr(40, left);
    for (int i = 0; i < kMostExtensions; ++i) {
        if (next == kTcp) return decode_tcp(out, rest, left);
        if (next == kFragment) return Skip::fragment;
        if (next != kHopByHop && next != kRouting && next != kDestination) return Skip::not_tcp;
        if (left < 8) return Skip::malformed;
        if (rest.size() < 8) return Skip::cut_head;
        const std::size_t size = (static_cast<std::size_t>(u8(rest, 1)) + 1) * 8;
        if (size > left) return Skip::malformed;
        if (size > rest.size()) return Skip::cut_head;
        next = u8(rest, 0);
        rest.remove_prefix(size);
        left -= size;
    }
    return Skip::malformed;
}

}  // namespace

bool knows_link(int link) {
    const int known[] = {kNull, kEthernet, kRawA, kRawB, kRawFile, kLoop, kCooked, kIpv4, kIpv6, kCooked2};
    return std::find(std::begin(known), std::end(known), link) != std::end(known);
}

Skip decode(int link, std::int64_t time_us, std::string_view bytes, Segment& out) {
    out = Segment();
    out.time_us = time_us;
    std::uint16_t type = 0;
    const auto head = [&](std::size_t size, std::size_t type_at) {
        if (bytes.size() < size) return false;
        type = u16(bytes, type_at);
        bytes.remove_prefix(size);
        return strip_tags(bytes, type, out.vlan);
    };
    switch (link) {
        case kEthernet:
            if (!head(14, 12)) return Skip::cut_head;
            break;
        case kCooked:
            if (!head(16, 14)) return Skip::cut_head;
            break;
        case kCooked2:
            if (!head(20, 0)) return Skip::cut_head;
            break;
        case kNull:  // the address family in the writer's byte order, which differs from file to file
        case kLoop: {
            if (bytes.size() < 5) return Skip::cut_head;
            bytes.remove_prefix(4);
            [[fallthrough]];
        }
        case kRawA:
        case kRawB:
        case kRawFile:
        case kIpv4:
        case kIpv6:
            if (bytes.empty()) return Skip::cut_head;
            type = u8(bytes, 0) >> 4 == 4 ? kTypeIpv4 : u8(bytes, 0) >> 4 == 6 ? kTypeIpv6 : 0;
            break;
        default:
            return Skip::unknown_link;
    }
    if (type == kTypeIpv4 || type == kTypeIpv6) {
        if (bytes.empty()) return Skip::cut_head;
        if (u8(bytes, 0) >> 4 != (type == kTypeIpv4 ? 4 : 6)) return Skip::malformed;
        return type == kTypeIpv4 ? decode_v4(out, bytes) : decode_v6(out, bytes);
    }
    return Skip::not_ip;
}

Endpoint endpoint_of(const sockaddr_in& at) {
    Endpoint out;
    std::memcpy(out.address.data(), &at.sin_addr, 4);
    out.port = ntohs(at.sin_port);
    return out;
}

std::string to_text(const Endpoint& at) {
    char text[INET6_ADDRSTRLEN] = "";
    inet_ntop(at.v6 ? AF_INET6 : AF_INET, at.address.data(), static_cast<char*>(text), sizeof text);
    const std::string address = static_cast<const char*>(text);
    return (at.v6 ? "[" + address + "]" : address) + ":" + std::to_string(at.port);
}

const char* to_text(Skip why) {
    switch (why) {
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
