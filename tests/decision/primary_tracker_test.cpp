// Tests of PrimaryTracker with a whole router: detection of the primary and the search for it.
#include <gtest/gtest.h>

#include <cstdint>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

// Guards against a demoted primary that becomes the primary again with each response after a failover,
// because a load report is older than the response that carries it.
TEST(PrimaryTracker, IgnoresOutdatedReportsOfADemotedPrimary) {
    RouterFixture fixture(default_settings(), 2);
    fixture.establish_primary(1, 2);
    fixture.health_check_ended(1, Role::replica, fixture.now - 1000);
    fixture.step(1000);
    EXPECT_TRUE(fixture.logged("primary lost"));
    fixture.health_check_ended(1, Role::primary, fixture.now - 100'000);
    fixture.step(1000);
    EXPECT_FALSE(fixture.logged("primary found"));
    fixture.health_check_ended(1, Role::primary, fixture.now + 500);
    fixture.step(1000);
    EXPECT_TRUE(fixture.logged("primary found"));
}

// Guards against overload by trial writes of many routers: declined writes are load too, also for
// an endpoint in slow start.
TEST(PrimaryTracker, LimitsTrialWritesByTheRouterCount) {
    const auto forwarded = [](int router_count) {
        auto settings = default_settings();
        settings.router_count = router_count;
        RouterFixture fixture(settings);
        int count = 0;
        for (RequestId id = 1; id <= 20; ++id) {
            fixture.arrive(id, kWrite);
            fixture.fire_timer(10'000);
            count += fixture.count<Forward>();
        }
        return count;
    };
    EXPECT_GE(forwarded(1), 8);
    EXPECT_LE(forwarded(100), 2);
}

// Guards against overload of a replica group by health checks when all routers of a large fleet lose its
// primary at once.
TEST(PrimaryTracker, LimitsHealthChecksByTheRouterCount) {
    const auto health_checks_in_half_a_second = [](int router_count) {
        auto settings = default_settings();
        settings.router_count = router_count;
        settings.health_checks_allowed = true;
        settings.health_checks_report_status = true;
        RouterFixture fixture(settings);
        fixture.arrive(1, kWrite);
        fixture.step();
        int count = 0;
        for (int i = 0; i < 100; ++i) {
            fixture.fire_timer();
            count += fixture.count<StartHealthCheck>();
        }
        return count;
    };
    EXPECT_EQ(health_checks_in_half_a_second(48), 0);
    EXPECT_GE(health_checks_in_half_a_second(4), 3);
}

// Guards against a burst of health checks when a fleet starts: 100 routers that each check 60 endpoints would
// send 6,000.
TEST(PrimaryTracker, KeepsFirstHealthChecksOfAFleetWithinABudget) {
    const auto health_checks_by = [](int router_count) {
        int count = 0;
        for (int i = 0; i < router_count; ++i) {
            RouterFixture fixture(fleet_settings(router_count), 5, static_cast<std::uint64_t>(i) + 1);
            fixture.arrive(1, kAnyRead);
            fixture.step();
            count += fixture.count<StartHealthCheck>();
        }
        return count;
    };
    EXPECT_EQ(health_checks_by(3), 15);
    const int large_fleet_checks = health_checks_by(100);
    EXPECT_GT(large_fleet_checks, 10);
    EXPECT_LT(large_fleet_checks, 50);
}

// In larger fleets only routers with queued requests search for a primary by health checks; most have none.
TEST(PrimaryTracker, DoesNotCheckAReplicaGroupWithoutQueuedRequests) {
    RouterFixture fixture(fleet_settings(8), 3);
    fixture.establish_primary(1);
    fixture.arrive(1, kAnyRead);
    fixture.step();
    fixture.attempt_succeeded(1, fixture.forwarded_to(1).value_or(1), Role::unknown, 0);
    fixture.endpoint_list(EndpointListKind::changes, {make_entry(1, EndpointState::removed)});
    fixture.step();
    int health_checks = 0;
    const auto run_for_a_second = [&] {
        for (int i = 0; i < 200; ++i) {
            fixture.fire_timer();
            health_checks += fixture.count<StartHealthCheck>();
        }
    };
    run_for_a_second();
    EXPECT_EQ(health_checks, 0);
    for (RequestId id = 2; id < 10; ++id) fixture.arrive(id, kWrite);
    run_for_a_second();
    EXPECT_GT(health_checks, 0);
}

}  // namespace
}  // namespace sloestack::decision::test
