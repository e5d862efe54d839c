// What a router that comes back believes, and when.
#include "startup_phase.h"

#include <gtest/gtest.h>

#include "router_fixture.h"

namespace {

using namespace sloestack::decision;

Settings of(int routers) {
    Settings s;
    s.router_count = routers;
    return s;
}

TEST(StartupPhase, MovesOnByEvidenceAloneAndNeverBack) {
    using State = StartupPhase::State;
    StartupPhase c(of(300));
    for (int g = 0; g < 20; ++g) c.on_request(g);
    for (int g = 0; g < 20; ++g) c.on_role_reported(g);
    EXPECT_EQ(c.state(), State::cold) << "whatever members say, the list is that of before";
    EXPECT_EQ(c.take_transition(60'000'000), std::nullopt);
    c.on_list_received();
    EXPECT_EQ(c.state(), State::serving) << "they have said it already";
    EXPECT_EQ(c.take_transition(412'345), "startup phase: serving after 412 ms");
    EXPECT_EQ(c.take_transition(500'000), std::nullopt) << "told once";

    StartupPhase other(of(300));
    other.on_list_received();
    EXPECT_EQ(other.state(), State::learning);
    EXPECT_EQ(other.take_transition(5'000), "startup phase: learning after 5 ms");
    other.on_role_reported(7);
    EXPECT_EQ(other.state(), State::learning) << "nobody has asked for anything";
    for (int g = 0; g < 20; ++g) other.on_request(g);
    for (int g = 0; g < 17; ++g) other.on_role_reported(g);
    EXPECT_EQ(other.state(), State::learning);
    other.on_role_reported(17);
    EXPECT_EQ(other.state(), State::serving) << "two groups may be out of reach";
    other.on_request(99);
    other.on_list_received();
    EXPECT_EQ(other.state(), State::serving);
}

// ---- the whole router ----
using namespace sloestack::decision::test;

// A cached list may be old: a consistent read waits until the listed primary has confirmed its role, unless
// the endpoints check positions themselves.
TEST(RouterStartup, APrimaryKnownOnlyFromACachedListServesNoConsistentRead) {
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
            EXPECT_FALSE(fixture.forwarded_to(1)) << "it has been deposed meanwhile";
            fixture.health_check_ended(2, Role::primary, fixture.now);
            fixture.fire_timer();
            EXPECT_EQ(fixture.forwarded_to(1), std::optional<EndpointId>(2)) << request_class;
        }
}

// A lost health check is repeated while a request waits for it.
TEST(RouterStartup, AListedPrimaryIsCheckedUntilItConfirmsItsRole) {
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
