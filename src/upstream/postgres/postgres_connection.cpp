#include "postgres/postgres_connection.h"

#include <algorithm>
#include <utility>

#include "invariant/invariant.h"
#include "pgwire/build.h"
#include "pgwire/error_fields.h"

namespace sloestack::postgres {
namespace {

// Enough for the largest buffered response, including the messages before and after its row.
constexpr std::size_t kMaxUnreadBytes = pgwire::kMaxBufferedMessageBytes + std::size_t{32} * 1024;
// A row with a larger value is passed on in chunks: its client expects the first bytes in time, not all of
// it.
constexpr std::size_t kMaxBufferedRowBytes = std::size_t{64} * 1024 + ResponseParser::kRowHeaderBytes;
// Responses of at least this size may arrive slowly; shorter ones are written at once.
constexpr std::size_t kLongResponseBytes = std::size_t{2} * 1024;
constexpr std::size_t kMaxStartupMessageBytes = std::size_t{8} * 1024;
constexpr std::size_t kQueryOverheadBytes = 8;  // of the message around a statement, to allocate once
constexpr const char* kHealthCheckQuery = "SHOW load";
constexpr std::string_view kStartupMessageTypes = "RSKNEZ";
constexpr std::string_view kInternalError = "XX000";  // used if the SQLSTATE is missing

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
    if (!SLOESTACK_INVARIANT(state_ == State::idle, "a connection has one query in flight at a time"))
        return false;
    state_ = State::busy;
    parser_ = ResponseParser();
    delivery_estimator_.reset();
    response_has_started_ = false;
    is_streaming_ = false;
    is_paused_ = false;
    return true;
}

void PostgresConnection::send_health_check() { send_text(kHealthCheckQuery); }

void PostgresConnection::send_query(std::shared_ptr<const traffic::Statement> statement, Time now,
                                    Micros time_left) {
    if (statement->is_long()) return send_partially(std::move(statement), now, time_left);
    send_text(statement->with_time_left(time_left));
}

// The kernel gets the query at once: what has been checked before may change until the next iteration.
void PostgresConnection::send_text(const std::string& statement) {
    if (!begin_query()) return;
    std::string out;
    out.reserve(statement.size() + kQueryOverheadBytes);
    pgwire::Builder(out).query(statement);
    connection_->write_now(out);
    report_if_sent();
}

void PostgresConnection::send_partially(std::shared_ptr<const traffic::Statement> statement, Time now,
                                        Micros time_left) {
    if (!begin_query()) return;
    has_sent_long_query_ = true;
    if (const auto progress = connection_->send_progress())
        delivery_estimator_.emplace(now, progress->peer_window);
    partial_query_.emplace(std::move(statement), time_left);
    partial_query_->write_start(*connection_);
}

bool PostgresConnection::is_query_transmitted() const {
    if (connection_->unwritten_bytes() > 0) return false;
    const auto progress = connection_->send_progress();
    return !progress || progress->unsent_bytes == 0;
}

std::optional<Time> PostgresConnection::estimate_read_by(Time now) {
    if (connection_->unwritten_bytes() > 0) return std::nullopt;
    const auto progress = connection_->send_progress();
    if (!progress || !delivery_estimator_) return now;
    delivery_estimator_->update(now, partial_query_->written_bytes(), *progress);
    if (delivery_estimator_->needs_newer_window()) partial_query_->write_byte(*connection_);
    return delivery_estimator_->read_by();
}

void PostgresConnection::complete_query(Micros time_left) {
    const auto query = std::exchange(partial_query_, std::nullopt);
    query->write_end(*connection_, time_left);
    report_if_sent();
}

bool PostgresConnection::is_query_delivered() const {
    if (partial_query_ || connection_->unwritten_bytes() > 0) return false;
    const auto progress = connection_->send_progress();
    return !progress || progress->unacknowledged_bytes == 0;
}

void PostgresConnection::drained() {
    if (state_ != State::busy) return;
    if (partial_query_) return events_.on_query_part_sent(*this);
    events_.on_query_sent(*this);
}

// To be called after writing to the kernel, which does not cause drained() if it has taken everything.
void PostgresConnection::report_if_sent() {
    if (connection_->unwritten_bytes() == 0) events_.on_query_sent(*this);
}

// ---- Receiving ----
void PostgresConnection::received() {
    // An endpoint's kernel may hold a duplicate response back until the response is acknowledged. It has to
    // arrive before the connection is reused.
    if (value_bytes_left_ <= connection_->unread_bytes()) connection_->acknowledge_now();
    try {
        // A callback may fail the connection or send its next query, but does not destroy this object at
        // once.
        while (state_ != State::broken && read_next()) {
        }
        // The query may have been sent by a callback just now; no part of its response has arrived then.
        if (state_ == State::busy && (response_has_started_ || connection_->unread_bytes() > 0))
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
    if (state_ == State::busy && *size > kMaxBufferedRowBytes) return begin_stream(*size);
    return read_message(*size);
}

bool PostgresConnection::read_message(std::size_t size) {
    if (connection_->unread_bytes() < size) return false;
    const auto message =
        pgwire::next_message(connection_->peek(size), [this](char type) { return max_size_of(type); });
    if (state_ == State::starting)
        handle_startup_message(*message);
    else
        handle_response_message(*message);
    return true;
}

// While the connection is idle, no message is allowed: extra bytes or a duplicate of the last response must
// not be read as the response to the next query.
std::size_t PostgresConnection::max_size_of(char type) const {
    if (state_ == State::busy) return parser_.max_size_of(type);
    if (state_ != State::starting) return 0;
    const bool is_startup_message = kStartupMessageTypes.find(type) != std::string_view::npos;
    return is_startup_message ? kMaxStartupMessageBytes : 0;
}

void PostgresConnection::handle_startup_message(const pgwire::Message& message) {
    if (message.type == 'R' && pgwire::FieldReader(message.body).int32() != 0)
        throw pgwire::ProtocolError("endpoint requires authentication, which is not supported");
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

void PostgresConnection::handle_response_message(const pgwire::Message& message) {
    response_has_started_ = true;
    const bool is_complete = parser_.read(message);
    connection_->consume(message.size);
    if (!is_complete) return;
    state_ = State::idle;
    has_responded_ = true;
    // The callback may send the next query, which replaces the parser.
    auto parser = std::move(parser_);
    events_.on_response(*this, parser.response());
}

bool PostgresConnection::begin_stream(std::size_t row_size) {
    const auto header = connection_->peek(ResponseParser::kRowHeaderBytes);
    if (header.size() < ResponseParser::kRowHeaderBytes) return false;
    const auto value_size = parser_.begin_streamed_row(header, row_size);
    connection_->consume(ResponseParser::kRowHeaderBytes);
    response_has_started_ = true;
    is_streaming_ = true;
    value_bytes_left_ = value_size;
    if (!events_.on_value_started(*this, *parser_.response().value, value_size)) value_bytes_left_ = 0;
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

bool PostgresConnection::is_receiving_long_response() const {
    return is_streaming_ || (state_ == State::busy && connection_->unread_bytes() >= kLongResponseBytes);
}

void PostgresConnection::set_paused(bool paused) {
    if (is_paused_ == paused || state_ != State::busy) return;
    is_paused_ = paused;
    connection_->set_reading_paused(paused);
    if (!paused) received();
}

// ---- Closing ----
void PostgresConnection::fail_invalid_response() {
    parser_ = ResponseParser();
    fail();
}

void PostgresConnection::ended(net::ConnectionEnd) {
    // A message was cut off: the part of the response before it is not used either.
    if (state_ != State::broken && connection_->unread_bytes() > 0) return fail_invalid_response();
    fail();
}

void PostgresConnection::fail() {
    if (state_ == State::broken) return;
    // The state is changed last, because the callback uses it to find out whether a query was in flight and
    // may have been executed.
    events_.on_connection_failed(*this, parser_.response(),
                                 startup_error_ == pgwire::code::kTooManyConnections);
    state_ = State::broken;
}

void PostgresConnection::close() {
    if (state_ == State::busy && !is_query_delivered()) connection_->reset_on_close();
    state_ = State::broken;
    value_bytes_left_ = 0;
    timeout.clear();
    connection_.reset();
    slot_ = net::DescriptorSlot();
}

}  // namespace sloestack::postgres
