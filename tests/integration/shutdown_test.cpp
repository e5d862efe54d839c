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
void run_until_kill_timeout(ProxyHarness& proxy, int iterations_per_step = 3) {
    for (Micros elapsed = 0; elapsed < kKillTimeout && !proxy.is_stopped(); elapsed += 10'000) {
        proxy.run(iterations_per_step);
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

constexpr Micros kLongDeadline = 60'000'000;

// Sends `count` writes at once, the first of which an endpoint does not respond to, and stops the proxy.
void send_writes_and_stop(ProxyHarness& proxy, int count) {
    proxy.establish_long_poll();
    proxy.connect();
    std::string requests;
    for (int i = 0; i < count; ++i) requests += proxy.make_request("keyed_write", kLongDeadline);
    proxy.client.send(requests);
    // Behind input in the kernel, the client's presence is verified first, which takes some milliseconds.
    proxy.run_until([&] {
        proxy.clock.advance(1'000);
        return !proxy.queries.empty();
    });
    raise(SIGTERM);
}

// Writes that waited behind an open write were discarded at the end of a stop and got no response.
TEST(Shutdown, RespondsToQueriesThatWaitBehindAnOpenOne) {
    constexpr int kWrites = 6;
    ProxyHarness proxy;
    send_writes_and_stop(proxy, kWrites);
    run_until_kill_timeout(proxy);
    EXPECT_EQ(proxy.response_count(), kWrites);
    EXPECT_NE(proxy.client.received.find("57P01"), std::string::npos) << "of the open write";
    EXPECT_NE(proxy.client.received.find("53300"), std::string::npos) << "of the writes that were not sent";
    EXPECT_EQ(proxy.queries.size(), 1U);
    EXPECT_TRUE(proxy.client.ended);
}

// The same for more queries than are read from the kernel while one is open.
TEST(Shutdown, RespondsToQueriesThatWaitInTheKernel) {
    constexpr int kWrites = 400;
    ProxyHarness proxy;
    send_writes_and_stop(proxy, kWrites);
    run_until_kill_timeout(proxy);
    EXPECT_EQ(proxy.response_count(), kWrites);
    EXPECT_TRUE(proxy.client.ended);
}

// The same for a statement that is not buffered until memory for it is free.
TEST(Shutdown, RespondsToALargeStatementThatWaitsBehindAnOpenQuery) {
    ProxyHarness proxy;
    send_writes_and_stop(proxy, 1);
    auto large = proxy.make_request("keyed_write", kLongDeadline);
    const std::string padding(200'000, ' ');
    const auto size = static_cast<std::uint32_t>(large.size() - 1 + padding.size());
    for (int byte = 0; byte < 4; ++byte)
        large[static_cast<std::size_t>(1 + byte)] = static_cast<char>(size >> (24 - 8 * byte));
    large.insert(5, padding);
    ASSERT_TRUE(proxy.client.send(large + proxy.make_request("keyed_write", kLongDeadline)));
    run_until_kill_timeout(proxy, 50);  // 4 KiB are read in each iteration
    EXPECT_EQ(proxy.response_count(), 3);
    EXPECT_TRUE(proxy.client.ended);
}

// A client that finishes its query only now gets a response although the proxy is about to end.
TEST(Shutdown, RespondsToAQueryThatIsCompletedAtTheEndOfAStop) {
    ProxyHarness proxy;
    send_writes_and_stop(proxy, 1);
    const auto late = proxy.make_request("keyed_write", kLongDeadline);
    bool is_begun = false;
    bool is_completed = false;
    for (Micros elapsed = 0; elapsed < kKillTimeout && !proxy.is_stopped(); elapsed += 10'000) {
        proxy.run(3);
        if (!is_begun && elapsed > kRequestDeadline) is_begun = proxy.client.send(late.substr(0, 20));
        if (!is_completed && proxy.response_count() == 1) is_completed = proxy.client.send(late.substr(20));
        proxy.clock.advance(10'000);
    }
    EXPECT_TRUE(proxy.is_stopped());
    EXPECT_EQ(proxy.response_count(), 2);
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
