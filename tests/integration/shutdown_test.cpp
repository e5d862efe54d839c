// SIGTERM in different states of the process.
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

#include "proxy_harness.h"
#include "transport/descriptor_quota.h"

namespace {

using namespace integration;

// Runs the proxy until the platform would kill the process, and checks that the process has ended by then.
void run_until_kill_timeout(ProxyHarness& proxy) {
    for (Micros elapsed = 0; elapsed < kKillTimeout && !proxy.is_stopped(); elapsed += 10'000) {
        proxy.run(3);
        proxy.clock.advance(10'000);
    }
    EXPECT_TRUE(proxy.is_stopped());
}

TEST(Shutdown, EndsAtOnceBeforeTheFirstList) {
    ProxyHarness proxy(make_settings(), kDefaultDescriptors, false);
    raise(SIGTERM);
    run_until_kill_timeout(proxy);
}

TEST(Shutdown, EndsAtOnceBeforeTheFirstListOfALocalAgent) {
    auto settings = make_settings();
    settings["discovery"] = "pushed";
    ProxyHarness proxy(settings);
    raise(SIGTERM);
    run_until_kill_timeout(proxy);
}

TEST(Shutdown, RepeatedSignalsEndTheProcessOnce) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.send_request("read");
    proxy.run_until([&] { return !proxy.queries.empty(); });
    raise(SIGTERM);
    raise(SIGTERM);
    raise(SIGHUP);
    proxy.run();
    raise(SIGTERM);
    proxy.run();
    proxy.respond_to_all();
    proxy.run_until([&] { return proxy.response_count() == 1; });
    run_until_kill_timeout(proxy);
    EXPECT_TRUE(proxy.client.ended);
}

// No endpoint responds any more: accepted requests must fail before the process is killed.
TEST(Shutdown, RespondsToAcceptedRequestsIfEndpointsHang) {
    for (const auto& request_class : kRequestClasses) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        proxy.send_request(request_class.name);
        proxy.run_until([&] { return !proxy.queries.empty(); });
        raise(SIGTERM);
        run_until_kill_timeout(proxy);
        EXPECT_EQ(proxy.response_count(), 1) << request_class.name;
        EXPECT_TRUE(proxy.client.ended);
    }
}

// A client keeps sending requests until its connection closes: every request that was forwarded must get its
// response.
TEST(Shutdown, RespondsToAClientThatKeepsSending) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    raise(SIGTERM);
    for (Micros elapsed = 0; elapsed < kKillTimeout && !proxy.is_stopped(); elapsed += 10'000) {
        if (!proxy.client.ended && proxy.response_count() == proxy.request_count)
            proxy.send_request("keyed_write");
        proxy.run(4);
        proxy.respond_to_all();
        proxy.run(4);
        proxy.clock.advance(10'000);
    }
    EXPECT_TRUE(proxy.is_stopped());
    EXPECT_GT(proxy.response_count(), 50);
    for (const auto& query : proxy.queries)
        EXPECT_LE(std::stoi(query.id.substr(1)), proxy.response_count()) << query.id;
}

// All descriptors for clients are in use, so one more connection waits in the kernel's accept queue when the
// listener closes. It must be rejected instead of reset.
TEST(Shutdown, RejectsConnectionsInTheAcceptQueueBeforeTheListenerCloses) {
    ProxyHarness proxy(make_settings(), 64);
    proxy.establish_long_poll();
    const auto startup = startup_message();
    const auto shares = sloestack::net::divide_descriptors(64);
    const auto request = proxy.make_request("read");
    std::vector<loopback::Peer> busy;
    for (int i = 0; i < shares.clients + shares.overflow; ++i) {
        busy.push_back(loopback::connect_to(proxy.port()));
        busy.back().send(startup + request.substr(0, 20));  // incomplete: does not count as idle
        proxy.run();
    }
    auto last = loopback::connect_to(proxy.port());
    last.send(startup + proxy.make_request("read"));
    proxy.run();
    last.read();
    ASSERT_TRUE(last.received.empty()) << "the connection was accepted too early";
    raise(SIGTERM);
    proxy.run();
    proxy.clock.advance(650'000);                                    // the time at which the listener closes
    for (auto& session : busy) session.send(request.substr(20, 1));  // still sending: is not displaced
    proxy.run(40);
    last.read();
    EXPECT_NE(last.received.find("53300"), std::string::npos)
        << "the connection was not rejected with a Retry-After";
    proxy.run_for(kKillTimeout);
    EXPECT_TRUE(proxy.is_stopped());
}

}  // namespace
