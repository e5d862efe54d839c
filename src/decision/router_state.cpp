#include "router_state.h"

#include <utility>

namespace sloestack::decision {
namespace {

constexpr Micros kReadAdmissionWindowUs = 3'000'000;

template <class Map>
auto* find_in(Map& map, const typename Map::key_type& key) {
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

}  // namespace

RouterState::RouterState(Settings router_settings, std::uint64_t seed)
    : settings(std::move(router_settings)), random(seed), latency(settings.classes), startup(settings) {}

Endpoint* RouterState::find_endpoint(EndpointId id) { return find_in(endpoints, id); }

Request* RouterState::find_request(RequestId id) { return find_in(requests, id); }

ReplicaGroup& RouterState::group(int id) {
    auto& group = groups[id];
    if (!group.queues.empty()) return group;
    const ReadAdmissionState initial_state{DecayingRate(kReadAdmissionWindowUs),
                                           DecayingRate(kReadAdmissionWindowUs)};
    group.id = id;
    group.default_session_position = started_at;
    group.queues.resize(settings.classes.size());
    group.read_admission.assign(settings.classes.size(), initial_state);
    return group;
}

Log endpoint_log(const char* event, const Endpoint& endpoint, const char* reason) {
    return Log{event + std::to_string(endpoint.id) + " replica group " +
               std::to_string(endpoint.replica_group) + reason};
}

}  // namespace sloestack::decision
