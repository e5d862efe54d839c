#include "sessions/client_framer.h"

#include <algorithm>

namespace sloestack::downstream {
namespace {

constexpr std::size_t kEmptyMessageBytes = 4;  // the length field alone

// Returns the maximum size in bytes, including the length field, of a message of this type from a client; 0
// if clients may not send the type.
std::size_t max_size_of(char type) {
    switch (type) {
        case 'Q':
            return pgwire::kMaxStatementBytes;
        case 'P':
        case 'B':
        case 'D':
        case 'E':
        case 'C':
        case 'F':
            return kMaxBufferedMessageBytes;
        case 'S':
        case 'H':
        case 'X':
            return kEmptyMessageBytes;
        default:
            return 0;
    }
}

}  // namespace

void ClientFramer::on_bytes_received(Time now, Micros age) {
    last_read_at_ = now;
    last_arrival_at_ = std::max(last_arrival_at_, now - age);
    arrivals_.record(connection_->consumed_bytes() + connection_->unread_bytes(), last_arrival_at_);
}

std::optional<pgwire::Message> ClientFramer::next_startup() {
    return pgwire::next_startup(connection_->peek());
}

std::optional<pgwire::Message> ClientFramer::next_message() {
    const auto size = pgwire::next_message_size(connection_->peek(pgwire::kMessageHeaderBytes), max_size_of);
    if (!size || connection_->unread_bytes() < *size) return std::nullopt;
    return pgwire::next_message(connection_->peek(), max_size_of);
}

Time ClientFramer::arrival_of(const pgwire::Message& message) {
    return arrivals_.arrival_of(connection_->consumed_bytes() + message.size, last_arrival_at_);
}

std::optional<std::string_view> ClientFramer::peek_query(std::size_t max_size) const {
    const auto size = pgwire::next_message_size(connection_->peek(pgwire::kMessageHeaderBytes), max_size_of);
    if (!size || *size > max_size || connection_->unread_bytes() < *size) return std::nullopt;
    const auto message = pgwire::next_message(connection_->peek(*size), max_size_of);
    if (!message || message->type != 'Q') return std::nullopt;
    return pgwire::FieldReader(message->body).text();
}

std::optional<std::size_t> ClientFramer::large_statement_size() const {
    const auto size = pgwire::next_message_size(connection_->peek(pgwire::kMessageHeaderBytes), max_size_of);
    if (!size || *size <= kMaxBufferedMessageBytes) return std::nullopt;
    return size;
}

Time ClientFramer::next_message_arrival() {
    return arrivals_.arrival_of(connection_->consumed_bytes() + pgwire::kMessageHeaderBytes,
                                last_arrival_at_);
}

bool ClientFramer::reserve_large_statement(std::size_t size) {
    reservation_ = budget_.reserve(size, this);
    waits_for_memory_ = !reservation_;
    return reservation_ != nullptr;
}

void ClientFramer::begin_large_statement(std::size_t size) {
    connection_->consume(pgwire::kMessageHeaderBytes);
    partial_statement_ =
        PartialStatement{{{}, std::move(reservation_)}, size, size - pgwire::kMessageHeaderBytes};
    partial_statement_->statement.text.reserve(partial_statement_->missing_bytes);
}

void ClientFramer::skip_large_statement(std::size_t size) {
    stop_waiting_for_memory();
    connection_->consume(pgwire::kMessageHeaderBytes);
    partial_statement_ = PartialStatement{{{}, nullptr, true}, size, size - pgwire::kMessageHeaderBytes};
}

std::optional<LargeStatement> ClientFramer::read_large_statement() {
    auto& [statement_read, size, missing_bytes] = *partial_statement_;
    const auto consumed_before = connection_->consumed_bytes();
    if (statement_read.is_skipped)
        connection_->consume(missing_bytes);
    else
        connection_->move_to(statement_read.text, missing_bytes);
    missing_bytes -= static_cast<std::size_t>(connection_->consumed_bytes() - consumed_before);
    if (missing_bytes > 0) return std::nullopt;
    auto statement = std::move(partial_statement_->statement);
    partial_statement_.reset();
    return statement;
}

Time ClientFramer::large_statement_arrival() {
    return arrivals_.arrival_of(connection_->consumed_bytes(), last_arrival_at_);
}

void ClientFramer::stop_waiting_for_memory() {
    budget_.stop_waiting(this);
    waits_for_memory_ = false;
}

void ClientFramer::stop() {
    stop_waiting_for_memory();
    partial_statement_.reset();
}

}  // namespace sloestack::downstream
