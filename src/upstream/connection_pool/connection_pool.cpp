#include "connection_pool/connection_pool.h"

#include <algorithm>

namespace sloestack::upstream {
namespace {

using decision::EndpointListKind;
using decision::Outcome;

constexpr Micros kIdleTimeoutMarginUs = 1'000'000;  // closed this much before the endpoint would
// After a response, before the next query: a duplicate or stray bytes right behind a response would be read
// as the response to that query.
constexpr Micros kRestBeforeReuseUs = 20'000;

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, Deadlines& deadlines, net::DescriptorQuota& quota,
                               ConnectionPoolSettings settings, traffic::AttemptListener& listener,
                               metrics::RequestMetrics& metrics)
    : loop_(loop),
      deadlines_(deadlines),
      quota_(quota),
      settings_(std::move(settings)),
      listener_(listener),
      metrics_(metrics),
      attempts_(deadlines, listener) {}

ConnectionPool::~ConnectionPool() = default;

// ---- Endpoints ----
void ConnectionPool::update_endpoints(EndpointListKind kind,
                                      const std::vector<traffic::ListedEndpoint>& endpoints) {
    if (kind != EndpointListKind::changes) remove_unlisted(endpoints);
    for (const auto& listed : endpoints) {
        auto& endpoint = endpoints_[listed.endpoint.endpoint];
        if (!endpoint) endpoint = std::make_unique<EndpointConnections>();
        const bool has_moved = endpoint->update(listed, settings_.removal_is_advisory);
        if (!has_moved) continue;
        close_idle(*endpoint);
        for (const auto& connection : endpoint->connections)
            connections_.at(connection.get()).is_outdated = true;
    }
    for (auto& [id, endpoint] : endpoints_)
        if (endpoint->is_draining) expire_waiting(*endpoint);
    for (auto it = endpoints_.begin(); it != endpoints_.end();)
        it = it->second->is_unused() ? endpoints_.erase(it) : std::next(it);
}

void ConnectionPool::remove_unlisted(const std::vector<traffic::ListedEndpoint>& endpoints) {
    for (auto& [id, endpoint] : endpoints_) {
        const bool is_listed = std::any_of(endpoints.begin(), endpoints.end(), [id = id](const auto& listed) {
            return listed.endpoint.endpoint == id;
        });
        if (is_listed) continue;
        endpoint->is_removed = true;
        endpoint->is_draining = !settings_.removal_is_advisory;
    }
}

void ConnectionPool::expire_waiting(EndpointConnections& endpoint) {
    close_idle(endpoint);
    const auto waiting = std::exchange(endpoint.waiting, {});
    for (auto* attempt : waiting) attempts_.finish(*attempt, Outcome::expired);
}

// ---- Attempts and health checks ----
void ConnectionPool::send(const traffic::Attempt& attempt) { start(attempts_.add(attempt)); }

void ConnectionPool::start_health_check(traffic::EndpointId endpoint) {
    start(attempts_.add_health_check(endpoint));
}

void ConnectionPool::cancel_attempt(traffic::RequestId request, int number) {
    if (auto* attempt = attempts_.find(request, number)) give_up(*attempt, Outcome::cancelled);
}

void ConnectionPool::start(PendingAttempt& attempt) {
    const auto found = endpoints_.find(attempt.attempt.endpoint);
    if (found == endpoints_.end() || !found->second->address)
        return attempts_.finish(attempt, Outcome::connect_failed);
    attempt.endpoint = found->second.get();
    if (!may_send(attempt)) return attempts_.finish(attempt, Outcome::expired);
    attempt.attempt_timeout.set(deadlines_, attempt.attempt.timeout_at,
                                [this, &attempt] { give_up(attempt, Outcome::timeout); });
    attempt.connect_timeout.set(deadlines_, attempt.started_at + settings_.connect_timeout_us,
                                [this, &attempt] { give_up(attempt, Outcome::connect_failed); });
    attempt.endpoint->waiting.push_back(&attempt);
    serve_waiting(*attempt.endpoint);
}

// Gives waiting attempts the idle connections, then has as many connecting as attempts still wait.
void ConnectionPool::serve_waiting(EndpointConnections& endpoint) {
    while (!endpoint.waiting.empty() && !endpoint.idle.empty()) {
        auto& connection = *endpoint.idle.back();
        if (!connection.is_reusable()) {  // it has closed, but its callback is still outstanding
            close(connection);
            continue;
        }
        auto& attempt = *endpoint.waiting.front();
        endpoint.waiting.pop_front();
        if (send_on(connection, attempt)) endpoint.idle.pop_back();
    }
    while (endpoint.connecting < endpoint.waiting.size()) {
        if (open_connection(endpoint)) continue;
        // No descriptor is free, or no socket could be opened: the attempt is not sent at all.
        auto& attempt = *endpoint.waiting.back();
        endpoint.waiting.pop_back();
        attempts_.finish(attempt, Outcome::expired);
    }
}

// Checked right before an attempt's first byte is written, whether it has waited for a connection or not.
bool ConnectionPool::may_send(const PendingAttempt& attempt) {
    if (attempt.endpoint->is_draining) return false;
    const auto& start_by = attempt.attempt.start_by;
    if (start_by && deadlines_.now() >= *start_by) return false;
    return attempt.is_health_check || listener_.is_request_active(attempt.attempt.request);
}

bool ConnectionPool::send_on(UpstreamConnection& connection, PendingAttempt& attempt) {
    if (!may_send(attempt)) {
        attempts_.finish(attempt, Outcome::expired);
        return false;
    }
    attempt.connect_timeout.clear();
    attempt.connection = &connection;
    attempt.on_reused_connection = connection.has_answered_before();
    connections_.at(&connection).attempt = &attempt;
    connection.timeout.clear();
    if (attempt.is_health_check)
        connection.send_health_check();
    else
        connection.send_query(attempt.attempt.statement, attempt.attempt.timeout_at - deadlines_.now());
    return true;
}

// Stops waiting for a connection, or for a response: the connection it would arrive on is closed.
void ConnectionPool::give_up(PendingAttempt& attempt, Outcome outcome) {
    const bool may_have_executed = attempt.connection && attempt.connection->may_have_executed();
    if (attempt.connection)
        close(*attempt.connection);
    else
        attempt.endpoint->remove_waiting(attempt);
    if (outcome == Outcome::timeout && !may_have_executed) outcome = Outcome::expired;
    attempts_.finish(attempt, outcome);
}

// ---- Connections ----
bool ConnectionPool::open_connection(EndpointConnections& endpoint) {
    auto slot = quota_.acquire();
    if (!slot && close_one_idle_connection()) slot = quota_.acquire();
    if (!slot) return false;
    auto opened =
        settings_.connect(*endpoint.address, std::move(slot), static_cast<UpstreamConnectionEvents&>(*this));
    if (!opened->is_open()) return false;
    auto& connection = *opened;
    endpoint.connections.push_back(std::move(opened));
    connections_[&connection] =
        ConnectionState{&endpoint, std::prev(endpoint.connections.end()), nullptr, false};
    ++endpoint.connecting;
    connection.timeout.set(deadlines_, deadlines_.now() + settings_.connect_timeout_us, [this, &connection] {
        UpstreamResponse empty;
        on_connection_failed(connection, empty, false);
    });
    return true;
}

void ConnectionPool::shrink_to_quota() {
    bool has_closed = true;
    while (quota_.is_exceeded() && has_closed) has_closed = close_one_idle_connection();
}

// Closes the one idle for longest at the endpoint that has the most idle connections.
bool ConnectionPool::close_one_idle_connection() {
    EndpointConnections* most_idle = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->idle.empty()) continue;
        if (!most_idle || endpoint->idle.size() > most_idle->idle.size()) most_idle = endpoint.get();
    }
    if (!most_idle) return false;
    // Destroyed now, not at the end of the iteration: its descriptor is needed at once.
    const auto* connection = most_idle->idle.front();
    const auto position = connections_.at(connection).position;
    most_idle->idle.erase(most_idle->idle.begin());
    connections_.erase(connection);
    most_idle->connections.erase(position);
    return true;
}

