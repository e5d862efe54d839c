#include "endpoint_subset.h"

#include <algorithm>
#include <cmath>

namespace sloestack::decision {
namespace {

constexpr double kLinks = 150;     // routers that use one member first, all together: the budget
constexpr std::size_t kLeast = 2;  // one that fails leaves another
constexpr double kOwnZone = 2;     // x as likely as one of another zone, as in the draw of a member

// SplitMix64's finalizer (Steele, Lea and Flood 2014).
std::uint64_t mix(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

}  // namespace

std::size_t subset_size(std::size_t members, int routers) {
    const double share = std::ceil(static_cast<double>(members) * kLinks / routers);
    return std::min(members, std::max(kLeast, static_cast<std::size_t>(share)));
}

std::vector<EndpointId> select_subset(std::uint64_t router, int zone,
                                      const std::vector<SubsetCandidate>& members, int routers) {
    std::vector<std::pair<double, EndpointId>> scored;
    for (const auto& m : members) {
        const auto drawn = mix(mix(router + 0x9e3779b97f4a7c15u) ^ (m.endpoint * 0xd1342543de82ef95u));
        const double unit = (static_cast<double>(drawn >> 11) + 0.5) / 9007199254740992.0;  // 0 to 1, neither
        scored.emplace_back(-std::log(unit) / (m.zone == zone ? kOwnZone : 1), m.endpoint);
    }
    std::sort(scored.begin(), scored.end());
    scored.resize(members.empty() ? 0 : subset_size(members.size(), routers));
    std::vector<EndpointId> out;
    for (const auto& [score, server] : scored) out.push_back(server);
    std::sort(out.begin(), out.end());
    return out;
}

}  // namespace sloestack::decision
