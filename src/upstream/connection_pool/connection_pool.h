// The connections to the endpoints and the attempts and health checks sent on them. Turns responses,
// connection failures and time-outs into outcomes. Does not choose an attempt's endpoint and is independent
// of the protocol.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <vector>

#include "connection_pool/attempt_registry.h"
#include "connection_pool/endpoint_connections.h"
#include "connection_pool/upstream_connection.h"
#include "deadlines/deadlines.h"
#include "metrics/metrics.h"
#include "traffic/attempt.h"
#include "traffic/endpoint_list.h"
#include "transport/descriptor_quota.h"

namespace sloestack::upstream {

struct ConnectionPoolSettings {
    ConnectionFactory connect;  // for the protocol of the endpoints
    Micros connect_timeout_us = 250'000;
    Micros idle_timeout_us = 15'000'000;  // of the endpoints; the pool closes idle connections earlier
    bool removal_is_advisory = false;     // attempts may still be sent to endpoints removed from discovery
};

class ConnectionPool final : public traffic::AttemptSender, private UpstreamConnectionEvents {
public:
    // `quota` limits the descriptors of the pool's connections. All references must outlive the pool.
    ConnectionPool(net::Loop& loop, Deadlines& deadlines, net::DescriptorQuota& quota,
                   ConnectionPoolSettings settings, traffic::AttemptListener& listener,
                   metrics::RequestMetrics& metrics);
    ~ConnectionPool() override;

    // Applies an endpoint list from discovery. Attempts that wait for a connection to a draining endpoint end
    // with the outcome `expired`, so that they may be sent to another endpoint.
    void update_endpoints(decision::EndpointListKind kind,
                          const std::vector<traffic::ListedEndpoint>& endpoints);
    void send(const traffic::Attempt& attempt) override;
    void cancel_attempt(traffic::RequestId request, int number) override;
    void start_health_check(traffic::EndpointId endpoint) override;

    // Closes idle connections until the quota, which may have been lowered, is no longer exceeded or no
    // connection is idle. Busy connections close after their responses.
    void shrink_to_quota();
    std::size_t connection_count() const { return connections_.size(); }

private:
    struct ConnectionState {
        EndpointConnections* endpoint;
        std::list<std::unique_ptr<UpstreamConnection>>::iterator position;
        PendingAttempt* attempt;  // waits for its response on this connection; null if there is none
        bool is_outdated;         // connected to an address that the endpoint no longer has
    };

    void remove_unlisted(const std::vector<traffic::ListedEndpoint>& endpoints);
    void expire_waiting_attempts(EndpointConnections& endpoint);

    // Whether an attempt may be sent now. Must be determined right before its first byte is written, whether
    // or not it had to wait for a connection.
    enum class SendPermission { granted, denied, undecided };

    void start(PendingAttempt& attempt);
    void enqueue(PendingAttempt& attempt);
    void serve_waiting_attempts(EndpointConnections& endpoint);
    bool serve_one_waiting_attempt(EndpointConnections& endpoint);
    SendPermission send_permission(const PendingAttempt& attempt);
    void await_permission(PendingAttempt& attempt);
    Micros time_left(const PendingAttempt& attempt) const {
        return attempt.attempt.timeout_at - deadlines_.now();
    }
    // Returns false if the attempt was not sent: it has ended or waits for its permission.
    bool send_on(UpstreamConnection& connection, PendingAttempt& attempt);
    void abort_attempt(PendingAttempt& attempt, decision::Outcome outcome);

    // ---- connection_pool_delivery.cpp ----
    bool is_within_window(const PendingAttempt& attempt) const;
    // Completes the attempt's query if it may still be executed; otherwise ends the attempt, or tries again
    // later.
    void try_to_complete(PendingAttempt& attempt);
    bool would_arrive_in_time(const PendingAttempt& attempt) const;
    void schedule_completion(PendingAttempt& attempt);
    void on_delivery_timeout(PendingAttempt& attempt);

    // Returns an idle connection that the attempt may use, or null.
    UpstreamConnection* find_idle_connection(const EndpointConnections& endpoint,
                                             const PendingAttempt& attempt) const;
    bool open_connection(EndpointConnections& endpoint);
    bool close_one_idle_connection();
    void close_idle_connections(EndpointConnections& endpoint);
    void close(UpstreamConnection& connection);
    void delay_reuse(EndpointConnections& endpoint, UpstreamConnection& connection);
    void make_idle(EndpointConnections& endpoint, UpstreamConnection& connection);

    void on_connection_established(UpstreamConnection& connection) override;
    void on_query_part_sent(UpstreamConnection& connection) override;
    void on_query_sent(UpstreamConnection& connection) override;
    bool on_value_started(UpstreamConnection& connection, const traffic::ResultValue& head,
                          std::size_t size) override;
    void on_value_chunk(UpstreamConnection& connection, std::string_view bytes) override;
    void on_response_progress(UpstreamConnection& connection) override;
    void on_response(UpstreamConnection& connection, UpstreamResponse& response) override;
    void on_connection_failed(UpstreamConnection& connection, UpstreamResponse& response,
                              bool too_many_connections) override;

    net::Loop& loop_;
    Deadlines& deadlines_;
    net::DescriptorQuota& quota_;
    ConnectionPoolSettings settings_;
    traffic::AttemptListener& listener_;
    metrics::RequestMetrics& metrics_;
    std::map<traffic::EndpointId, std::unique_ptr<EndpointConnections>> endpoints_;
    AttemptRegistry attempts_;
    std::map<const UpstreamConnection*, ConnectionState> connections_;
};

}  // namespace sloestack::upstream
