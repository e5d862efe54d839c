#include "connection_pool/endpoint_connections.h"

#include <algorithm>

namespace sloestack::upstream {
namespace {

bool is_same_address(const sockaddr_in& left, const sockaddr_in& right) {
    return left.sin_addr.s_addr == right.sin_addr.s_addr && left.sin_port == right.sin_port;
}

template <class Container, class Element>
void erase(Container& container, const Element* element) {
    container.erase(std::remove(container.begin(), container.end(), element), container.end());
}

}  // namespace

bool EndpointConnections::update(const traffic::ListedEndpoint& listed, bool removal_is_advisory) {
    using decision::EndpointState;
    const auto listed_address = net::parse_address(listed.address);
    const bool has_new_address = listed_address && address && !is_same_address(*listed_address, *address);
    if (listed_address) address = listed_address;
    const auto state = listed.endpoint.state;
    is_removed = state == EndpointState::removed;
    is_draining = state == EndpointState::draining || (is_removed && !removal_is_advisory);
    return has_new_address;
}

void EndpointConnections::remove_idle(const UpstreamConnection& connection) {
    erase(idle_connections, &connection);
}

void EndpointConnections::remove_waiting(const PendingAttempt& attempt) {
    erase(waiting_attempts, &attempt);
    erase(unverified_attempts, &attempt);
}

}  // namespace sloestack::upstream
