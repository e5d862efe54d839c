// State shared by the components of the decision module, with look-up functions. The router owns it; the
// components hold references.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "endpoint.h"
#include "latency_baseline.h"
#include "random_source.h"
#include "replica_group.h"
#include "request.h"
#include "sloestack/router.h"
#include "startup_phase.h"
#include "zone_health.h"

namespace sloestack::decision {

using Actions = std::vector<Action>;

struct RouterState {
    RouterState(Settings router_settings, std::uint64_t seed);
    RouterState(const RouterState&) = delete;
    RouterState& operator=(const RouterState&) = delete;

    // Return nullptr if the id is unknown.
    Endpoint* find_endpoint(EndpointId id);
    Request* find_request(RequestId id);
    // Returns the replica group, which is created at its first use.
    ReplicaGroup& group(int id);
    const ReplicaGroup& existing_group(int id) const { return groups.at(id); }
    const RequestClassSettings& class_of(const Request& request) const {
        return settings.classes[request.class_index()];
    }
    double baseline_us(const Request& request) const { return latency.baseline_us(request.class_index()); }
    double work_s(const Request& request) const { return latency.work_s(request.class_index()); }

    const Settings settings;
    RandomSource random;
    Time now = 0;
    Time started_at = -1;  // time of the first step, before which the router knows of no write; -1: none yet
    std::map<EndpointId, Endpoint> endpoints;
    std::map<EndpointId, Endpoint*> busy_endpoints;  // those with attempts in flight
    std::map<int, ReplicaGroup> groups;
    std::unordered_map<RequestId, Request> requests;
    LatencyBaseline latency;
    ZoneHealth zones;
    StartupPhase startup;
};

// Returns a log line: the event, the endpoint with its replica group, and the reason.
Log endpoint_log(const char* event, const Endpoint& endpoint, const char* reason = "");

}  // namespace sloestack::decision
