// Applies endpoint lists: adds endpoints, marks them as draining or removed, selects this router's subset and
// erases endpoints some time after their removal.
#pragma once

#include <map>
#include <optional>

#include "primary_tracker.h"
#include "router_state.h"

namespace sloestack::decision {

class EndpointRegistry {
public:
    // `subset_key` identifies this router in the selection of subsets. The references must outlive this.
    EndpointRegistry(RouterState& state, PrimaryTracker& primary_tracker, std::uint64_t subset_key)
        : state_(state), primary_tracker_(primary_tracker), subset_key_(subset_key) {}

    // Applies a list; `kind` is not `failed`. Cached and complete lists remove endpoints that they omit.
    void apply(EndpointListKind kind, const std::vector<EndpointEntry>& entries, Actions& actions);
    // Erases endpoints that were removed more than 60 s ago and have no attempts in flight. Returns the
    // oldest position among the endpoints that are not removed, by replica group.
    std::map<int, Time> erase_removed();

private:
    void remove_unlisted(const std::vector<EndpointEntry>& entries, Actions& actions);
    void apply(EndpointListKind kind, const EndpointEntry& entry, Actions& actions);
    // Returns when the endpoint has started if that is recent and `entry` is the first to list it.
    std::optional<Time> recent_start(EndpointListKind kind, const EndpointEntry& entry,
                                     const Endpoint& endpoint) const;
    Endpoint& find_or_add(const EndpointEntry& entry);
    void remove(Endpoint& endpoint, Actions& actions);
    void update_subset(const ReplicaGroup& group);

    RouterState& state_;
    PrimaryTracker& primary_tracker_;
    std::uint64_t subset_key_;
    Time last_list_at_ = -1;  // -1: no list has been applied
};

}  // namespace sloestack::decision
