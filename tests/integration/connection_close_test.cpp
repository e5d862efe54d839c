// A request that arrives while the proxy closes its client's idle connection.
#include <gtest/gtest.h>

#include "proxy_harness.h"

namespace {

using namespace integration;

// The request arrives after the proxy has shut down the connection: it is not forwarded.
TEST(ConnectionClose, DropsARequestThatArrivesAfterTheShutdown) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.complete_first_request("keyed_write");
    proxy.clock.advance(11'000'000);  // more than the idle limit
    proxy.run_until([&] { return proxy.client.ended; });
    const auto queries_before = proxy.queries.size();
    proxy.send_request("keyed_write");
    proxy.run();
    EXPECT_FALSE(proxy.client.was_reset()) << "a reset can make the client lose the last response";
    proxy.run_for(1'500'000);
    EXPECT_EQ(proxy.queries.size(), queries_before);
    EXPECT_EQ(proxy.response_count(), 1);
}

// The request arrives just before the proxy would shut down the connection: it is accepted.
TEST(ConnectionClose, AcceptsARequestThatArrivesBeforeTheShutdown) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.complete_first_request("keyed_write");
    proxy.clock.advance(11'000'000);
    proxy.send_request("keyed_write");
    proxy.run_until([&] { return proxy.queries.size() == 2; });
    proxy.respond_to_all();
    proxy.run_until([&] { return proxy.response_count() == 2; });
    EXPECT_FALSE(proxy.client.ended);
}

// Two processes of a proxy have the same configuration during a hot restart, and gave their clients the same
// keys: a CancelRequest that reached the other process cancelled the query of another client.
TEST(CancelKeys, DifferBetweenTheProcessesOfOneProxy) {
    ProxyHarness first;
    ProxyHarness second;
    first.connect();
    second.connect();
    EXPECT_NE(first.cancel_key(), second.cancel_key());
}

}  // namespace
