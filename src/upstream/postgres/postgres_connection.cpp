#include "postgres/postgres_connection.h"

#include <algorithm>

#include "invariant/invariant.h"
#include "pgwire/build.h"
#include "pgwire/error_fields.h"

namespace sloestack::postgres {
namespace {

// Space for the largest reply that is buffered, and what comes before and after it.
constexpr std::size_t kMaxUnreadBytes = pgwire::kMaxBufferedMessageBytes + std::size_t{32} * 1024;
constexpr std::size_t kMaxStartupMessageBytes = std::size_t{8} * 1024;
constexpr std::size_t kQueryOverheadBytes = 8;  // of the message round a statement, for one allocation
constexpr const char* kHealthCheckQuery = "SHOW load";
constexpr std::string_view kStartupMessageTypes = "RSKNEZ";
constexpr std::string_view kInternalError = "XX000";  // stands for a SQLSTATE that is missing

}  // namespace

PostgresConnection::PostgresConnection(net::Loop& loop, const sockaddr_in& address, net::DescriptorSlot slot,
                                       const Credentials& credentials,
                                       upstream::UpstreamConnectionEvents& events)
    : credentials_(credentials), events_(events), slot_(std::move(slot)) {
    connection_ = net::Connection::open(loop, address, kMaxUnreadBytes, *this);
}

// ---- Sending ----
void PostgresConnection::connected() {
    state_ = State::starting;
    std::string out;
    pgwire::Builder(out).startup_message(credentials_.user, credentials_.database);
    connection_->write(out);
}

bool PostgresConnection::begin_query() {
    if (!SLOESTACK_INVARIANT(state_ == State::idle, "one query at a time on a link")) return false;
    state_ = State::busy;
    reply_ = ReplyParser();
    reply_has_begun_ = false;
    is_streaming_ = false;
    is_paused_ = false;
    return true;
}

void PostgresConnection::send_health_check() { send_text(kHealthCheckQuery); }

void PostgresConnection::send_query(std::shared_ptr<const traffic::Statement> statement, Micros time_left) {
    if (statement->text.size() <= pgwire::kMaxBufferedMessageBytes)
        return send_text(statement->with_time_left(time_left));
    send_large_statement(statement, time_left);
}

void PostgresConnection::send_text(const std::string& statement) {
    if (!begin_query()) return;
    std::string out;
    out.reserve(statement.size() + kQueryOverheadBytes);
    pgwire::Builder(out).query(statement);
    connection_->write(out);
}

// Written from where it is kept: no copy for each attempt.
void PostgresConnection::send_large_statement(const std::shared_ptr<const traffic::Statement>& statement,
                                              Micros time_left) {
    if (!begin_query()) return;
    const std::string_view text = statement->text;
    const auto digits = traffic::Statement::format_time_left(time_left);
    const auto digits_end = statement->time_left_offset + statement->time_left_size;
    std::string head;
    pgwire::Builder(head).query_header(text.size() - statement->time_left_size + digits.size());
    connection_->write(head);
    connection_->write(text.substr(0, statement->time_left_offset), statement);
    connection_->write(digits);
    connection_->write(std::string(text.substr(digits_end)) + '\0');
}

void PostgresConnection::drained() {
    if (state_ == State::busy) events_.on_query_sent(*this);
}

// ---- Receiving ----
void PostgresConnection::received() {
    try {
        // A callback may break the connection or send its next query, but does not destroy it at once.
        while (state_ != State::broken && read_next()) {
        }
        // For a query that has only just been sent no part of a reply has arrived yet.
        if (state_ == State::busy && (reply_has_begun_ || connection_->unread_bytes() > 0))
            events_.on_response_progress(*this);
    } catch (const pgwire::ProtocolError&) {
        fail_invalid_response();
    }
}

bool PostgresConnection::read_next() {
    if (value_bytes_left_ > 0) return read_value_chunk();
    const auto size = pgwire::next_message_size(connection_->peek(pgwire::kMessageHeaderBytes),
                                                [this](char type) { return max_size_of(type); });
    if (!size) return false;
    if (state_ == State::busy && *size > pgwire::kMaxBufferedMessageBytes) return begin_stream(*size);
    return read_message(*size);
}

bool PostgresConnection::read_message(std::size_t size) {
    if (connection_->unread_bytes() < size) return false;
    const auto message =
        pgwire::next_message(connection_->peek(size), [this](char type) { return max_size_of(type); });
    if (state_ == State::starting)
        handle_startup_message(*message);
    else
        handle_reply_message(*message);
    return true;
}

// While idle nothing may come: stray bytes, or a duplicate of the last reply, must not be read as the reply
// to the next query.
std::size_t PostgresConnection::max_size_of(char type) const {
    if (state_ == State::busy) return reply_.max_size_of(type);
    if (state_ != State::starting) return 0;
    const bool is_startup_message = kStartupMessageTypes.find(type) != std::string_view::npos;
    return is_startup_message ? kMaxStartupMessageBytes : 0;
}

void PostgresConnection::handle_startup_message(const pgwire::Message& message) {
    if (message.type == 'R' && pgwire::FieldReader(message.body).int32() != 0)
        throw pgwire::ProtocolError("a member asks for a password");
    if (message.type == 'E') {
        startup_error_ =
            pgwire::find_error_field(message.body, pgwire::kSqlstateField).value_or(kInternalError);
        return fail();
    }
    connection_->consume(message.size);
    if (message.type != 'Z') return;
    state_ = State::idle;
    events_.on_connection_established(*this);
}

void PostgresConnection::handle_reply_message(const pgwire::Message& message) {
    reply_has_begun_ = true;
    const bool is_complete = reply_.read(message);
    connection_->consume(message.size);
    if (!is_complete) return;
    state_ = State::idle;
    has_answered_ = true;
    // The callback may send the next query, which replaces the parser.
    auto reply = std::move(reply_);
    events_.on_response(*this, reply.response());
}

bool PostgresConnection::begin_stream(std::size_t row_size) {
    const auto head = connection_->peek(ReplyParser::kRowHeadBytes);
    if (head.size() < ReplyParser::kRowHeadBytes) return false;
    const auto value_size = reply_.begin_streamed_row(head, row_size);
    connection_->consume(ReplyParser::kRowHeadBytes);
    reply_has_begun_ = true;
    is_streaming_ = true;
    value_bytes_left_ = value_size;
    if (!events_.on_value_started(*this, *reply_.response().value, value_size)) value_bytes_left_ = 0;
    return true;
}

bool PostgresConnection::read_value_chunk() {
    if (is_paused_ || connection_->unread_bytes() == 0) return false;
    const auto bytes = connection_->peek(std::min(value_bytes_left_, pgwire::kMaxBufferedMessageBytes));
    value_bytes_left_ -= bytes.size();
    events_.on_value_chunk(*this, bytes);
    if (state_ != State::broken) connection_->consume(bytes.size());
    return true;
}

void PostgresConnection::set_paused(bool paused) {
    if (is_paused_ == paused || state_ != State::busy) return;
    is_paused_ = paused;
    connection_->set_reading_paused(paused);
    if (!paused) received();
}

// ---- The end ----
void PostgresConnection::fail_invalid_response() {
    reply_ = ReplyParser();
    fail();
}

void PostgresConnection::ended(net::ConnectionEnd) {
    // Amid a message: what came before it is not used either.
    if (state_ != State::broken && connection_->unread_bytes() > 0) return fail_invalid_response();
    fail();
}

void PostgresConnection::fail() {
    if (state_ == State::broken) return;
    // The state still tells whether a query was out and may have been executed.
    events_.on_connection_failed(*this, reply_.response(),
                                 startup_error_ == pgwire::code::kTooManyConnections);
    state_ = State::broken;
}

void PostgresConnection::close() {
    state_ = State::broken;
    value_bytes_left_ = 0;
    timeout.clear();
    connection_.reset();
    slot_ = net::DescriptorSlot();
}

}  // namespace sloestack::postgres
