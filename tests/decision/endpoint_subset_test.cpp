// Tests of endpoint subsetting, by itself and with a whole router.
#include "endpoint_subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "router_fixture.h"

namespace {

using namespace sloestack::decision;

// Returns the endpoints of a replica group, spread over zones 0 to 2.
std::vector<SubsetCandidate> make_group(std::size_t endpoint_count, EndpointId first_id = 1) {
    std::vector<SubsetCandidate> candidates;
    for (std::size_t i = 0; i < endpoint_count; ++i)
        candidates.push_back({static_cast<EndpointId>(first_id + i * 7919), static_cast<int>(i % 3)});
    return candidates;
}

TEST(EndpointSubset, HoldsAllEndpointsForFewRoutersAndForSmallGroups) {
    for (const int routers : {1, 3, 100, 150})
        EXPECT_EQ(select_subset(1, 0, make_group(6), routers).size(), 6u);
    EXPECT_EQ(select_subset(1, 0, make_group(1), 1000).size(), 1u);
    EXPECT_EQ(select_subset(1, 0, make_group(2), 1000).size(), 2u);
    EXPECT_TRUE(select_subset(1, 0, {}, 300).empty());
}

// Every endpoint must be in some router's subset, and none in many more than the budget of 150 or the
// average; deviations are random.
TEST(EndpointSubset, SpreadsRoutersOverAllEndpointsWithinTheBudget) {
    for (const int routers : {3, 100, 300, 1000})
        for (std::size_t endpoint_count = 1; endpoint_count <= 9; ++endpoint_count) {
            std::map<EndpointId, int> routers_by_endpoint;
            std::size_t total = 0;
            for (int i = 0; i < routers; ++i)
                for (const auto id :
                     select_subset(static_cast<std::uint64_t>(i), i % 3, make_group(endpoint_count), routers))
                    ++routers_by_endpoint[id], ++total;
            EXPECT_EQ(routers_by_endpoint.size(), endpoint_count) << routers;
            EXPECT_EQ(total, static_cast<std::size_t>(routers) * subset_size(endpoint_count, routers));
            const double average = static_cast<double>(total) / static_cast<double>(endpoint_count);
            for (const auto& [id, count] : routers_by_endpoint) {
                EXPECT_LE(count, 1.35 * average) << routers << " routers, " << endpoint_count << " endpoints";
                EXPECT_GE(count, std::min(0.65 * average, routers * 1.0));
            }
            if (endpoint_count >= 5 && routers <= 300) {
                EXPECT_LE(average, 150 * 1.35) << "rounding up adds less than one endpoint per router";
            }
        }
}

// Guards against reconnections of the whole fleet when one endpoint leaves: only routers that used it may
// change their subset. If all endpoints are replaced, the size of the subset stays.
TEST(EndpointSubset, ChangesOnlyAssignmentsOfEndpointsThatLeave) {
    auto candidates = make_group(7);
    int replaced_count = 0, affected_count = 0;
    for (std::uint64_t router = 0; router < 300; ++router) {
        const auto before = select_subset(router, 1, candidates, 300);
        auto remaining = candidates;
        const auto removed = remaining[3].endpoint;
        remaining.erase(remaining.begin() + 3);
        const auto after = select_subset(router, 1, remaining, 300);
        const bool was_used = std::count(before.begin(), before.end(), removed) > 0;
        affected_count += was_used;
        for (const auto id : before)
            if (id != removed && std::count(after.begin(), after.end(), id) == 0) ++replaced_count;
        EXPECT_EQ(select_subset(router, 1, make_group(7, 500'000), 300).size(), before.size());
    }
    EXPECT_GT(affected_count, 0);
    EXPECT_LE(replaced_count, 300)
        << "the subset shrinks from four of seven to three of six: at most one endpoint less per router";
}

TEST(EndpointSubset, PrefersEndpointsOfTheOwnZoneButNotExclusively) {
    int own_zone = 0, other_zones = 0;
    for (std::uint64_t router = 0; router < 300; ++router)
        for (const auto id : select_subset(router, 0, make_group(6), 300))
            ((id - 1) / 7919 % 3 == 0 ? own_zone : other_zones) += 1;
    EXPECT_GT(own_zone, other_zones / 2 * 1.2);
    EXPECT_GT(other_zones, own_zone);
}

// ---- with a whole router ----
using namespace sloestack::decision::test;

// A router must use other endpoints of the replica group if none of its subset is eligible, and a new subset
// when the endpoints are replaced.
TEST(RouterSubset, IsExtendedIfNoEndpointOfItIsEligible) {
    auto settings = default_settings();
    settings.router_count = 300;
    settings.router_index = 17;
    settings.position_check = PositionCheck::reject;
    RouterFixture fixture(settings, 0);
    const auto make_list = [](EndpointId first_id) {
        std::vector<EndpointEntry> list;
        for (EndpointId id = first_id; id < first_id + 6; ++id) list.push_back(make_entry(id));
        return list;
    };
    fixture.endpoint_list(EndpointListKind::complete, make_list(1));
    fixture.step();
    std::set<EndpointId> subset;
    const auto endpoints_of_reads = [&](RequestId first_request, int request_class) {
        std::set<EndpointId> used;
        for (RequestId id = first_request; id < first_request + 40; ++id) {
            fixture.arrive(id, request_class);
            fixture.step(100'000);
            const auto to = fixture.forwarded_to(id);
            EXPECT_TRUE(to.has_value()) << id;
            if (!to) continue;
            used.insert(*to);
            fixture.attempt_succeeded(id, *to, Role::replica, 0);
        }
        fixture.step();
        return used;
    };
    subset = endpoints_of_reads(1, kAnyRead);
    EXPECT_EQ(subset.size(), 3u);
    for (const auto id : subset) fixture.health_check_ended(id, Role::replica, fixture.now - 5'000'000);
    fixture.step();
    const auto others = endpoints_of_reads(100, kBoundedRead);
    EXPECT_EQ(others.size(), 3u);
    for (const auto id : others) EXPECT_EQ(subset.count(id), 0u);
    fixture.endpoint_list(EndpointListKind::complete, make_list(11));
    fixture.step();
    const auto new_subset = endpoints_of_reads(200, kAnyRead);
    EXPECT_EQ(new_subset.size(), 3u);
    EXPECT_GE(*new_subset.begin(), 11u);
}

}  // namespace
