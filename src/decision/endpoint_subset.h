// Which endpoints of a group one router of many uses first, so that each endpoint serves some of the routers
// and holds the connections of no more.
//
// Weighted rendezvous hashing (Thaler and Ravishankar 1998; the weights as in Schindelhauer and Schomaker
// 2005, the logarithmic method): an endpoint or a router that joins or leaves moves only its own places.
// Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

struct SubsetCandidate {
    EndpointId endpoint = 0;
    int zone = 0;
};
// How many of `endpoint_count` endpoints each of `router_count` routers (both over 0) uses first: all of them
// where routers are few, two at least.
std::size_t subset_size(std::size_t endpoint_count, int router_count);
// The endpoints of the subset, sorted. `router_key` tells the router from the others; endpoints of its own
// `zone` are more likely to be chosen.
std::vector<EndpointId> select_subset(std::uint64_t router_key, int zone,
                                      const std::vector<SubsetCandidate>& candidates, int router_count);

}  // namespace sloestack::decision
