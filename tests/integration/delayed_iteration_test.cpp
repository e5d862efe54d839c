// Event-loop iterations that run late, as after the process was stopped.
#include <gtest/gtest.h>

#include <string>

#include "proxy_harness.h"

namespace {

using namespace integration;

// Both the decision module's timer and the check that it has acted are due.
TEST(DelayedIteration, LeavesTheEndOfARequestToTheDecisionModule) {
    for (const Micros delay : {40'000, 100'000}) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        proxy.send_request("read");
        proxy.run_until([&] { return !proxy.queries.empty(); });
        proxy.clock.advance(kRequestDeadline + delay);
        proxy.run_until([&] { return proxy.response_count() == 1; });
        EXPECT_NE(proxy.client.received.find("53300"), std::string::npos) << delay;
        EXPECT_EQ(proxy.client.received.find("58000"), std::string::npos) << delay;
    }
}

}  // namespace
