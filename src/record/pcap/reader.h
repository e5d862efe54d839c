// Reads capture files one packet at a time through libpcap's offline functions: pcap with microsecond or
// nanosecond timestamps in either byte order, and pcapng. Never opens a network interface.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::pcap {

// A capture file that cannot be opened, read or written: it is missing, is not a capture file, has a link
// type that is not supported, or a write failed.
struct CaptureFileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Frame {
    std::int64_t time_ns = 0;   // Unix nanoseconds, as stored in the file
    std::string_view bytes;     // valid until the next call of next()
    std::uint32_t on_wire = 0;  // size of the packet in bytes when captured; larger than `bytes` if a snap
                                // length truncated it
};

class Reader {
public:
    // Opens the file at `path`. Throws CaptureFileError if that fails, or if `path` is "-": standard input is
    // not supported.
    explicit Reader(const std::string& path);
    // Reads from a stream that is open for reading, and takes ownership of it: it is closed also if the
    // constructor throws. `name` is used in error messages.
    Reader(std::FILE* file, const std::string& name);
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // Returns the next packet, or std::nullopt at the end of the file. A truncated or malformed record ends
    // the file early: fault() then describes the error, and the packets before it remain valid.
    std::optional<Frame> next();
    const std::string& fault() const { return fault_; }  // empty if there was no error
    int link_type() const { return link_type_; }         // a DLT_ number, see pcap-linktype(7)
    // Returns libpcap's name of the link type, or its number if libpcap has no name for it.
    std::string link_name() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
    std::string fault_;
    int link_type_ = 0;
};

}  // namespace sloestack::pcap
