// A query whose last bytes are held back while the rest of it is sent: an endpoint executes a query once it
// has the last byte, and what the kernel has taken can only be taken back by a reset.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "traffic/statement.h"
#include "transport/connection.h"

namespace sloestack::postgres {

class PartialQuery {
public:
    // Enough for the comment with the time left, and for bytes that are sent one by one before it.
    static constexpr std::size_t kHeldBackBytes = 1024;

    // The statement is longer than kHeldBackBytes.
    PartialQuery(std::shared_ptr<const traffic::Statement> statement, Micros time_left);

    // Writes everything before the bytes that are held back.
    void write_start(net::Connection& connection) const;
    // Writes one of the bytes that are held back, unless only the time left and what follows it remain.
    void write_byte(net::Connection& connection);
    // Writes the rest, with the time that is left now.
    void write_end(net::Connection& connection, Micros time_left) const;
    std::size_t written_bytes() const { return header_.size() + next_; }

private:
    std::string_view text() const { return statement_->text; }
    std::size_t time_left_end() const { return statement_->time_left_offset + statement_->time_left_size; }
    bool holds_time_left_back() const { return time_left_end() > next_; }

    std::shared_ptr<const traffic::Statement> statement_;
    std::string time_left_digits_;  // as it was at the start: the number of digits is a part of the header
    std::string header_;
    std::size_t next_;  // position in the statement's text of the first byte that is held back
};

}  // namespace sloestack::postgres
