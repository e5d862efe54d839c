// Division of the file descriptors between clients and endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "proxy_harness.h"
#include "transport/descriptor_quota.h"

namespace {

using namespace integration;

// For every limit, the shares and the 16 descriptors that the process itself uses fit into the limit.
TEST(DescriptorLimits, SharesNeverExceedTheLimit) {
    for (int limit = 64; limit < 5000; ++limit) {
        const auto shares = sloestack::net::divide_descriptors(limit);
        EXPECT_LE(shares.total() + 16, limit);
        EXPECT_GE(std::min({shares.clients, shares.upstream, shares.overflow, shares.lingering}), 8) << limit;
    }
}

// While discovery is down, idle clients fill their share of the descriptors. The proxy must still be able to
// connect to discovery and to endpoints.
TEST(DescriptorLimits, IdleClientsLeaveDescriptorsForDiscoveryAndEndpoints) {
    ProxyHarness proxy(make_settings(), 64);
    proxy.establish_long_poll();
    std::vector<loopback::Peer> idle_clients;
    proxy.reset_discovery();
    for (int i = 0; i < 120; ++i) {
        idle_clients.push_back(loopback::connect_to(proxy.port()));
        idle_clients.back().send(startup_message());
        proxy.run_once();
    }
    proxy.clock.advance(100'000);
    proxy.run(40);
    proxy.establish_long_poll();  // discovery responds again, and a long poll is pending
    proxy.drain_endpoint();       // no query has arrived, so this drains the first endpoint
    proxy.run();
    proxy.clock.advance(100'000);
    proxy.run(40);
    proxy.run_for(400'000);  // each of the waiting clients is kept for 50 ms after its connect
    proxy.connect();
    proxy.send_request("read");
    proxy.run_until([&] { return !proxy.queries.empty(); });
    EXPECT_NE(proxy.queries.back().endpoint, proxy.draining_endpoint);
    proxy.respond_to_all();
    proxy.run_until([&] { return proxy.response_count() == 1; });
}

// Only the first of the queries that a client beyond the limit sent at once was rejected.
TEST(DescriptorLimits, RejectsEachQueryOfAClientBeyondTheLimit) {
    constexpr int kQueries = 5;
    ProxyHarness proxy(make_settings(), 64);
    proxy.establish_long_poll();
    std::vector<loopback::Peer> busy;
    for (int i = 0; i < sloestack::net::divide_descriptors(64).clients; ++i) {
        busy.push_back(loopback::connect_to(proxy.port()));
        busy.back().send(startup_message() + proxy.make_request("read").substr(0, 20));
        proxy.run();
    }
    auto last = loopback::connect_to(proxy.port());
    std::string queries;
    for (int i = 0; i < kQueries; ++i) queries += proxy.make_request("keyed_write");
    last.send(startup_message() + queries);
    proxy.run(40);
    last.read();
    int rejections = 0;
    for (auto at = last.received.find("C53300"); at != std::string::npos;
         at = last.received.find("C53300", at + 1))
        ++rejections;
    EXPECT_EQ(rejections, kQueries);
    EXPECT_TRUE(last.ended);
}

// All other sessions are in use: the only idle one is that of the client that has just been greeted.
TEST(DescriptorLimits, KeepsAGreetedClientUntilItCanHaveSentItsFirstQuery) {
    ProxyHarness proxy(make_settings(), 64);
    proxy.establish_long_poll();
    const auto startup = startup_message();
    const auto part = proxy.make_request("read").substr(0, 20);
    std::vector<loopback::Peer> busy;
    for (int i = 1; i < sloestack::net::divide_descriptors(64).clients; ++i) {
        busy.push_back(loopback::connect_to(proxy.port()));
        busy.back().send(startup + part);
        proxy.run();
    }
    proxy.connect();
    auto next = loopback::connect_to(proxy.port());
    next.send(startup);
    proxy.run();
    EXPECT_FALSE(proxy.client.ended);
    proxy.send_request("read");
    proxy.run_until([&] { return !proxy.queries.empty(); });
}

}  // namespace
