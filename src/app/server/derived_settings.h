// Derives the constructor arguments of the proxy's packages from the settings.
#pragma once

#include <vector>

#include "connection_pool/connection_pool.h"
#include "settings/settings.h"
#include "transport/loop.h"

namespace sloestack::server {

// The loop is not owned and must outlive the pool.
upstream::ConnectionPoolSettings pool_settings(net::Loop& loop, const settings::InstanceSettings& settings);
// Returns the decision module's settings for the proxy on sockets, where a rejection can always carry a
// Retry-After and endpoint lists are always polled.
decision::Settings router_settings(decision::Settings settings);
// Returns whether a request class has session consistency,
// that is, must read what its client session has written.
bool uses_sessions(const decision::Settings& settings);
// Returns for each request class whether its requests may run concurrently with others of the same
// connection: true for idempotent reads.
std::vector<bool> overlap_allowed(const decision::Settings& settings);
// Returns the longest deadline of all request classes.
decision::Micros max_deadline(const decision::Settings& settings);

}  // namespace sloestack::server
