// Tests of PendingQueue with a whole router.
#include <gtest/gtest.h>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

TEST(PendingQueue, RejectsARequestBeforeItsDeadlineWithARetryAfter) {
    RouterFixture fixture(default_settings(), 0);
    fixture.arrive(1, kAnyRead);
    fixture.step(1000);
    bool rejected = false;
    for (int i = 0; i < 199 && !rejected; ++i) {
        fixture.fire_timer();
        if (const auto* rejection = fixture.find<Reject>(1)) {
            rejected = true;
            EXPECT_GT(rejection->retry_after_us, 0);
        }
    }
    EXPECT_TRUE(rejected);
}

}  // namespace
}  // namespace sloestack::decision::test
