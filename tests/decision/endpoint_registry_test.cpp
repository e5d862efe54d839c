// What a draining or removed endpoint may still get.
#include <gtest/gtest.h>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(EndpointRegistry, NothingNewGoesToADrainingOrRemovedEndpoint) {
    RouterFixture fixture(default_settings());
    fixture.establish_primary(1);
    fixture.endpoint_list(EndpointListKind::changes,
                          {make_entry(2, EndpointState::draining), make_entry(3, EndpointState::removed)});
    fixture.step(1000);
    for (RequestId id = 1; id <= 10; ++id) {
        fixture.arrive(id, kAnyRead);
        fixture.step(1000);
        if (fixture.forwarded_to(id)) {
            EXPECT_EQ(fixture.forwarded_to(id), 1u);
        }
    }
}

TEST(EndpointRegistry, ARemovedPrimaryIsKeptWhereRemovalIsAdvisory) {
    for (const bool advice : {true, false}) {
        auto settings = default_settings();
        settings.removal_is_advisory = advice;
        RouterFixture fixture(settings);
        fixture.establish_primary(2);
        fixture.endpoint_list(EndpointListKind::complete, {});
        fixture.arrive(1, kWrite);
        fixture.step(1000);
        EXPECT_EQ(fixture.forwarded_to(1).has_value(), advice);
    }
}

// It drained first, so it is forgotten in the end, though removal alone would not have bound the router.
TEST(EndpointRegistry, AForgottenPrimaryIsNoPrimaryWhereRemovalIsAdvisory) {
    auto settings = default_settings();
    settings.removal_is_advisory = true;
    settings.health_checks_allowed = true;
    settings.health_checks_report_status = true;
    RouterFixture fixture(settings);
    fixture.establish_primary(2);
    fixture.endpoint_list(EndpointListKind::changes, {make_entry(2, EndpointState::draining)});
    fixture.step(1000);
    fixture.endpoint_list(EndpointListKind::changes, {make_entry(2, EndpointState::removed)});
    fixture.step(1000);
    fixture.fire_timer(61'000'000);
    fixture.fire_timer();
    fixture.arrive(1, kWrite);
    fixture.step(1000);
    EXPECT_NE(fixture.forwarded_to(1), std::optional<EndpointId>(2));
    fixture.health_check_ended(3, Role::primary, fixture.now);
    fixture.step(1000);
    EXPECT_TRUE(fixture.logged("primary found: endpoint 3"));
}

}  // namespace
}  // namespace sloestack::decision::test
