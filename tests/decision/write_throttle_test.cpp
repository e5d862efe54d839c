// Tests of WriteThrottle with a whole router.
#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

// Simulates 200 writes, of which replica 2 applies the share `apply_ratio`. Returns how many of the last 100
// were rejected. With `reads_rejected`, reads arrive that no endpoint is fresh enough to serve.
int rejected_writes_of_100(double apply_ratio, bool reads_rejected) {
    auto settings = default_settings();
    settings.position_check = PositionCheck::reject;
    RouterFixture fixture(settings, 2);
    fixture.establish_primary(1, 1);
    Time replica_position = fixture.now - 2'000'000;
    RequestId id = 1;
    int rejected = 0;
    for (int i = 0; i < 200; ++i) {
        replica_position += static_cast<Time>(10'000 * apply_ratio);
        for (EndpointId endpoint : {1u, 2u}) {
            fixture.health_check_ended(endpoint, endpoint == 1 ? Role::primary : Role::replica,
                                       endpoint == 1 ? fixture.now : replica_position);
        }
        if (reads_rejected)
            for (int read = 0; read < 3; ++read)
                fixture.arrive(1'000'000 + id * 10 + static_cast<RequestId>(read), kBoundedRead);
        fixture.arrive(id, kWrite);
        fixture.fire_timer(10'000);
        if (i >= 100) rejected += fixture.find<Reject>(id) != nullptr;
        if (fixture.forwarded_to(id)) fixture.attempt_succeeded(id, 1, Role::primary, fixture.now);
        ++id;
    }
    return rejected;
}

// Far above the lag target the ratio is halved, so that 1 - 0.25 / 2 and 1 - 0.5 / 2 of the offered writes
// are rejected.
TEST(WriteThrottle, AdmitsWritesByTheRatioOfApplyToCommitSpeed) {
    EXPECT_NEAR(rejected_writes_of_100(0.25, true), 87.5, 3);
    EXPECT_NEAR(rejected_writes_of_100(0.5, true), 75, 3);
}

TEST(WriteThrottle, IgnoresAReplicaThatAppliesNothing) { EXPECT_EQ(rejected_writes_of_100(0, true), 0); }

TEST(WriteThrottle, IsInactiveWhileReadsFindFreshEndpoints) {
    EXPECT_EQ(rejected_writes_of_100(0.25, false), 0);
}

// One position report every 1.5 s is sufficient to determine the lag.
TEST(WriteThrottle, IsActiveWithRarePositionReports) {
    auto settings = default_settings();
    settings.position_check = PositionCheck::reject;
    RouterFixture fixture(settings, 2);
    fixture.establish_primary(1, 1);
    Time replica_position = fixture.now - 2'000'000;
    int rejected = 0;
    for (RequestId id = 1; id <= 1500; ++id) {
        replica_position += 2'500;
        if (id % 150 == 1)
            for (EndpointId endpoint : {1u, 2u}) {
                fixture.health_check_ended(endpoint, endpoint == 1 ? Role::primary : Role::replica,
                                           endpoint == 1 ? fixture.now : replica_position);
            }
        for (RequestId read = 1; read <= 6; ++read) fixture.arrive(10'000 * read + id, kBoundedRead);
        fixture.arrive(id, kWrite);
        fixture.fire_timer(10'000);
        for (RequestId read = 1; read <= 6; ++read)
            if (read % 2 && fixture.forwarded_to(10'000 * read + id))
                fixture.attempt_succeeded(10'000 * read + id, 1, Role::unknown, 0);
        if (id > 700) rejected += fixture.find<Reject>(id) != nullptr;
        if (fixture.forwarded_to(id)) fixture.attempt_succeeded(id, 1, Role::unknown, 0);
    }
    EXPECT_GT(rejected, 400);
}

TEST(WriteThrottle, DoesNotAffectOtherReplicaGroups) {
    auto settings = default_settings();
    settings.position_check = PositionCheck::reject;
    RouterFixture fixture(settings, 2);
    std::vector<EndpointEntry> other_group_list{make_entry(11), make_entry(12)};
    for (auto& entry : other_group_list) entry.replica_group = 1;
    fixture.endpoint_list(EndpointListKind::changes, other_group_list);
    fixture.step();
    Time replica_position = fixture.now - 2'000'000;
    int rejected_in_lagging_group = 0, rejected_in_other_group = 0;
    for (RequestId id = 1; id <= 300; ++id) {
        replica_position += 2'500;
        for (EndpointId endpoint : {1u, 2u, 11u, 12u}) {
            fixture.health_check_ended(endpoint, endpoint % 10 == 1 ? Role::primary : Role::replica,
                                       endpoint == 2 ? replica_position : fixture.now);
        }
        for (RequestId read = 1; read <= 3; ++read) fixture.arrive(read * 10'000 + id, kBoundedRead);
        fixture.arrive(id, kWrite);
        fixture.arrive(90'000 + id, kWrite);
        std::get<Arrival>(fixture.events.back()).replica_group = 1;
        fixture.fire_timer(10'000);
        rejected_in_lagging_group += fixture.find<Reject>(id) != nullptr;
        rejected_in_other_group += fixture.find<Reject>(90'000 + id) != nullptr;
        if (fixture.forwarded_to(id)) fixture.attempt_succeeded(id, 1, Role::primary, fixture.now);
        if (fixture.forwarded_to(90'000 + id))
            fixture.attempt_succeeded(90'000 + id, 11, Role::primary, fixture.now);
    }
    EXPECT_GT(rejected_in_lagging_group, 100);
    EXPECT_EQ(rejected_in_other_group, 0);
}

}  // namespace
}  // namespace sloestack::decision::test
