// Tests how LoadBalancer, as part of a router, uses the capacity of an endpoint.
#include <gtest/gtest.h>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

// Guards against overload if every router uses the minimum capacity of an endpoint by itself: all routers
// share it (incident i333a33).
TEST(LoadBalancer, SharesTheMinimumCapacityOfAnEndpointAmongRouters) {
    const auto forwarded = [](int router_count) {
        auto settings = default_settings();
        settings.router_count = router_count;
        RouterFixture fixture(settings, 1);
        for (RequestId id = 1; id <= 50; ++id) fixture.arrive(id, kAnyRead);
        fixture.step(1000);
        int count = 0;
        for (RequestId id = 1; id <= 50; ++id) count += fixture.forwarded_to(id).has_value();
        return count;
    };
    EXPECT_LE(forwarded(8), 4);
    EXPECT_GE(forwarded(1), 8);
}

}  // namespace
}  // namespace sloestack::decision::test
