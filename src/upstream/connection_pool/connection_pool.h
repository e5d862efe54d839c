// Connections to the endpoints, and the attempts and health checks that travel on them. Turns what happens on
// sockets into outcomes. Neither the choice of an attempt's endpoint nor the protocol spoken is decided here.
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
    ConnectionFactory connect;  // of the protocol that the endpoints speak
    Micros connect_timeout_us = 250'000;
    Micros idle_timeout_us = 15'000'000;  // of the endpoints; idle connections are closed here before
    bool removal_is_advisory = false;     // an endpoint that discovery removed may still be sent to
};

class ConnectionPool final : public traffic::AttemptSender, private UpstreamConnectionEvents {
public:
    // All references outlive the pool. `quota` is of descriptors.
    ConnectionPool(net::Loop& loop, Deadlines& deadlines, net::DescriptorQuota& quota,
                   ConnectionPoolSettings settings, traffic::AttemptListener& listener,
                   metrics::RequestMetrics& metrics);
    ~ConnectionPool() override;

    // Applies what discovery reports. An attempt that waits for a connection to an endpoint that drains ends
    // as expired, so that it may be sent elsewhere.
    void update_endpoints(decision::EndpointListKind kind,
                          const std::vector<traffic::ListedEndpoint>& endpoints);
    void send(const traffic::Attempt& attempt) override;
    void cancel_attempt(traffic::RequestId request, int number) override;
    void start_health_check(traffic::EndpointId endpoint) override;

    // Closes idle connections while there are more than the quota allows, as after it has been lowered; busy
    // ones close after their responses.
    void shrink_to_quota();
    std::size_t connection_count() const { return connections_.size(); }

private:
    struct ConnectionState {
        EndpointConnections* endpoint;
        std::list<std::unique_ptr<UpstreamConnection>>::iterator position;
        PendingAttempt* attempt;  // whose query it carries
        bool is_outdated;         // it leads to an address the endpoint no longer has
    };

    void remove_unlisted(const std::vector<traffic::ListedEndpoint>& endpoints);
    void expire_waiting(EndpointConnections& endpoint);

    void start(PendingAttempt& attempt);
    void serve_waiting(EndpointConnections& endpoint);
    bool may_send(const PendingAttempt& attempt);
    bool send_on(UpstreamConnection& connection, PendingAttempt& attempt);
    void give_up(PendingAttempt& attempt, decision::Outcome outcome);

    bool open_connection(EndpointConnections& endpoint);
    bool close_one_idle_connection();
    void close_idle(EndpointConnections& endpoint);
    void close(UpstreamConnection& connection);
    void rest_before_reuse(EndpointConnections& endpoint, UpstreamConnection& connection);
    void make_idle(EndpointConnections& endpoint, UpstreamConnection& connection);

    void on_connection_established(UpstreamConnection& connection) override;
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
