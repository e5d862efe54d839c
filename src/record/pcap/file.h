// Writes capture files of Ethernet frames with nanosecond timestamps through libpcap, and builds the frames
// with libtins, including valid checksums.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "pcap/packet.h"
#include "pcap/reader.h"

namespace sloestack::pcap {

// Receives complete frames in the order in which they are to be stored.
class Sink {
public:
    virtual ~Sink() = default;
    // Takes one frame. `time_ns`: Unix nanoseconds. `on_wire`: the frame's size on the wire in bytes, as in
    // Frame; 0 means the same as the size of `bytes`.
    virtual void frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t on_wire) = 0;
};

class File final : public Sink {
public:
    // Creates the file, or overwrites it. Throws CaptureFileError if that fails.
    explicit File(const std::string& path);
    ~File() override;
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    // Throws CaptureFileError if the write fails, so that a file truncated by a full disk is not taken for a
    // complete capture.
    void frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t on_wire = 0) override;
    // Flushes all frames to the operating system. Throws CaptureFileError if that fails.
    void close();
    std::uint64_t frames() const { return frames_; }

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
    std::string path_;
    std::uint64_t frames_ = 0;
};

// Returns the Ethernet II frame of one TCP segment, with a VLAN tag if `vlan` is not 0, and with an IPv4 or
// IPv6 header according to the addresses.
std::string build(const Segment& segment);

}  // namespace sloestack::pcap
