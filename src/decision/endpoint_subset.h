// Which members of a group a router of many uses first, so that each member serves some of the routers and
// holds the connections of no more. Weighted rendezvous hashing (Thaler and Ravishankar 1998; the weights as
// in Schindelhauer and Schomaker 2005, the logarithmic method): who joins or leaves moves only the places
// that are its own. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

struct SubsetCandidate {
    EndpointId endpoint = 0;
    int zone = 0;
};
// How many of `members` each of `routers` (both over 0) uses first: all of them where routers are few, two at
// least.
std::size_t subset_size(std::size_t members, int routers);
// Their ids, sorted. `router` tells it from the others; members of its own `zone` are drawn before others,
// not always.
std::vector<EndpointId> select_subset(std::uint64_t router, int zone,
                                      const std::vector<SubsetCandidate>& members, int routers);

}  // namespace sloestack::decision
