// Endpoint subsetting: which endpoints of a replica group a router prefers. If many routers share the
// endpoints, each uses a subset, which bounds the connections per endpoint.
//
// Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by the logarithmic method of
// Schindelhauer and Schomaker 2005): an endpoint or a router that joins or leaves changes only its own
// assignments. Pure functions.
#pragma once

#include <cstdint>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

struct SubsetCandidate {
    EndpointId endpoint = 0;
    int zone = 0;
};

// Returns the number of endpoints in the subset of each of `router_count` routers. Both arguments are over 0.
// At least 2 (or all, if there are fewer), and all endpoints if there are 150 routers or fewer.
std::size_t subset_size(std::size_t endpoint_count, int router_count);

// Returns the endpoints of a router's subset, sorted. `router_key` identifies the router; endpoints of its
// `zone` have twice the weight of others.
std::vector<EndpointId> select_subset(std::uint64_t router_key, int zone,
                                      const std::vector<SubsetCandidate>& candidates, int router_count);

}  // namespace sloestack::decision
