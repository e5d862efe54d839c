#include "connection_pool/connection_pool.h"

#include <algorithm>

namespace sloestack::upstream {
namespace {

using decision::EndpointListKind;
using decision::Outcome;

// Idle connections are closed this long before the endpoint would close them.
constexpr Micros kIdleTimeoutMarginUs = 1'000'000;
// The delay between a response and the next query on the same connection. Without it, a duplicate response or
// extra bytes right after a response would be read as the response to the next query.
constexpr Micros kReuseDelayUs = 20'000;
constexpr Micros kClientCheckIntervalUs = 1'000;  // of attempts whose client may have disconnected

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
        const bool has_new_address = endpoint->update(listed, settings_.removal_is_advisory);
        if (!has_new_address) continue;
        close_idle_connections(*endpoint);
        for (const auto& connection : endpoint->connections)
            connections_.at(connection.get()).is_outdated = true;
    }
    for (auto& [id, endpoint] : endpoints_)
        if (endpoint->is_draining) expire_waiting_attempts(*endpoint);
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

void ConnectionPool::expire_waiting_attempts(EndpointConnections& endpoint) {
    close_idle_connections(endpoint);
    const auto waiting = std::exchange(endpoint.waiting_attempts, {});
    const auto unverified = std::exchange(endpoint.unverified_attempts, {});
    for (auto* attempt : waiting) attempts_.finish(*attempt, Outcome::expired);
    for (auto* attempt : unverified) attempts_.finish(*attempt, Outcome::expired);
}

// ---- Attempts and health checks ----
void ConnectionPool::send(const traffic::Attempt& attempt) { start(attempts_.add(attempt)); }

void ConnectionPool::start_health_check(traffic::EndpointId endpoint) {
    start(attempts_.add_health_check(endpoint));
}

void ConnectionPool::cancel_attempt(traffic::RequestId request, int number) {
    if (auto* attempt = attempts_.find(request, number)) abort_attempt(*attempt, Outcome::cancelled);
}

void ConnectionPool::start(PendingAttempt& attempt) {
    const auto found = endpoints_.find(attempt.attempt.endpoint);
    if (found == endpoints_.end() || !found->second->address)
        return attempts_.finish(attempt, Outcome::connect_failed);
    attempt.endpoint = found->second.get();
    attempt.attempt_timeout.set(deadlines_, attempt.attempt.timeout_at,
                                [this, &attempt] { abort_attempt(attempt, Outcome::timeout); });
    if (const auto deliver_by = attempt.attempt.deliver_by)
        attempt.delivery_timeout.set(deadlines_, *deliver_by,
                                     [this, &attempt] { on_delivery_timeout(attempt); });
    enqueue(attempt);
}

// An attempt that may not be sent takes no connection.
void ConnectionPool::enqueue(PendingAttempt& attempt) {
    const auto permission = send_permission(attempt);
    if (permission == SendPermission::denied) return attempts_.finish(attempt, Outcome::expired);
    if (permission == SendPermission::undecided) return await_permission(attempt);
    attempt.started_at = deadlines_.now();
    attempt.connect_timeout.set(deadlines_, attempt.started_at + settings_.connect_timeout_us,
                                [this, &attempt] { abort_attempt(attempt, Outcome::connect_failed); });
    attempt.endpoint->waiting_attempts.push_back(&attempt);
    serve_waiting_attempts(*attempt.endpoint);
}

void ConnectionPool::await_permission(PendingAttempt& attempt) {
    attempt.connect_timeout.clear();
    attempt.endpoint->unverified_attempts.push_back(&attempt);
    attempt.client_check.set(deadlines_, deadlines_.now() + kClientCheckIntervalUs, [this, &attempt] {
        attempt.endpoint->remove_waiting(attempt);
        enqueue(attempt);
    });
}

// Sends waiting attempts on idle connections, then opens connections until as many are being established as
// attempts still wait.
void ConnectionPool::serve_waiting_attempts(EndpointConnections& endpoint) {
    while (serve_one_waiting_attempt(endpoint)) {
    }
    while (endpoint.connecting_count < endpoint.waiting_attempts.size()) {
        if (open_connection(endpoint)) continue;
        // No descriptor is free or no socket could be opened: the attempt is not sent.
        auto& attempt = *endpoint.waiting_attempts.back();
        endpoint.waiting_attempts.pop_back();
        attempts_.finish(attempt, Outcome::expired);
    }
}

// Returns false if no waiting attempt may use any of the idle connections.
bool ConnectionPool::serve_one_waiting_attempt(EndpointConnections& endpoint) {
    for (auto* attempt : endpoint.waiting_attempts) {
        auto* connection = find_idle_connection(endpoint, *attempt);
        if (!connection) continue;
        if (!connection->is_reusable()) {  // closed by the endpoint, not yet reported
            close(*connection);
            return true;
        }
        endpoint.remove_waiting(*attempt);
        if (send_on(*connection, *attempt)) endpoint.remove_idle(*connection);
        return true;
    }
    return false;
}

ConnectionPool::SendPermission ConnectionPool::send_permission(const PendingAttempt& attempt) {
    using traffic::RequestState;
    if (attempt.endpoint->is_draining) return SendPermission::denied;
    if (!is_within_window(attempt)) return SendPermission::denied;
    if (attempt.is_health_check) return SendPermission::granted;
    const auto state = listener_.request_state(attempt.attempt.request);
    if (state == RequestState::unverified) return SendPermission::undecided;
    const bool may_begin = state == RequestState::active &&
                           listener_.meets_consistency(attempt.attempt.request, attempt.attempt.endpoint);
    return may_begin ? SendPermission::granted : SendPermission::denied;
}

bool ConnectionPool::send_on(UpstreamConnection& connection, PendingAttempt& attempt) {
    const auto permission = send_permission(attempt);
    if (permission == SendPermission::undecided) {
        await_permission(attempt);
        return false;
    }
    if (permission == SendPermission::denied) {
        attempts_.finish(attempt, Outcome::expired);
        return false;
    }
    attempt.connect_timeout.clear();
    attempt.connection = &connection;
    attempt.on_reused_connection = connection.has_responded_before();
    connections_.at(&connection).attempt = &attempt;
    connection.timeout.clear();
    if (attempt.is_health_check)
        connection.send_health_check();
    else
        connection.send_query(attempt.attempt.statement, deadlines_.now(), time_left(attempt));
    if (connection.is_query_incomplete()) try_to_complete(attempt);
    return true;
}

// Ends an attempt that waits for a connection or for its response. In the latter case closes the connection,
// as the response may still arrive on it.
void ConnectionPool::abort_attempt(PendingAttempt& attempt, Outcome outcome) {
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
    ++endpoint.connecting_count;
    connection.timeout.set(deadlines_, deadlines_.now() + settings_.connect_timeout_us, [this, &connection] {
        UpstreamResponse empty;
        on_connection_failed(connection, empty, false);
    });
    return true;
}

void ConnectionPool::shrink_to_quota() {
    bool has_closed_connection = true;
    while (quota_.is_exceeded() && has_closed_connection) has_closed_connection = close_one_idle_connection();
}

// Closes the connection that has been idle for longest at the endpoint with the most idle connections.
bool ConnectionPool::close_one_idle_connection() {
    EndpointConnections* most_idle = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->idle_connections.empty()) continue;
        if (!most_idle || endpoint->idle_connections.size() > most_idle->idle_connections.size())
            most_idle = endpoint.get();
    }
    if (!most_idle) return false;
    // Destroyed now rather than at the end of the iteration, because its descriptor is needed at once.
    const auto* connection = most_idle->idle_connections.front();
    const auto position = connections_.at(connection).position;
    most_idle->idle_connections.erase(most_idle->idle_connections.begin());
    connections_.erase(connection);
    most_idle->connections.erase(position);
    return true;
}

