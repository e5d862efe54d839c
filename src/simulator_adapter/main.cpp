// Reads batches from standard input and writes one reply per batch to standard output.
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "codec.h"
#include "host.h"

namespace {

using namespace sloestack::simulator;

// Returns false if the input ends before a frame begins. Throws FrameError if it ends inside a frame or the
// frame size is invalid.
bool read_frame(std::vector<unsigned char>& frame) {
    frame.resize(kBatchHeaderBytes);
    const auto header_bytes = std::fread(frame.data(), 1, frame.size(), stdin);
    if (header_bytes == 0) return false;
    if (header_bytes < frame.size()) throw FrameError(header_bytes, "input ends inside a header");
    FieldReader header(frame.data() + kBatchSizeOffset, sizeof(std::uint32_t), kBatchSizeOffset);
    const auto size = header.uint<std::uint32_t>();
    if (size < kBatchHeaderBytes || size > kMaxFrameBytes)
        throw FrameError(kBatchSizeOffset,
                         "frame size is not between 16 bytes and 1 GiB: " + std::to_string(size));
    frame.resize(size);
    const auto expected_bytes = size - kBatchHeaderBytes;
    const auto body_bytes = std::fread(frame.data() + kBatchHeaderBytes, 1, expected_bytes, stdin);
    if (body_bytes < expected_bytes)
        throw FrameError(kBatchHeaderBytes + body_bytes, "input ends inside a frame");
    return true;
}

bool write_frame(const std::vector<unsigned char>& frame) {
    return std::fwrite(frame.data(), 1, frame.size(), stdout) == frame.size() && std::fflush(stdout) == 0;
}

}  // namespace

int main() {
    try {
        Host host;
        std::vector<unsigned char> frame;
        while (read_frame(frame))
            if (!write_frame(host.handle_batch(frame))) return 1;
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
        return 1;
    }
}
