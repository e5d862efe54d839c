#include "pcap/file.h"

#include <pcap/pcap.h>
#include <tins/dot1q.h>
#include <tins/ethernetII.h>
#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <cstring>

namespace sloestack::pcap {
namespace {

constexpr int kSnapLength =
    262144;  // bytes; the largest that common readers accept, and far above any frame written here
// Locally administered MAC addresses, which no network card has.
constexpr const char *kLowerMac = "02:00:00:00:00:01", *kHigherMac = "02:00:00:00:00:02";
constexpr std::uint16_t kWindow = 65535;

template <class Address>
Address address_of(const Endpoint& endpoint);
template <>
Tins::IPv4Address address_of(const Endpoint& endpoint) {
    std::uint32_t raw = 0;
    std::memcpy(&raw, endpoint.address.data(), sizeof raw);
    return Tins::IPv4Address(raw);
}
template <>
Tins::IPv6Address address_of(const Endpoint& endpoint) {
    return Tins::IPv6Address(endpoint.address.data());
}

}  // namespace

struct File::Impl {
    pcap_t* handle = nullptr;
    pcap_dumper_t* dumper = nullptr;
    ~Impl() {
        if (dumper) pcap_dump_close(dumper);
        if (handle) pcap_close(handle);
    }
};

File::File(const std::string& path) : impl_(std::make_unique<Impl>()), path_(path) {
    impl_->handle = pcap_open_dead_with_tstamp_precision(DLT_EN10MB, kSnapLength, PCAP_TSTAMP_PRECISION_NANO);
    if (!impl_->handle) throw CaptureFileError(path + ": libpcap could not allocate a writer");
    impl_->dumper = pcap_dump_open(impl_->handle, path.c_str());
    if (!impl_->dumper) throw CaptureFileError(path + ": " + pcap_geterr(impl_->handle));
}

File::~File() = default;

void File::frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t on_wire) {
    pcap_pkthdr header{};
    header.ts.tv_sec = static_cast<decltype(header.ts.tv_sec)>(time_ns / 1'000'000'000);
    header.ts.tv_usec = static_cast<decltype(header.ts.tv_usec)>(time_ns % 1'000'000'000);
    header.caplen = static_cast<bpf_u_int32>(bytes.size());
    header.len = on_wire ? on_wire : header.caplen;
    pcap_dump(reinterpret_cast<u_char*>(impl_->dumper), &header,
              reinterpret_cast<const u_char*>(bytes.data()));
    if (std::ferror(pcap_dump_file(impl_->dumper))) throw CaptureFileError(path_ + ": write failed");
    ++frames_;
}

void File::close() {
    if (pcap_dump_flush(impl_->dumper) != 0) throw CaptureFileError(path_ + ": write failed");
}

std::string build(const Segment& s) {
    using namespace Tins;
    TCP tcp(s.to.port, s.from.port);
    tcp.seq(s.seq);
    tcp.ack_seq(s.ack);
    tcp.flags(s.flags);
    tcp.window(kWindow);
    const bool from_lower = s.from < s.to;
    EthernetII frame(HWAddress<6>(from_lower ? kHigherMac : kLowerMac),
                     HWAddress<6>(from_lower ? kLowerMac : kHigherMac));
    PDU* innermost = &frame;
    const auto append = [&](PDU* next) {
        innermost->inner_pdu(next);
        innermost = next;
    };
    if (s.vlan) append(new Dot1Q(s.vlan));
    if (s.from.v6) {
        append(new IPv6(address_of<IPv6Address>(s.to), address_of<IPv6Address>(s.from)));
    } else {
        auto* ip = new IP(address_of<IPv4Address>(s.to), address_of<IPv4Address>(s.from));
        ip->ttl(64);
        ip->flags(IP::DONT_FRAGMENT);
        append(ip);
    }
    append(tcp.clone());
    if (!s.payload.empty())
        append(new RawPDU(reinterpret_cast<const std::uint8_t*>(s.payload.data()),
                          static_cast<std::uint32_t>(s.payload.size())));
    const auto bytes = frame.serialize();
    return {bytes.begin(), bytes.end()};
}

}  // namespace sloestack::pcap
