// A client's statement as it is forwarded to an endpoint.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "traffic/types.h"

namespace sloestack::traffic {

// The text as the client sent it. Only the digits that state the time left change with each attempt.
struct Statement {
    std::string text;
    // Where those digits stand in `text`, in bytes.
    std::size_t time_left_offset = 0;
    std::size_t time_left_size = 0;
    // For a large statement: its share of the memory budget, released with the statement.
    std::shared_ptr<void> memory_reservation = {};

    // The digits for `left`: whole milliseconds, rounded, at least 1.
    static std::string format_time_left(Micros left);
    // The text with `left` in place of the time the client stated.
    std::string with_time_left(Micros left) const;
};

}  // namespace sloestack::traffic
