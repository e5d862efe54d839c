// SIGTERM at each stage of a process.
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

#include "proxy_harness.h"
#include "transport/descriptor_quota.h"

namespace {

using namespace integration;

// Runs until the platform would kill the process, and checks that it has ended by then.
void run_until_killed(ProxyHarness& proxy) {
    for (Micros passed = 0; passed < kKillTimeout && !proxy.is_stopped(); passed += 10'000) {
        proxy.run(3);
        proxy.clock.advance(10'000);
    }
    EXPECT_TRUE(proxy.is_stopped());
}

TEST(Shutdown, BeforeTheFirstListEndsAtOnce) {
    ProxyHarness proxy(make_settings(), kDefaultDescriptors, false);
    raise(SIGTERM);
    run_until_killed(proxy);
}

TEST(Shutdown, BeforeTheFirstAnswerOfALocalAgentEndsAtOnce) {
    auto pushed = make_settings();
    pushed["discovery"] = "pushed";
    ProxyHarness proxy(pushed);
    raise(SIGTERM);
    run_until_killed(proxy);
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
    proxy.answer_all();
    proxy.run_until([&] { return proxy.answer_count() == 1; });
    run_until_killed(proxy);
    EXPECT_TRUE(proxy.client.ended);
}

// No member answers any more: accepted requests fail before the process is killed.
TEST(Shutdown, WithHungMembersAllAcceptedRequestsAreAnswered) {
    for (const auto& request_class : kRequestClasses) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        proxy.send_request(request_class.name);
        proxy.run_until([&] { return !proxy.queries.empty(); });
        raise(SIGTERM);
        run_until_killed(proxy);
        EXPECT_EQ(proxy.answer_count(), 1) << request_class.name;
        EXPECT_TRUE(proxy.client.ended);
    }
}

// The client keeps sending while its connection is open: each request is answered, or was not forwarded at
// all.
TEST(Shutdown, AClientThatKeepsSendingLosesNothing) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    raise(SIGTERM);
    for (Micros passed = 0; passed < kKillTimeout && !proxy.is_stopped(); passed += 10'000) {
        if (!proxy.client.ended && proxy.answer_count() == proxy.request_count)
            proxy.send_request("keyed_write");
        proxy.run(4);
        proxy.answer_all();
        proxy.run(4);
        proxy.clock.advance(10'000);
    }
    EXPECT_TRUE(proxy.is_stopped());
    EXPECT_GT(proxy.answer_count(), 50);
    for (const auto& query : proxy.queries)
        EXPECT_LE(std::stoi(query.id.substr(1)), proxy.answer_count()) << query.id;
}

// All descriptors for clients are in use, so one more connection waits in the kernel's backlog when the
// listener closes.
TEST(Shutdown, ConnectionsInTheBacklogAreAnsweredBeforeTheListenerCloses) {
    ProxyHarness proxy(make_settings(), 64);
    proxy.establish_long_poll();
    const auto startup = startup_message();
    const auto shares = sloestack::net::divide_descriptors(64);
    std::vector<loopback::Peer> busy;
    for (int i = 0; i < shares.clients + shares.overflow; ++i) {
        busy.push_back(loopback::connect_to(proxy.port()));
        busy.back().send(startup +
                         proxy.make_request("read").substr(0, 20));  // incomplete, so it makes no room
        proxy.run();
    }
    auto last = loopback::connect_to(proxy.port());
    last.send(startup + proxy.make_request("read"));
    proxy.run();
    last.read();
    ASSERT_TRUE(last.received.empty()) << "it has not been accepted";
    raise(SIGTERM);
    proxy.run();
    proxy.clock.advance(650'000);  // the listener closes now
    proxy.run(40);
    last.read();
    EXPECT_NE(last.received.find("53300"), std::string::npos) << "it is rejected with a Retry-After";
    proxy.run_for(kKillTimeout);
    EXPECT_TRUE(proxy.is_stopped());
}

}  // namespace
