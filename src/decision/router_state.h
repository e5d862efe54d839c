// All state that more than one rule of the decision module reads, with look-ups over it. Rules hold a
// reference; the router owns it.
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

    Endpoint* find_endpoint(EndpointId id);
    Request* find_request(RequestId id);
    // The group of that number, created at its first use.
    ReplicaGroup& group(int id);
    const ReplicaGroup& existing_group(int id) const { return groups.at(id); }
    const RequestClassSettings& class_of(const Request& request) const {
        return settings.classes[request.class_index()];
    }
    double usual_us(const Request& request) const { return latency.usual_us(request.class_index()); }
    double work_s(const Request& request) const { return latency.work_s(request.class_index()); }

    const Settings settings;
    RandomSource random;
    Time now = 0;
    Time started_at = -1;  // of the first step; -1: none yet. The router knows of no write before it
    std::map<EndpointId, Endpoint> endpoints;
    std::map<EndpointId, Endpoint*> busy_endpoints;  // those with attempts in flight
    std::map<int, ReplicaGroup> groups;
    std::unordered_map<RequestId, Request> requests;
    LatencyBaseline latency;
    ZoneHealth zones;
    StartupPhase startup;
};

// A log line about one endpoint: what has happened, to which endpoint, and why.
Log endpoint_log(const char* what, const Endpoint& endpoint, const char* why = "");

}  // namespace sloestack::decision
