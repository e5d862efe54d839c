// The framing of the simulator's protocol: reads big-endian
// fields from a record and writes records to a reply.
#pragma once

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "record_codes.h"
#include "sloestack/router.h"

namespace sloestack::simulator {

// The error for a malformed frame. `offset` is the position
// of the fault, in bytes from the beginning of the frame.
struct FrameError : std::runtime_error {
    FrameError(std::size_t offset, const std::string& reason)
        : std::runtime_error("malformed frame at byte " + std::to_string(offset) + ": " + reason) {}
};

// The header of a batch: time (8 bytes), frame size and number of records (4 bytes each).
constexpr std::size_t kBatchHeaderBytes = 16;
constexpr std::size_t kBatchSizeOffset = 8;
// The header of a reply: number of records and frame size (4 bytes each).
constexpr std::size_t kReplyHeaderBytes = 8;
constexpr std::uint32_t kMaxFrameBytes = 1U << 30;

// Reads consecutive fields; does not own the data. A read beyond the end throws FrameError.
class FieldReader {
public:
    // `offset` is the position of `data` in its frame.
    FieldReader(const unsigned char* data, std::size_t size, std::size_t offset)
        : next_(data), bytes_left_(size), offset_(offset) {}

    template <class Integer>
    Integer uint() {
        require(sizeof(Integer));
        Integer value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            value = static_cast<Integer>((static_cast<std::uint64_t>(value) << 8) | next_[i]);
        skip(sizeof(Integer));
        return value;
    }
    float real() {
        const auto bits = uint<std::uint32_t>();
        float value = 0;
        std::memcpy(&value, &bits, sizeof value);
        return value;
    }
    // Returns a reader of the next `size` bytes, and skips them.
    FieldReader part(std::size_t size) {
        require(size);
        const FieldReader out(next_, size, offset_);
        skip(size);
        return out;
    }
    std::string_view bytes(std::size_t size) {
        require(size);
        const std::string_view out(reinterpret_cast<const char*>(next_), size);
        skip(size);
        return out;
    }
    std::size_t bytes_left() const { return bytes_left_; }
    std::size_t offset() const { return offset_; }

private:
    void require(std::size_t size) const {
        if (size > bytes_left_)
            throw FrameError(offset_, "a field or record extends beyond the end of its data");
    }
    void skip(std::size_t size) {
        next_ += size;
        bytes_left_ -= size;
        offset_ += size;
    }

    const unsigned char* next_;
    std::size_t bytes_left_;
    std::size_t offset_;
};

// Writes one reply frame, record by record.
class ReplyWriter {
public:
    ReplyWriter() { clear(); }
    // Starts a new frame.
    void clear();
    // Writes a record that assigns the actions that follow to this instance.
    void add_instance(std::uint16_t number);
    // Texts are truncated to 65,535 bytes, the largest length that the length field can hold.
    void add_fault(std::string_view text);
    void add_action(const decision::Action& action);
    // Completes the header and returns the frame, which is valid until the next clear().
    const std::vector<unsigned char>& finish();

private:
    template <class Integer>
    void put(Integer value) {
        for (int shift = static_cast<int>(sizeof(Integer)) * 8 - 8; shift >= 0; shift -= 8)
            frame_.push_back(static_cast<unsigned char>(static_cast<std::uint64_t>(value) >> shift));
    }
    void begin(ActionCode code, std::size_t body_bytes);
    // Writes a duration as 32 bits; values out of their range become 0 or the largest value.
    void put_micros(decision::Micros value);
    void add_text(ActionCode code, std::string_view text);

    void add(const decision::Forward& forward);
    void add(const decision::Reject& reject);
    void add(const decision::Fail& fail);
    void add(const decision::Cancel& cancel);
    void add(const decision::SetTimer& timer);
    void add(const decision::StartHealthCheck& check);
    void add(const decision::PollDiscovery& poll);
    void add(const decision::Log& entry);

    std::vector<unsigned char> frame_;
    std::uint32_t record_count_ = 0;
};

}  // namespace sloestack::simulator