void ConnectionPool::close_idle(EndpointConnections& endpoint) {
    while (!endpoint.idle.empty()) close(*endpoint.idle.back());
}

void ConnectionPool::close(UpstreamConnection& connection) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) return;
    auto& endpoint = *found->second.endpoint;
    if (!connection.is_established()) --endpoint.connecting;
    endpoint.remove_idle(connection);
    auto owned = std::move(*found->second.position);
    endpoint.connections.erase(found->second.position);
    connections_.erase(found);
    owned->close();
    loop_.delete_later(std::move(owned));
}

void ConnectionPool::rest_before_reuse(EndpointConnections& endpoint, UpstreamConnection& connection) {
    if (!connection.is_reusable()) {
        close(connection);
        return serve_waiting(endpoint);
    }
    connection.timeout.set(deadlines_, deadlines_.now() + kRestBeforeReuseUs, [this, &connection] {
        make_idle(*connections_.at(&connection).endpoint, connection);
    });
}

void ConnectionPool::make_idle(EndpointConnections& endpoint, UpstreamConnection& connection) {
    if ((endpoint.is_draining || quota_.is_exceeded()) && endpoint.waiting.empty()) return close(connection);
    if (connections_.at(&connection).is_outdated) {
        close(connection);
        return serve_waiting(endpoint);
    }
    endpoint.idle.push_back(&connection);
    const Micros idle_timeout =
        std::max(settings_.idle_timeout_us - kIdleTimeoutMarginUs, settings_.idle_timeout_us / 2);
    connection.timeout.set(deadlines_, deadlines_.now() + idle_timeout,
                           [this, &connection] { close(connection); });
    serve_waiting(endpoint);
}

}  // namespace sloestack::upstream
