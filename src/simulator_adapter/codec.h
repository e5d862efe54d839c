// The wire's framing: reading big-endian fields out of a record and writing records into a reply.
#pragma once

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::simulator {

struct BadFrame : std::runtime_error {
    BadFrame(std::size_t offset, const std::string& why)
        : std::runtime_error("bad frame at byte " + std::to_string(offset) + ": " + why) {}
};

constexpr std::size_t kBatchHeader = 16;
constexpr std::size_t kReplyHeader = 8;
constexpr std::uint32_t kLargestFrame = 1u << 30;

// A cursor over big-endian fields; reading past the end throws BadFrame naming the offset in the frame.
class Fields {
public:
    Fields(const unsigned char* data, std::size_t size, std::size_t offset)
        : p_(data), left_(size), at_(offset) {}

    template <class T>
    T uint() {
        need(sizeof(T));
        T value = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i)
            value = static_cast<T>((static_cast<std::uint64_t>(value) << 8) | p_[i]);
        skip(sizeof(T));
        return value;
    }
    float real() {
        const auto bits = uint<std::uint32_t>();
        float value = 0;
        std::memcpy(&value, &bits, sizeof value);
        return value;
    }
    Fields part(std::size_t size) {
        need(size);
        Fields out(p_, size, at_);
        skip(size);
        return out;
    }
    std::string_view bytes(std::size_t size) {
        need(size);
        const std::string_view out(reinterpret_cast<const char*>(p_), size);
        skip(size);
        return out;
    }
    std::size_t left() const { return left_; }
    std::size_t offset() const { return at_; }

private:
    void need(std::size_t size) const {
        if (size > left_) throw BadFrame(at_, "a field or count runs past its end");
    }
    void skip(std::size_t size) {
        p_ += size;
        left_ -= size;
        at_ += size;
    }

    const unsigned char* p_;
    std::size_t left_;
    std::size_t at_;
};

// One reply frame, built record by record.
class Reply {
public:
    Reply() { clear(); }
    void clear() {
        out_.assign(kReplyHeader, 0);
        records_ = 0;
    }
    void instance(std::uint16_t i) {
        begin(1120, 2);
        put(i);
    }
    void fault(std::string_view text) { texted(1090, text); }
    void action(const sloestack::decision::Action& action);
    const std::vector<unsigned char>& finish();

private:
    template <class T>
    void put(T value) {
        for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
            out_.push_back(static_cast<unsigned char>(static_cast<std::uint64_t>(value) >> shift));
    }
    void begin(std::uint16_t code, std::uint32_t size) {
        put(code);
        put(size);
        ++records_;
    }
    void texted(std::uint16_t code, std::string_view text);

    std::vector<unsigned char> out_;
    std::uint32_t records_ = 0;
};

}  // namespace sloestack::simulator
