// An idle connection that is closed as a request arrives.
#include <gtest/gtest.h>

#include "proxy_harness.h"

namespace {

using namespace integration;

// Both ends shut down at the same time with a request on its way: it is not forwarded.
TEST(ConnectionClose, ARequestBehindTheShutdownOfAnIdleConnectionIsNotAccepted) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.complete_first_request("keyed_write");
    proxy.clock.advance(11'000'000);  // beyond the idle limit
    proxy.run_until([&] { return proxy.client.ended; });
    const auto before = proxy.queries.size();
    proxy.send_request("keyed_write");
    proxy.run();
    EXPECT_FALSE(proxy.client.was_reset()) << "a reset can take the last answer with it";
    proxy.run_for(1'500'000);
    EXPECT_EQ(proxy.queries.size(), before);
    EXPECT_EQ(proxy.answer_count(), 1);
}

// The other order: the request has arrived when the proxy is about to close, so it is accepted.
TEST(ConnectionClose, ARequestBeforeTheShutdownOfAnIdleConnectionIsAccepted) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.complete_first_request("keyed_write");
    proxy.clock.advance(11'000'000);
    proxy.send_request("keyed_write");
    proxy.run_until([&] { return proxy.queries.size() == 2; });
    proxy.answer_all();
    proxy.run_until([&] { return proxy.answer_count() == 2; });
    EXPECT_FALSE(proxy.client.ended);
}

}  // namespace
