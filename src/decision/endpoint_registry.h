// The endpoints that discovery has listed: lists applied, draining and removal, the subset that this router
// uses first, and how long a removed endpoint is remembered.
#pragma once

#include <map>

#include "primary_tracker.h"
#include "router_state.h"

namespace sloestack::decision {

class EndpointRegistry {
public:
    // `subset_key` tells this router from the others in the draw of subsets.
    EndpointRegistry(RouterState& state, PrimaryTracker& primary_tracker, std::uint64_t subset_key)
        : state_(state), primary_tracker_(primary_tracker), subset_key_(subset_key) {}

    // Takes over a list that is not a failure. Whole lists remove the endpoints that they do not name.
    void apply(EndpointListKind kind, const std::vector<EndpointEntry>& entries, Actions& actions);
    // Forgets endpoints that were removed long ago. Returns the oldest position of the others, by group.
    std::map<int, Time> forget_removed();

private:
    void remove_unlisted(const std::vector<EndpointEntry>& entries, Actions& actions);
    void apply(const EndpointEntry& entry, Actions& actions);
    Endpoint& find_or_add(const EndpointEntry& entry);
    void remove(Endpoint& endpoint, Actions& actions);
    void draw_subset(const ReplicaGroup& group);

    RouterState& state_;
    PrimaryTracker& primary_tracker_;
    std::uint64_t subset_key_;
};

}  // namespace sloestack::decision
