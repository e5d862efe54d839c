// The pool's callbacks for established connections, responses and failures.
#include "connection_pool/connection_pool.h"

namespace sloestack::upstream {
namespace {

using decision::Outcome;

// The longest time between two parts of a short response, which endpoints write at once.
constexpr Micros kResponsePartTimeoutUs = 150'000;
// The same for a long response, which may arrive slowly. The attempt's time-out applies too, unless the
// response is streamed.
constexpr Micros kLongResponsePartTimeoutUs = 5'000'000;

}  // namespace

void ConnectionPool::on_connection_established(UpstreamConnection& connection) {
    auto& endpoint = *connections_.at(&connection).endpoint;
    --endpoint.connecting_count;
    make_idle(endpoint, connection);
}

void ConnectionPool::on_query_part_sent(UpstreamConnection& connection) {
    if (auto* attempt = connections_.at(&connection).attempt) try_to_complete(*attempt);
}

void ConnectionPool::on_query_sent(UpstreamConnection& connection) {
    const auto* attempt = connections_.at(&connection).attempt;
    if (attempt && !attempt->is_health_check) metrics_.count_attempt_sent(attempt->attempt.request_class);
}

// Once its response has started, an attempt no longer times out: the part already written to the client
// cannot be taken back.
bool ConnectionPool::on_value_started(UpstreamConnection& connection, const traffic::ResultValue& head,
                                      std::size_t size) {
    auto& attempt = *connections_.at(&connection).attempt;
    const decision::ResponseStarted started{attempt.attempt.request, attempt.attempt.number,
                                            attempt.attempt.endpoint, deadlines_.now() - attempt.started_at};
    if (!attempt.is_health_check && listener_.on_response_started(started, head, size, connection)) {
        attempt.attempt_timeout.clear();
        attempt.delivery_timeout.clear();
        return true;
    }
    abort_attempt(attempt, Outcome::cancelled);
    return false;
}

void ConnectionPool::on_value_chunk(UpstreamConnection& connection, std::string_view bytes) {
    listener_.on_value_chunk(connections_.at(&connection).attempt->attempt.request, bytes);
}

void ConnectionPool::on_response_progress(UpstreamConnection& connection) {
    if (connection.is_paused()) return connection.timeout.clear();  // waits for the client to read
    const Micros timeout =
        connection.is_receiving_long_response() ? kLongResponsePartTimeoutUs : kResponsePartTimeoutUs;
    connection.timeout.set(deadlines_, deadlines_.now() + timeout,
                           [&connection] { connection.fail_invalid_response(); });
}

void ConnectionPool::on_response(UpstreamConnection& connection, UpstreamResponse& response) {
    connection.timeout.clear();
    auto& state = connections_.at(&connection);
    auto* attempt = std::exchange(state.attempt, nullptr);
    attempt->connection = nullptr;
    auto& endpoint = *state.endpoint;
    attempts_.finish(*attempt, *response.outcome, &response);
    delay_reuse(endpoint, connection);
}

void ConnectionPool::on_connection_failed(UpstreamConnection& connection, UpstreamResponse& response,
                                          bool too_many_connections) {
    const auto state = connections_.at(&connection);
    auto& endpoint = *state.endpoint;
    const bool was_established = connection.is_established();
    const bool may_have_executed = connection.may_have_executed();
    close(connection);
    if (state.attempt) {
        state.attempt->connection = nullptr;
        if (response.outcome) return attempts_.finish(*state.attempt, *response.outcome, &response);
        return attempts_.finish(*state.attempt, may_have_executed ? Outcome::reset : Outcome::connect_failed);
    }
    if (was_established)
        return serve_waiting_attempts(endpoint);  // a waiting attempt may need another connection
    // A connection that cannot be established fails one attempt; the others wait for the other connections.
    if (endpoint.waiting_attempts.size() <= endpoint.connecting_count) return;
    auto& attempt = *endpoint.waiting_attempts.front();
    endpoint.waiting_attempts.pop_front();
    attempts_.finish(attempt, too_many_connections ? Outcome::overloaded : Outcome::connect_failed);
}

}  // namespace sloestack::upstream
