#include "postgres/partial_query.h"

#include "pgwire/build.h"

namespace sloestack::postgres {

PartialQuery::PartialQuery(std::shared_ptr<const traffic::Statement> statement, Micros time_left)
    : statement_(std::move(statement)), time_left_digits_(traffic::Statement::format_time_left(time_left)) {
    pgwire::Builder(header_).query_header(text().size() - statement_->time_left_size +
                                          time_left_digits_.size());
    next_ = text().size() - kHeldBackBytes;
    // The time left is held back as a whole.
    if (holds_time_left_back()) next_ = std::min(next_, statement_->time_left_offset);
}

void PartialQuery::write_start(net::Connection& connection) const {
    connection.write_now(header_);
    if (holds_time_left_back()) return connection.write_now(text().substr(0, next_), statement_);
    connection.write_now(text().substr(0, statement_->time_left_offset), statement_);
    connection.write_now(time_left_digits_);
    connection.write_now(text().substr(time_left_end(), next_ - time_left_end()), statement_);
}

void PartialQuery::write_byte(net::Connection& connection) {
    const auto end = holds_time_left_back() ? statement_->time_left_offset : text().size();
    if (next_ == end) return;
    connection.write_now(text().substr(next_, 1));
    ++next_;
}

void PartialQuery::write_end(net::Connection& connection, Micros time_left) const {
    std::string end(text().substr(next_));
    if (holds_time_left_back())
        end.replace(statement_->time_left_offset - next_, statement_->time_left_size,
                    traffic::Statement::format_time_left(time_left, time_left_digits_.size()));
    end.push_back('\0');
    connection.write_now(end);
}

}  // namespace sloestack::postgres
