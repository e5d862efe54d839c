// Tests of EndpointRegistry with a whole router: requests after an endpoint is draining or removed.
#include <gtest/gtest.h>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(EndpointRegistry, ExcludesDrainingAndRemovedEndpoints) {
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

TEST(EndpointRegistry, KeepsARemovedPrimaryIfRemovalIsAdvisory) {
    for (const bool is_advisory : {true, false}) {
        auto settings = default_settings();
        settings.removal_is_advisory = is_advisory;
        RouterFixture fixture(settings);
        fixture.establish_primary(2);
        fixture.endpoint_list(EndpointListKind::complete, {});
        fixture.arrive(1, kWrite);
        fixture.step(1000);
        EXPECT_EQ(fixture.forwarded_to(1).has_value(), is_advisory);
    }
}

// A draining endpoint is erased 60 s after its removal, although removal is only advisory: the group must
// then find another primary.
TEST(EndpointRegistry, DropsAnErasedPrimaryIfRemovalIsAdvisory) {
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
