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

constexpr int kSnapLength = 262144;  // the most that common readers take; no frame here comes near it
// Locally administered addresses: no card has them.
constexpr const char *kOneMac = "02:00:00:00:00:01", *kOtherMac = "02:00:00:00:00:02";
constexpr std::uint16_t kWindow = 65535;

template <class Address>
Address address_of(const Endpoint& at);
template <>
Tins::IPv4Address address_of(const Endpoint& at) {
    std::uint32_t raw = 0;
    std::memcpy(&raw, at.address.data(), sizeof raw);
    return Tins::IPv4Address(raw);
}
template <>
Tins::IPv6Address address_of(const Endpoint& at) {
    return Tins::IPv6Address(at.address.data());
}

}  // namespace

struct File::Impl {
    pcap_t* form = nullptr;
    pcap_dumper_t* out = nullptr;
    ~Impl() {
        if (out) pcap_dump_close(out);
        if (form) pcap_close(form);
    }
};

File::File(const std::string& path) : impl_(std::make_unique<Impl>()), path_(path) {
    impl_->form = pcap_open_dead_with_tstamp_precision(DLT_EN10MB, kSnapLength, PCAP_TSTAMP_PRECISION_NANO);
    if (!impl_->form) throw CaptureFileError(path + ": out of memory");
    impl_->out = pcap_dump_open(impl_->form, path.c_str());
    if (!impl_->out) throw CaptureFileError(path + ": " + pcap_geterr(impl_->form));
}

File::~File() = default;

void File::frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t on_wire) {
    pcap_pkthdr head{};
    head.ts.tv_sec = static_cast<decltype(head.ts.tv_sec)>(time_ns / 1'000'000'000);
    head.ts.tv_usec = static_cast<decltype(head.ts.tv_usec)>(time_ns % 1'000'000'000);
    head.caplen = static_cast<bpf_u_int32>(bytes.size());
    head.len = on_wire ? on_wire : head.caplen;
    pcap_dump(reinterpret_cast<u_char*>(impl_->out), &head, reinterpret_cast<const u_char*>(bytes.data()));
    if (std::ferror(pcap_dump_file(impl_->out))) throw CaptureFileError(path_ + ": cannot be written");
    ++frames_;
}

void File::close() {
    if (pcap_dump_flush(impl_->out) != 0) throw CaptureFileError(path_ + ": cannot be written");
}

std::string build(const Segment& s) {
    using namespace Tins;
    TCP tcp(s.to.port, s.from.port);
    tcp.seq(s.seq);
    tcp.ack_seq(s.ack);
    tcp.flags(s.flags);
    tcp.window(kWindow);
    const bool forward = s.from < s.to;
    EthernetII frame(HWAddress<6>(forward ? kOtherMac : kOneMac),
                     HWAddress<6>(forward ? kOneMac : kOtherMac));
    PDU* inner = &frame;
    const auto add = [&](PDU* next) {
        inner->inner_pdu(next);
        inner = next;
    };
    if (s.vlan) add(new Dot1Q(s.vlan));
    if (s.from.v6) {
        add(new IPv6(address_of<IPv6Address>(s.to), address_of<IPv6Address>(s.from)));
    } else {
        auto* ip = new IP(address_of<IPv4Address>(s.to), address_of<IPv4Address>(s.from));
        ip->ttl(64);
        ip->flags(IP::DONT_FRAGMENT);
        add(ip);
    }
    add(tcp.clone());
    if (!s.payload.empty())
        add(new RawPDU(reinterpret_cast<const std::uint8_t*>(s.payload.data()),
                       static_cast<std::uint32_t>(s.payload.size())));
    const auto bytes = frame.serialize();
    return {bytes.begin(), bytes.end()};
}

}  // namespace sloestack::pcap
