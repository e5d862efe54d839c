#include "endpoint_registry.h"

#include <algorithm>
#include <iterator>

#include "endpoint_subset.h"

namespace sloestack::decision {
namespace {

constexpr Micros kMaxListingDelayUs = 10'000'000;   // from a start until discovery lists it
constexpr Micros kRemovedRetentionUs = 60'000'000;  // bounds memory if endpoints are replaced continually

}  // namespace

void EndpointRegistry::apply(EndpointListKind kind, const std::vector<EndpointEntry>& entries,
                             Actions& actions) {
    if (kind != EndpointListKind::changes) remove_unlisted(entries, actions);
    for (const auto& entry : entries) apply(kind, entry, actions);
    last_list_at_ = state_.now;
    for (const auto& [id, group] : state_.groups) update_subset(group);
}

void EndpointRegistry::remove_unlisted(const std::vector<EndpointEntry>& entries, Actions& actions) {
    for (auto& [id, endpoint] : state_.endpoints) {
        const auto has_id = [id = id](const EndpointEntry& entry) { return entry.endpoint == id; };
        if (std::none_of(entries.begin(), entries.end(), has_id)) remove(endpoint, actions);
    }
}

void EndpointRegistry::apply(EndpointListKind kind, const EndpointEntry& entry, Actions& actions) {
    const bool is_removed = entry.state == EndpointState::removed;
    if (is_removed && !state_.find_endpoint(entry.endpoint)) return;
    auto& endpoint = find_or_add(entry);
    if (is_removed) return remove(endpoint, actions);
    if (const auto started_at = recent_start(kind, entry, endpoint)) {
        SlowStart::begin(endpoint, *started_at);
        endpoint.outlier.next_trial_at = state_.now;  // it has restarted: try it at once
    }
    if (entry.started_at > 0) endpoint.listed_started_at = entry.started_at;
    const bool was_leaving = endpoint.is_leaving();
    endpoint.is_draining = entry.state == EndpointState::draining;
    if (!endpoint.is_draining)
        endpoint.removal_notified_at = -1;
    else if (!was_leaving)
        endpoint.removal_notified_at = state_.now;
    if (state_.settings.listed_role == ListedRole::none || !entry.listed_primary) return;
    auto& group = state_.group(entry.replica_group);
    if (!group.primary && endpoint.role != Role::replica && !endpoint.is_leaving())
        group.primary = endpoint.id;
}

// The start is stated by the endpoint's wall clock, which may differ from this process's after a step. A
// start in the future counts as now, and so does one that is listed only now but would have had to be listed
// before.
std::optional<Time> EndpointRegistry::recent_start(EndpointListKind kind, const EndpointEntry& entry,
                                                   const Endpoint& endpoint) const {
    if (entry.started_at <= 0 || entry.started_at == endpoint.listed_started_at) return std::nullopt;
    const Micros age = state_.now - entry.started_at;
    if (age < state_.settings.slow_start_duration_us) return std::min(entry.started_at, state_.now);
    const bool is_new = kind == EndpointListKind::changes || endpoint.listed_started_at > 0;
    if (last_list_at_ < 0 || !is_new) return std::nullopt;
    const Micros max_age = state_.now - last_list_at_ + kMaxListingDelayUs;
    return age > max_age ? std::optional(state_.now) : std::nullopt;
}

Endpoint& EndpointRegistry::find_or_add(const EndpointEntry& entry) {
    if (auto* known = state_.find_endpoint(entry.endpoint)) return *known;
    auto& endpoint = state_.endpoints[entry.endpoint];
    endpoint.id = entry.endpoint;
    endpoint.replica_group = entry.replica_group;
    endpoint.zone = entry.zone;
    auto& endpoint_ids = state_.group(entry.replica_group).endpoint_ids;
    endpoint_ids.insert(std::lower_bound(endpoint_ids.begin(), endpoint_ids.end(), entry.endpoint),
                        entry.endpoint);
    return endpoint;
}

void EndpointRegistry::remove(Endpoint& endpoint, Actions& actions) {
    const bool is_advisory = state_.settings.removal_is_advisory;
    endpoint.is_draining = false;
    if (!endpoint.is_leaving() && !is_advisory) endpoint.removal_notified_at = state_.now;
    auto& group = state_.group(endpoint.replica_group);
    // If removal is advisory, the list may be wrong: the primary is kept while it responds.
    if (group.primary == endpoint.id && !is_advisory)
        primary_tracker_.clear_primary(group, " removed", actions);
}

void EndpointRegistry::update_subset(const ReplicaGroup& group) {
    std::vector<SubsetCandidate> candidates;
    for (const auto id : group.endpoint_ids) {
        auto& endpoint = state_.endpoints.at(id);
        endpoint.is_in_subset = false;
        if (!endpoint.is_leaving()) candidates.push_back({id, endpoint.zone});
    }
    const auto& settings = state_.settings;
    for (const auto id : select_subset(subset_key_, settings.zone, candidates, settings.router_count))
        state_.endpoints.at(id).is_in_subset = true;
}

std::map<int, Time> EndpointRegistry::erase_removed() {
    std::map<int, Time> oldest_positions;
    for (auto entry = state_.endpoints.begin(); entry != state_.endpoints.end();) {
        const auto& endpoint = entry->second;
        if (!endpoint.is_removed()) {
            auto& oldest = oldest_positions.emplace(endpoint.replica_group, state_.now).first->second;
            oldest = std::min(oldest, endpoint.replication.position);
            ++entry;
            continue;
        }
        const bool is_retained = state_.now - endpoint.removal_notified_at <= kRemovedRetentionUs;
        if (is_retained || !endpoint.in_flight.empty()) {
            ++entry;
            continue;
        }
        auto& endpoint_ids = state_.group(endpoint.replica_group).endpoint_ids;
        endpoint_ids.erase(std::find(endpoint_ids.begin(), endpoint_ids.end(), endpoint.id));
        entry = state_.endpoints.erase(entry);
    }
    return oldest_positions;
}

}  // namespace sloestack::decision
