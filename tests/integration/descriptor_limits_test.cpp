// Shares of the file descriptors.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "proxy_harness.h"
#include "transport/descriptor_quota.h"

namespace {

using namespace integration;

// Whatever the limit, all shares and the process's own descriptors fit into it.
TEST(DescriptorLimits, SharesNeverExceedTheLimit) {
    for (int all = 64; all < 5000; ++all) {
        const auto shares = sloestack::net::divide_descriptors(all);
        EXPECT_LE(shares.total() + 16, all);
        EXPECT_GE(std::min({shares.clients, shares.upstream, shares.overflow, shares.lingering}), 8) << all;
    }
}

// Idle clients use their whole share while discovery is down: discovery and members are still reached.
TEST(DescriptorLimits, IdleClientsLeaveRoomForDiscoveryAndMembers) {
    ProxyHarness proxy(make_settings(), 64);
    proxy.establish_long_poll();
    std::vector<loopback::Peer> idle;
    proxy.reset_discovery();
    for (int i = 0; i < 120; ++i) {
        idle.push_back(loopback::connect_to(proxy.port()));
        idle.back().send(startup_message());
        proxy.run_once();
    }
    proxy.clock.advance(100'000);
    proxy.run(40);
    proxy.establish_long_poll();  // discovery answers again, and is polled
    proxy.drain_member();         // of the first member
    proxy.run();
    proxy.clock.advance(100'000);
    proxy.run(40);
    proxy.connect();
    proxy.send_request("read");
    proxy.run_until([&] { return !proxy.queries.empty(); });
    EXPECT_NE(proxy.queries.back().member, proxy.draining_member);
    proxy.answer_all();
    proxy.run_until([&] { return proxy.answer_count() == 1; });
}

}  // namespace
