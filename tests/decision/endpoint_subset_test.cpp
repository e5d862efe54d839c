#include "endpoint_subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "router_fixture.h"

namespace {

using namespace sloestack::decision;

std::vector<SubsetCandidate> group(std::size_t members, EndpointId from = 1) {
    std::vector<SubsetCandidate> out;
    for (std::size_t i = 0; i < members; ++i)
        out.push_back({static_cast<EndpointId>(from + i * 7919), static_cast<int>(i % 3)});
    return out;
}

TEST(Subset, FewRoutersUseAllMembersAndAGroupSmallerThanItsSubsetIsUsedWhole) {
    for (const int routers : {1, 3, 100, 150}) EXPECT_EQ(select_subset(1, 0, group(6), routers).size(), 6u);
    EXPECT_EQ(select_subset(1, 0, group(1), 1000).size(), 1u);
    EXPECT_EQ(select_subset(1, 0, group(2), 1000).size(), 2u);
    EXPECT_TRUE(select_subset(1, 0, {}, 300).empty());
}

// Every member is some router's, none has many more than the budget of 150, and they differ by what chance
// leaves.
TEST(Subset, SummedOverTheRoutersEveryMemberIsReachedAndNoneFarBeyondTheBudget) {
    for (const int routers : {3, 100, 300, 1000})
        for (std::size_t members = 1; members <= 9; ++members) {
            std::map<EndpointId, int> links;
            std::size_t all = 0;
            for (int i = 0; i < routers; ++i)
                for (const auto id :
                     select_subset(static_cast<std::uint64_t>(i), i % 3, group(members), routers))
                    ++links[id], ++all;
            EXPECT_EQ(links.size(), members) << routers;
            EXPECT_EQ(all, static_cast<std::size_t>(routers) * subset_size(members, routers));
            const double fair = static_cast<double>(all) / static_cast<double>(members);
            for (const auto& [id, count] : links) {
                EXPECT_LE(count, 1.35 * fair) << routers << " routers, " << members << " members";
                EXPECT_GE(count, std::min(0.65 * fair, routers * 1.0));
            }
            if (members >= 5 && routers <= 300) {
                EXPECT_LE(fair, 150 * 1.35) << "rounded up by less than one member a router";
            }
        }
}

// One that leaves moves only those who used it; all replaced at once, everybody still has as many.
TEST(Subset, MembersThatComeAndGoMoveOnlyTheirOwnPlaces) {
    auto members = group(7);
    int moved = 0, used = 0;
    for (std::uint64_t router = 0; router < 300; ++router) {
        const auto before = select_subset(router, 1, members, 300);
        auto left = members;
        const auto gone = left[3].endpoint;
        left.erase(left.begin() + 3);
        const auto after = select_subset(router, 1, left, 300);
        const bool had = std::count(before.begin(), before.end(), gone) > 0;
        used += had;
        for (const auto id : before)
            if (id != gone && std::count(after.begin(), after.end(), id) == 0) ++moved;
        EXPECT_EQ(select_subset(router, 1, group(7, 500'000), 300).size(), before.size());
    }
    EXPECT_GT(used, 0);
    EXPECT_LE(moved, 300)
        << "a subset of four of seven is one of three of six: one place less, no others moved";
}

TEST(Subset, MembersOfTheOwnZoneComeFirstButNotAlone) {
    int own = 0, others = 0;
    for (std::uint64_t router = 0; router < 300; ++router)
        for (const auto id : select_subset(router, 0, group(6), 300))
            ((id - 1) / 7919 % 3 == 0 ? own : others) += 1;
    EXPECT_GT(own, others / 2 * 1.2);
    EXPECT_GT(others, own);
}

// ---- the whole router ----
using namespace sloestack::decision::test;

// A router uses the rest of a replica group where no endpoint of its subset is eligible, and a new subset
// when the endpoints are replaced.
TEST(RouterSubset, IsWidenedWhereNoneOfItIsEligible) {
    auto settings = default_settings();
    settings.router_count = 300;
    settings.router_index = 17;
    settings.position_check = PositionCheck::reject;
    RouterFixture fixture(settings, 0);
    const auto list_of = [](EndpointId from) {
        std::vector<EndpointEntry> list;
        for (EndpointId id = from; id < from + 6; ++id) list.push_back(make_entry(id));
        return list;
    };
    fixture.endpoint_list(EndpointListKind::complete, list_of(1));
    fixture.step();
    std::set<EndpointId> first;
    const auto reads = [&](RequestId from, int request_class) {
        std::set<EndpointId> used;
        for (RequestId id = from; id < from + 40; ++id) {
            fixture.arrive(id, request_class);
            fixture.step(100'000);
            const auto to = fixture.forwarded_to(id);
            EXPECT_TRUE(to.has_value()) << id;
            if (!to) continue;
            used.insert(*to);
            fixture.answered(id, *to, Role::replica, 0);
        }
        fixture.step();
        return used;
    };
    first = reads(1, kAnyRead);
    EXPECT_EQ(first.size(), 3u);
    for (const auto id : first) fixture.health_check_ended(id, Role::replica, fixture.now - 5'000'000);
    fixture.step();
    const auto others = reads(100, kBoundedRead);
    EXPECT_EQ(others.size(), 3u);
    for (const auto id : others) EXPECT_EQ(first.count(id), 0u);
    fixture.endpoint_list(EndpointListKind::complete, list_of(11));
    fixture.step();
    const auto fresh = reads(200, kAnyRead);
    EXPECT_EQ(fresh.size(), 3u);
    EXPECT_GE(*fresh.begin(), 11u);
}

}  // namespace
