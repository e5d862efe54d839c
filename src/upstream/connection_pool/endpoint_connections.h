// The connections to one endpoint and the attempts that wait for one of them.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "connection_pool/attempt_registry.h"
#include "connection_pool/upstream_connection.h"
#include "traffic/endpoint_list.h"

namespace sloestack::upstream {

struct EndpointConnections {
    std::optional<sockaddr_in> address;
    bool is_draining = false;  // draining or removed according to discovery: gets no new attempts
    bool is_removed = false;
    std::list<std::unique_ptr<UpstreamConnection>> connections;
    std::vector<UpstreamConnection*> idle_connections;  // the most recently used at the back
    std::deque<PendingAttempt*> waiting_attempts;       // in order of arrival
    std::vector<PendingAttempt*> unverified_attempts;   // whose clients may have disconnected
    std::size_t connecting_count = 0;                   // connections that are not established yet

    // Applies the endpoint's entry in a list from discovery. Returns true if the address has changed.
    bool update(const traffic::ListedEndpoint& listed, bool removal_is_advisory);
    bool is_unused() const {
        return is_removed && connections.empty() && waiting_attempts.empty() && unverified_attempts.empty();
    }
    // These do nothing if the connection is not idle or the attempt is not waiting.
    void remove_idle(const UpstreamConnection& connection);
    void remove_waiting(const PendingAttempt& attempt);
};

}  // namespace sloestack::upstream
