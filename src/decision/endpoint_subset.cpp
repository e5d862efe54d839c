#include "endpoint_subset.h"

#include <algorithm>
#include <cmath>

#include "split_mix.h"

namespace sloestack::decision {
namespace {

// Intended number of routers whose subset contains a given endpoint. Limits the connections to an endpoint.
constexpr double kRoutersPerEndpoint = 150;
constexpr std::size_t kMinSubsetSize = 2;  // if one endpoint fails, another is left
constexpr double kOwnZoneWeight = 2;       // equals the ratio in the load balancer's draw
constexpr std::uint64_t kEndpointMultiplier = 0xd1342543de82ef95u;
constexpr double kTwoToThe53 = 9007199254740992.0;

// Returns an exponentially distributed score; the candidates with the lowest scores are selected.
double score(std::uint64_t router_key, const SubsetCandidate& candidate, double weight) {
    const auto router_hash = split_mix(router_key + kSplitMixIncrement);
    const auto hash = split_mix(router_hash ^ (candidate.endpoint * kEndpointMultiplier));
    const double unit = (static_cast<double>(hash >> 11) + 0.5) / kTwoToThe53;  // in (0, 1)
    return -std::log(unit) / weight;
}

}  // namespace

std::size_t subset_size(std::size_t endpoint_count, int router_count) {
    const double share = std::ceil(static_cast<double>(endpoint_count) * kRoutersPerEndpoint / router_count);
    return std::min(endpoint_count, std::max(kMinSubsetSize, static_cast<std::size_t>(share)));
}

std::vector<EndpointId> select_subset(std::uint64_t router_key, int zone,
                                      const std::vector<SubsetCandidate>& candidates, int router_count) {
    if (candidates.empty()) return {};
    std::vector<std::pair<double, EndpointId>> by_score;
    by_score.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        const double weight = candidate.zone == zone ? kOwnZoneWeight : 1;
        by_score.emplace_back(score(router_key, candidate, weight), candidate.endpoint);
    }
    std::sort(by_score.begin(), by_score.end());
    by_score.resize(subset_size(candidates.size(), router_count));
    std::vector<EndpointId> chosen;
    chosen.reserve(by_score.size());
    for (const auto& [lowest, endpoint] : by_score) chosen.push_back(endpoint);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}  // namespace sloestack::decision
