#include "server/derived_settings.h"

#include <algorithm>
#include <memory>

#include "postgres/postgres_connection.h"

namespace sloestack::server {
namespace {

constexpr const char* kUser = "portal";
constexpr const char* kDatabase = "crm";

}  // namespace

upstream::ConnectionPoolSettings pool_settings(net::Loop& loop, const settings::InstanceSettings& settings) {
    upstream::ConnectionPoolSettings out;
    out.connect = [&loop](const sockaddr_in& to, net::DescriptorSlot slot,
                          upstream::UpstreamConnectionEvents& events) {
        return std::make_unique<postgres::PostgresConnection>(
            loop, to, std::move(slot), postgres::PostgresConnection::Credentials{kUser, kDatabase}, events);
    };
    if (settings.connect_timeout_us > 0) out.connect_timeout_us = settings.connect_timeout_us;
    if (settings.idle_limit_us > 0) out.idle_timeout_us = settings.idle_limit_us;
    out.removal_is_advisory = settings.router.removal_is_advisory;
    return out;
}

decision::Settings router_settings(decision::Settings settings) {
    settings.retry_after_supported = true;
    // Where discovery pushes lists, an agent that serves only
    // this proxy receives them, and the proxy polls the agent.
    settings.discovery_agent_is_local = !settings.discovery_is_polled;
    settings.discovery_is_polled = true;
    return settings;
}

bool uses_sessions(const decision::Settings& settings) {
    const auto reads_session = [](const decision::RequestClassSettings& request_class) {
        return request_class.consistency == decision::Consistency::session;
    };
    return std::any_of(settings.classes.begin(), settings.classes.end(), reads_session);
}

std::vector<bool> overlap_allowed(const decision::Settings& settings) {
    std::vector<bool> out;
    for (const auto& request_class : settings.classes) {
        const bool is_idempotent = request_class.idempotency == decision::Idempotency::idempotent;
        out.push_back(is_idempotent && !request_class.is_write);
    }
    return out;
}

decision::Micros max_deadline(const decision::Settings& settings) {
    decision::Micros out = 0;
    for (const auto& request_class : settings.classes) out = std::max(out, request_class.deadline_us);
    return out;
}

}  // namespace sloestack::server
