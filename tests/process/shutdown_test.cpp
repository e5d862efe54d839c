// SIGTERM while clients go on connecting and sending.
#include <gtest/gtest.h>

#include <csignal>
#include <list>
#include <string>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr Micros kDeadline = 500 * kMillisecond;
constexpr Micros kKillTimeout = kDeadline + 700 * kMillisecond;

// A client that sends its first request as soon as the proxy has greeted it.
struct NewClient {
    Peer peer;
    bool has_sent = false;
    bool was_closed_before_its_request = false;
};

void advance(NewClient& client, int number) {
    if (client.has_sent || client.was_closed_before_its_request || !is_ready(client.peer)) return;
    client.was_closed_before_its_request = client.peer.ended;
    client.has_sent = !client.peer.ended;
    if (client.has_sent)
        client.peer.send(integration::request_message("n" + std::to_string(number), "read", kDeadline));
}

ProcessOptions short_deadlines() {
    ProcessOptions options;
    for (auto& request_class : options.settings["classes"]) request_class["deadline-us"] = kDeadline;
    return options;
}

TEST(Shutdown, ClientsThatConnectDuringAStopGetAnAnswerToTheirFirstRequest) {
    ProxyProcess proxy(short_deadlines());
    proxy.open_idle_endpoint_connections();
    std::list<NewClient> clients;
    const Time killed_at = proxy.now() + kKillTimeout;
    proxy.signal(SIGTERM);
    while (!proxy.has_exited() && proxy.now() < killed_at) {
        if (auto peer = proxy.try_to_connect(); peer.is_open()) {
            peer.send(integration::startup_message());
            clients.push_back({std::move(peer)});
        }
        proxy.run_for(5 * kMillisecond);
        int number = 0;
        for (auto& client : clients) advance(client, ++number);
    }
    EXPECT_TRUE(proxy.has_exited());
    EXPECT_GT(clients.size(), 50U);
    for (auto& client : clients) {
        EXPECT_FALSE(client.was_closed_before_its_request);
        EXPECT_TRUE(!client.has_sent || has_row(client.peer) || has_error(client.peer, "53300"));
    }
}

// A process that did not run when the stop failed the open requests closed their connections without an
// answer.
TEST(Shutdown, QueriesBehindAnOpenOneAreAnsweredIfTheProcessStandsStillAtTheEnd) {
    constexpr int kQueries = 8;
    constexpr Micros kRequestDeadline = 3'000 * kMillisecond;
    for (const Micros stopped_after : {880, 930, 980}) {
        SCOPED_TRACE(std::to_string(stopped_after) + " ms after SIGTERM");
        ProxyProcess proxy(short_deadlines());
        proxy.open_idle_endpoint_connections();
        proxy.endpoints_hang = true;
        auto client = proxy.connect();
        auto queries = integration::startup_message();
        for (int i = 0; i < kQueries; ++i)
            queries += integration::request_message("q" + std::to_string(i), "plain_write", kRequestDeadline);
        client.send(queries);
        ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("q0") == 1; }, kRequestDeadline));
        proxy.signal(SIGTERM);
        proxy.run_for(stopped_after * kMillisecond);
        proxy.signal(SIGSTOP);
        proxy.run_for(180 * kMillisecond);
        proxy.signal(SIGCONT);
        EXPECT_TRUE(proxy.run_until([&] { return proxy.has_exited(); }, kKillTimeout));
        EXPECT_EQ(error_count(client), kQueries);
    }
}

}  // namespace
