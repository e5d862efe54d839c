// Parses the comment at the end of each statement, which describes the request as `name=value` pairs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pgwire/frame.h"

namespace sloestack::pgwire {

// The pairs of the comment by their names there, and the first string literal. Views point into the
// statement.
struct Tags {
    std::string_view id, request_class, key;  // `id`, `c` and `k`, the idempotency key
    std::string_view first_literal;           // the row's key, which can identify a session
    std::int64_t time_left_ms = 0;            // `d`: time until the client's deadline
    // Position and number of the digits of `d` in the statement, in bytes.
    std::size_t time_left_offset = 0, time_left_size = 0;
    int cluster = 0;                       // `cluster`: number of the replica group
    std::optional<std::int64_t> after_ms;  // `after`: time of the session's last write, in ms since 1970
    bool is_retry = false;                 // `r=1`: the client marks the request as a retry
};

// Parses the comment of `statement`. Throws ProtocolError if the comment or the first string literal is
// missing or not valid; its message names what is wrong.
Tags read_tags(std::string_view statement);
// Returns true if `statement` consists of white space and semicolons.
bool is_blank(std::string_view statement);

}  // namespace sloestack::pgwire
