// Retries and the idempotency window.
#include <gtest/gtest.h>

#include "proxy_harness.h"

namespace {

using namespace integration;

// A retry is decided within the window, and its connection opens within it or after it.
TEST(RetryWindow, ARetryThatWaitsForItsConnectionStartsWithinTheWindowOrNotAtAll) {
    for (const bool in_time : {true, false}) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        proxy.send_request("keyed_write");
        proxy.run_until([&] { return !proxy.queries.empty(); });
        proxy.clock.advance(kIdempotencyWindow - 100'000);
        proxy.run();
        proxy.members_accept_startup = false;
        proxy.reset_members();  // the attempt may have run
        proxy.run();
        proxy.clock.advance(in_time ? 50'000 : 150'000);
        proxy.members_accept_startup = true;
        proxy.run();
        EXPECT_EQ(proxy.queries.size(), in_time ? 2u : 1u);
        proxy.run_for(kRequestDeadline);
        EXPECT_EQ(proxy.answer_count(), 1);
        EXPECT_EQ(proxy.queries.size(), in_time ? 2u : 1u);
    }
}

}  // namespace