void ConnectionPool::close_idle_connections(EndpointConnections& endpoint) {
    while (!endpoint.idle_connections.empty()) close(*endpoint.idle_connections.back());
}

void ConnectionPool::close(UpstreamConnection& connection) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) return;
    auto& endpoint = *found->second.endpoint;
    if (!connection.is_established()) --endpoint.connecting_count;
    endpoint.remove_idle(connection);
    auto owned = std::move(*found->second.position);
    endpoint.connections.erase(found->second.position);
    connections_.erase(found);
    owned->close();
    loop_.delete_later(std::move(owned));
}

void ConnectionPool::delay_reuse(EndpointConnections& endpoint, UpstreamConnection& connection) {
    if (!connection.is_reusable()) {
        close(connection);
        return serve_waiting_attempts(endpoint);
    }
    connection.timeout.set(deadlines_, deadlines_.now() + kReuseDelayUs, [this, &connection] {
        make_idle(*connections_.at(&connection).endpoint, connection);
    });
}

void ConnectionPool::make_idle(EndpointConnections& endpoint, UpstreamConnection& connection) {
    if ((endpoint.is_draining || quota_.is_exceeded()) && endpoint.waiting_attempts.empty())
        return close(connection);
    if (connections_.at(&connection).is_outdated) {
        close(connection);
        return serve_waiting_attempts(endpoint);
    }
    endpoint.idle_connections.push_back(&connection);
    const Micros idle_timeout =
        std::max(settings_.idle_timeout_us - kIdleTimeoutMarginUs, settings_.idle_timeout_us / 2);
    connection.timeout.set(deadlines_, deadlines_.now() + idle_timeout,
                           [this, &connection] { close(connection); });
    serve_waiting_attempts(endpoint);
}

}  // namespace sloestack::upstream
