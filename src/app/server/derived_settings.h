// What the packages of the proxy are constructed with, derived from the settings.
#pragma once

#include <vector>

#include "connection_pool/connection_pool.h"
#include "settings/settings.h"
#include "transport/loop.h"

namespace sloestack::server {

// The loop is not owned and outlives the pool.
upstream::ConnectionPoolSettings pool_settings(net::Loop& loop, const settings::InstanceSettings& settings);
// The decision module's settings as they hold on sockets, where a rejection can always carry a Retry-After
// and endpoint lists are always polled.
decision::Settings router_settings(decision::Settings settings);
// Whether some class reads what its session has written.
bool uses_sessions(const decision::Settings& settings);
// For each class whether its requests may run beside others of the same connection: reads that may be
// repeated.
std::vector<bool> overlap_allowed(const decision::Settings& settings);
// The longest that any client waits for a response.
decision::Micros longest_deadline(const decision::Settings& settings);

}  // namespace sloestack::server
