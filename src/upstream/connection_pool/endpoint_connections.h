// All connections to one endpoint, and the attempts that wait for one of them.
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
    bool is_draining = false;  // discovery reports it draining or removed: nothing new is sent there
    bool is_removed = false;
    std::list<std::unique_ptr<UpstreamConnection>> connections;
    std::vector<UpstreamConnection*> idle;  // the one used last at the back
    std::deque<PendingAttempt*> waiting;    // first come, first served
    std::size_t connecting = 0;             // connections that are not established yet

    // Takes over what discovery lists. Returns whether the address has changed.
    bool update(const traffic::ListedEndpoint& listed, bool removal_is_advisory);
    bool is_unused() const { return is_removed && connections.empty() && waiting.empty(); }
    // Does nothing for one that is not idle, or not waiting.
    void remove_idle(const UpstreamConnection& connection);
    void remove_waiting(const PendingAttempt& attempt);
};

}  // namespace sloestack::upstream
