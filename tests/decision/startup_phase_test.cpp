// Tests of StartupPhase, by itself and with a whole router.
#include "startup_phase.h"

#include <gtest/gtest.h>

#include "router_fixture.h"

namespace {

using namespace sloestack::decision;

Settings make_settings(int router_count) {
    Settings settings;
    settings.router_count = router_count;
    return settings;
}

TEST(StartupPhase, AdvancesOnEvidenceAndNeverGoesBack) {
    using State = StartupPhase::State;
    StartupPhase phase(make_settings(300));
    for (int group = 0; group < 20; ++group) phase.on_request(group);
    for (int group = 0; group < 20; ++group) phase.on_role_reported(group);
    EXPECT_EQ(phase.state(), State::cold) << "only a cached list is known, whatever endpoints report";
    EXPECT_EQ(phase.take_transition_message(60'000'000), std::nullopt);
    phase.on_list_received();
    EXPECT_EQ(phase.state(), State::serving) << "the endpoints have reported their roles before";
    EXPECT_EQ(phase.take_transition_message(412'345), "startup phase: serving after 412 ms");
    EXPECT_EQ(phase.take_transition_message(500'000), std::nullopt) << "logged once";

    StartupPhase second_phase(make_settings(300));
    second_phase.on_list_received();
    EXPECT_EQ(second_phase.state(), State::learning);
    EXPECT_EQ(second_phase.take_transition_message(5'000), "startup phase: learning after 5 ms");
    second_phase.on_role_reported(7);
    EXPECT_EQ(second_phase.state(), State::learning) << "no request has arrived";
    for (int group = 0; group < 20; ++group) second_phase.on_request(group);
    for (int group = 0; group < 17; ++group) second_phase.on_role_reported(group);
    EXPECT_EQ(second_phase.state(), State::learning);
    second_phase.on_role_reported(17);
    EXPECT_EQ(second_phase.state(), State::serving) << "two of 20 groups may be unreachable";
    second_phase.on_request(99);
    second_phase.on_list_received();
    EXPECT_EQ(second_phase.state(), State::serving);
}

// ---- with a whole router ----
using namespace sloestack::decision::test;

// Guards against stale reads after a start: a cached list may be old, so a consistent read waits until the
// listed primary has reported its role, unless endpoints check positions themselves.
TEST(RouterStartup, SendsNoConsistentReadToAPrimaryKnownOnlyFromACachedList) {
    for (const auto check : {PositionCheck::none, PositionCheck::reject})
        for (const int request_class : {kBoundedRead, kSessionRead, kLinearizableRead}) {
            auto settings = default_settings();
            settings.health_checks_allowed = true;
            settings.health_checks_report_status = true;
            settings.position_check = check;
            settings.listed_role = ListedRole::delayed;
            RouterFixture fixture(settings, 0);
            auto old = make_entry(1);
            old.listed_primary = true;
            fixture.endpoint_list(EndpointListKind::cached, {old, make_entry(2)});
            fixture.step();
            fixture.arrive(1, request_class);
            fixture.step();
            EXPECT_EQ(fixture.forwarded_to(1).has_value(), check != PositionCheck::none) << request_class;
            if (check != PositionCheck::none) continue;
            fixture.health_check_ended(1, Role::replica, fixture.now - 5'000'000);
            fixture.fire_timer();
            EXPECT_FALSE(fixture.forwarded_to(1)) << "it is no longer the primary";
            fixture.health_check_ended(2, Role::primary, fixture.now);
            fixture.fire_timer();
            EXPECT_EQ(fixture.forwarded_to(1), std::optional<EndpointId>(2)) << request_class;
        }
}

// Guards against requests that wait for ever because a single health check was lost.
TEST(RouterStartup, RepeatsHealthChecksUntilTheListedPrimaryReportsItsRole) {
    auto settings = default_settings();
    settings.health_checks_allowed = true;
    settings.health_checks_report_status = true;
    settings.listed_role = ListedRole::delayed;
    RouterFixture fixture(settings, 0);
    auto first = make_entry(1);
    first.listed_primary = true;
    fixture.endpoint_list(EndpointListKind::cached, {first});
    fixture.step();
    int health_checks = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.arrive(static_cast<RequestId>(i + 1), kBoundedRead);
        fixture.fire_timer(10'000);
        health_checks += fixture.count<StartHealthCheck>();
        EXPECT_FALSE(fixture.forwarded_to(static_cast<RequestId>(i + 1)));
    }
    EXPECT_GE(health_checks, 3);
    EXPECT_LE(health_checks, 6);
    fixture.health_check_ended(1, Role::primary, fixture.now);
    fixture.arrive(200, kBoundedRead);
    fixture.step();
    EXPECT_EQ(fixture.forwarded_to(200), std::optional<EndpointId>(1));
}

}  // namespace
