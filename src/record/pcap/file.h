// Writes capture files of Ethernet frames, in nanoseconds, on libpcap; and builds their packets on libtins,
// with valid checksums.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "pcap/packet.h"
#include "pcap/reader.h"

namespace sloestack::pcap {

// Takes packets that are whole, in the order in which they shall stand.
class Sink {
public:
    virtual ~Sink() = default;
    // `on_wire` as in Frame; 0 means the packet is whole.
    virtual void frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t on_wire) = 0;
};

class File final : public Sink {
public:
    // Throws CaptureFileError where the file cannot be made.
    explicit File(const std::string& path);
    ~File() override;
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    // Throws CaptureFileError where it cannot be written: what a full disk has cut is not passed off as a
    // capture.
    void frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t on_wire = 0) override;
    // All is with the kernel, or CaptureFileError.
    void close();
    std::uint64_t frames() const { return frames_; }

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
    std::string path_;
    std::uint64_t frames_ = 0;
};

// The frame of one TCP segment: Ethernet II, a VLAN tag where `vlan` is not 0, IPv4 or IPv6 by the addresses.
std::string build(const Segment& segment);

}  // namespace sloestack::pcap
