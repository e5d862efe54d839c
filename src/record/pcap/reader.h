// Capture files: reads pcap (microsecond and nanosecond, both byte orders) and pcapng, one packet at a time,
// on libpcap's offline calls. Nothing here opens an interface.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::pcap {

// A file that cannot be read at all: missing, no capture file, or of a link type that libpcap does not know.
struct CaptureFileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Frame {
    std::int64_t time_ns = 0;   // Unix nanoseconds, as the file has them
    std::string_view bytes;     // good until the next call of next()
    std::uint32_t on_wire = 0;  // bytes the packet had; more than `bytes` holds where a snap length cut it
};

class Reader {
public:
    // Throws CaptureFileError. "-" is no file here: a capture is read from a path only.
    explicit Reader(const std::string& path);
    // The same from a stream that is open for reading; closes it. `name` stands in messages.
    Reader(std::FILE* file, const std::string& name);
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // The next packet; nothing at the end of what can be read. A last record that is not whole, or one that
    // is malformed, ends the file early: fault() then says what is wrong, and all packets before it count.
    std::optional<Frame> next();
    const std::string& fault() const { return fault_; }
    int link_type() const { return link_type_; }  // a DLT_ number, see pcap-linktype(7)
    std::string link_name() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
    std::string fault_;
    int link_type_ = 0;
};

}  // namespace sloestack::pcap
