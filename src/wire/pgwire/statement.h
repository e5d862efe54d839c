// The comment that every statement carries: id, c, d, k, cluster, after, r.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pgwire/frame.h"

namespace sloestack::pgwire {

struct Tags {
    std::string_view id, request_class, key;  // within the statement
    std::string_view first_literal;  // the first quoted text: the row's key, which can name a session
    std::int64_t time_left_ms = 0;
    std::size_t time_left_offset = 0, time_left_size = 0;  // where the digits of `d` stand
    int cluster = 0;
    std::optional<std::int64_t> after_ms;
    bool is_retry = false;
};

// Throws ProtocolError saying what is wrong with the statement.
Tags read_tags(std::string_view statement);
bool is_blank(std::string_view statement);  // an empty query

}  // namespace sloestack::pgwire
