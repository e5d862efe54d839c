// The framing of the simulator's wire: reads big-endian fields out of a record and writes records into a
// reply.
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

// A frame that cannot be read; `offset` counts bytes from the frame's beginning.
struct BadFrame : std::runtime_error {
    BadFrame(std::size_t offset, const std::string& why)
        : std::runtime_error("bad frame at byte " + std::to_string(offset) + ": " + why) {}
};

// Time (8 bytes), the frame's size and the count of its records (4 bytes each).
constexpr std::size_t kBatchHeaderBytes = 16;
constexpr std::size_t kBatchSizeOffset = 8;
// The count of records and the frame's size (4 bytes each).
constexpr std::size_t kReplyHeaderBytes = 8;
constexpr std::uint32_t kMaxFrameBytes = 1U << 30;

// Reads fields one after the other; does not own the data. Each read throws BadFrame where it would go past
// the end.
class FieldReader {
public:
    // `offset` is where the data begins in its frame.
    FieldReader(const unsigned char* data, std::size_t size, std::size_t offset)
        : next_(data), left_(size), offset_(offset) {}

    template <class Integer>
    Integer uint() {
        need(sizeof(Integer));
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
    // A reader of the next `size` bytes alone, which are skipped here.
    FieldReader part(std::size_t size) {
        need(size);
        const FieldReader out(next_, size, offset_);
        skip(size);
        return out;
    }
    std::string_view bytes(std::size_t size) {
        need(size);
        const std::string_view out(reinterpret_cast<const char*>(next_), size);
        skip(size);
        return out;
    }
    std::size_t left() const { return left_; }
    std::size_t offset() const { return offset_; }

private:
    void need(std::size_t size) const {
        if (size > left_) throw BadFrame(offset_, "a field or count runs past its end");
    }
    void skip(std::size_t size) {
        next_ += size;
        left_ -= size;
        offset_ += size;
    }

    const unsigned char* next_;
    std::size_t left_;
    std::size_t offset_;
};

// Writes one reply frame, record by record.
class ReplyWriter {
public:
    ReplyWriter() { clear(); }
    // Begins a new frame.
    void clear();
    // The actions that follow are this instance's.
    void add_instance(std::uint16_t number);
    // Texts are cut to 65,535 bytes, which the wire's length can count.
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
    // The number of microseconds, held to the wire's 32 bits.
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
