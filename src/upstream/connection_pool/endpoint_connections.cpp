#include "connection_pool/endpoint_connections.h"

#include <algorithm>

namespace sloestack::upstream {
namespace {

bool is_same(const sockaddr_in& left, const sockaddr_in& right) {
    return left.sin_addr.s_addr == right.sin_addr.s_addr && left.sin_port == right.sin_port;
}

}  // namespace

bool EndpointConnections::update(const traffic::ListedEndpoint& listed, bool removal_is_advisory) {
    using decision::EndpointState;
    const auto listed_address = net::parse_address(listed.address);
    const bool has_moved = listed_address && address && !is_same(*listed_address, *address);
    if (listed_address) address = listed_address;
    const auto state = listed.endpoint.state;
    is_removed = state == EndpointState::removed;
    is_draining = state == EndpointState::draining || (is_removed && !removal_is_advisory);
    return has_moved;
}

void EndpointConnections::remove_idle(const UpstreamConnection& connection) {
    idle.erase(std::remove(idle.begin(), idle.end(), &connection), idle.end());
}

void EndpointConnections::remove_waiting(const PendingAttempt& attempt) {
    waiting.erase(std::remove(waiting.begin(), waiting.end(), &attempt), waiting.end());
}

}  // namespace sloestack::upstream
