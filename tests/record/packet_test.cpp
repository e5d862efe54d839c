// Compares the packet decoder with libtins, and tests link types and truncated or foreign packets.
#include <gtest/gtest.h>
#include <tins/dot1q.h>
#include <tins/ethernetII.h>
#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include "emulator/values.h"
#include "pcap/file.h"

namespace {

using namespace sloestack::pcap;

Segment sample(bool v6, std::uint16_t vlan, std::string_view payload) {
    Segment s;
    s.from.v6 = s.to.v6 = v6;
    s.from.address = {10, 1, 2, 3};
    s.to.address = {10, 1, 2, 4};
    if (v6) s.from.address[15] = 9;
    s.from.port = 40001;
    s.to.port = 5433;
    s.seq = 0xfffffff0;
    s.ack = 77;
    s.flags = flag::ack | flag::psh;
    s.vlan = vlan;
    s.payload = payload;
    s.length = static_cast<std::uint32_t>(payload.size());
    return s;
}

Skip decoded(int link_type, const std::string& bytes, Segment& out) {
    return decode(link_type, 5, bytes, out);
}

TEST(Packet, DecodesWhatBuildProduces) {
    for (const bool v6 : {false, true})
        for (const std::uint16_t vlan : {0, 10, 4095}) {
            const auto s = sample(v6, vlan, "some bytes");
            Segment out;
            const auto bytes = build(s);
            ASSERT_EQ(decoded(1, bytes, out), Skip::none);
            EXPECT_EQ(out.from, s.from);
            EXPECT_EQ(out.to, s.to);
            EXPECT_EQ(out.seq, s.seq);
            EXPECT_EQ(out.ack, s.ack);
            EXPECT_EQ(out.flags, s.flags);
            EXPECT_EQ(out.vlan, vlan);
            EXPECT_EQ(out.payload, "some bytes");
            EXPECT_EQ(out.length, 10u);
        }
}

// Decodes random packets with libtins as an independent reference.
TEST(Packet, AgreesWithLibtins) {
    emulator::Random random(11);
    for (int i = 0; i < 3000; ++i) {
        std::string payload(static_cast<std::size_t>(random.between(0, 200)), '\0');
        for (auto& c : payload) c = static_cast<char>(random.next());
        auto s = sample(random.next() % 2, static_cast<std::uint16_t>(random.between(0, 4095)), payload);
        s.seq = static_cast<std::uint32_t>(random.next());
        s.flags = static_cast<std::uint8_t>(random.between(0, 31));
        const auto bytes = build(s);
        const Tins::EthernetII theirs(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                      static_cast<std::uint32_t>(bytes.size()));
        Segment ours;
        ASSERT_EQ(decoded(1, bytes, ours), Skip::none);
        const auto& tcp = theirs.rfind_pdu<Tins::TCP>();
        EXPECT_EQ(ours.seq, tcp.seq());
        EXPECT_EQ(ours.ack, tcp.ack_seq());
        EXPECT_EQ(ours.flags, static_cast<std::uint8_t>(tcp.flags()));
        EXPECT_EQ(ours.from.port, tcp.sport());
        const auto* raw = tcp.inner_pdu() ? tcp.find_pdu<Tins::RawPDU>() : nullptr;
        EXPECT_EQ(ours.payload.size(), raw ? raw->payload_size() : 0u);
        if (const auto* ip = theirs.find_pdu<Tins::IP>()) {
            EXPECT_EQ(to_text(ours.from), ip->src_addr().to_string() + ":" + std::to_string(tcp.sport()));
        }
    }
}

// A prefix that ends within the headers is skipped as truncated; a longer one decodes to a segment whose
// payload is shorter than its length.
TEST(Packet, DistinguishesTruncatedHeadersFromTruncatedPayload) {
    for (const bool v6 : {false, true}) {
        const auto bytes = build(sample(v6, 10, "0123456789"));
        const std::size_t header_bytes = bytes.size() - 10;
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            Segment out;
            const auto part = bytes.substr(0, n);
            const auto skip = decoded(1, part, out);
            if (n < header_bytes) {
                EXPECT_EQ(skip, Skip::cut_head) << n;
                continue;
            }
            ASSERT_EQ(skip, Skip::none) << n;
            EXPECT_EQ(out.payload.size(), n - header_bytes);
            EXPECT_EQ(out.length, 10u);
        }
    }
}

