// Retries and the idempotency window.
#include <gtest/gtest.h>

#include "proxy_harness.h"

namespace {

using namespace integration;

// A retry is decided within the idempotency window, but its connection may open only after the window: then
// the retry must not be sent.
TEST(RetryWindow, SendsADelayedRetryOnlyWithinTheWindow) {
    for (const bool in_time : {true, false}) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        proxy.send_request("keyed_write");
        proxy.run_until([&] { return !proxy.queries.empty(); });
        proxy.clock.advance(kIdempotencyWindow - 100'000);
        proxy.run();
        proxy.endpoints_accept_startup = false;
        proxy.reset_endpoints();  // the attempt may have run
        proxy.run();
        proxy.clock.advance(in_time ? 50'000 : 150'000);
        proxy.endpoints_accept_startup = true;
        proxy.run();
        EXPECT_EQ(proxy.queries.size(), in_time ? 2u : 1u);
        proxy.run_for(kRequestDeadline);
        EXPECT_EQ(proxy.response_count(), 1);
        EXPECT_EQ(proxy.queries.size(), in_time ? 2u : 1u);
    }
}

}  // namespace
