// A client's statement in the form that is forwarded to endpoints.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "traffic/types.h"

namespace sloestack::traffic {

// The text as the client sent it. Each attempt replaces only
// the digits that state the time left until the deadline.
struct Statement {
    // Longer statements are sent to endpoints without a copy, and their last bytes on their own.
    static constexpr std::size_t kMaxShortBytes = std::size_t{8} * 1024;

    std::string text;
    // The position of those digits in `text`, in bytes.
    std::size_t time_left_offset = 0;
    std::size_t time_left_size = 0;
    // A large statement's share of the memory budget, released
    // when the statement is destroyed; null for others.
    std::shared_ptr<void> memory_reservation = {};

    bool is_long() const { return text.size() > kMaxShortBytes; }
    // Returns the digits for `left`, in whole milliseconds: rounded, at least 1.
    static std::string format_time_left(Micros left);
    // The same in exactly `digits` digits: with leading zeros, or the largest number if there are too few.
    static std::string format_time_left(Micros left, std::size_t digits);
    // Returns the text with `left` in place of the time that the client stated.
    std::string with_time_left(Micros left) const;
};

}  // namespace sloestack::traffic