TEST(Packet, DecodesTheSameSegmentFromEveryLinkType) {
    const auto frame = build(sample(false, 0, "abc"));
    const auto ip = frame.substr(14);
    const std::pair<int, std::string> frames[] = {
        {0, std::string("\x02\0\0\0", 4) + ip},
        {108, std::string("\0\0\0\x02", 4) + ip},
        {12, ip},
        {101, ip},
        {228, ip},
        {113, std::string(14, '\0') + "\x08" + std::string(1, '\0') + ip},
        {276, "\x08" + std::string(19, '\0') + ip},
    };
    for (const auto& [link_type, bytes] : frames) {
        Segment out;
        ASSERT_EQ(decoded(link_type, bytes, out), Skip::none) << link_type;
        EXPECT_EQ(out.payload, "abc");
        EXPECT_TRUE(is_link_type_supported(link_type));
    }
    Segment out;
    EXPECT_EQ(decoded(105, frame, out), Skip::unknown_link);
    EXPECT_FALSE(is_link_type_supported(105));
}

// Returns the one's complement sum of 16-bit words (RFC 1071): 0xffff if the bytes include a valid checksum.
std::uint32_t sum(std::string_view bytes, std::uint32_t initial = 0) {
    for (std::size_t i = 0; i < bytes.size(); ++i)
        initial += static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[i])) << (i % 2 ? 0 : 8);
    while (initial >> 16) initial = (initial & 0xffff) + (initial >> 16);
    return initial;
}

// Programs that read captures flag packets with wrong checksums, or drop them.
TEST(Packet, BuildsValidChecksums) {
    for (const bool v6 : {false, true})
        for (const std::size_t size : {0u, 1u, 2u, 1460u}) {
            const std::string payload(size, '\x5a');
            const auto frame = build(sample(v6, 0, payload));
            const auto ip = std::string_view(frame).substr(14);
            const std::size_t ip_header_bytes = v6 ? 40 : 20;
            const auto tcp = ip.substr(ip_header_bytes, 20 + size);
            if (!v6) {
                EXPECT_EQ(sum(ip.substr(0, 20)), 0xffffu);
            }
            const auto addresses = v6 ? ip.substr(8, 32) : ip.substr(12, 8);
            EXPECT_EQ(sum(tcp, sum(addresses) + 6 + static_cast<std::uint32_t>(tcp.size())), 0xffffu)
                << v6 << size;
        }
}

TEST(Packet, ReportsWhyAPacketIsSkipped) {
    Segment out;
    auto frame = build(sample(false, 0, "abc"));
    auto arp = frame;
    arp[13] = 6;
    EXPECT_EQ(decoded(1, arp, out), Skip::not_ip);
    auto udp = frame;
    udp[14 + 9] = 17;
    EXPECT_EQ(decoded(1, udp, out), Skip::not_tcp);
    auto fragment = frame;
    fragment[14 + 6] = 0x20;
    EXPECT_EQ(decoded(1, fragment, out), Skip::fragment);
    auto bad_length = frame;
    bad_length[14 + 20 + 12] = static_cast<char>(0xf0);  // a TCP header longer than the packet
    EXPECT_EQ(decoded(1, bad_length, out), Skip::malformed);
    // Padding after the datagram is not part of the payload.
    const auto padded = frame + std::string(20, 'x');
    ASSERT_EQ(decoded(1, padded, out), Skip::none);
    EXPECT_EQ(out.payload, "abc");
}

}  // namespace
