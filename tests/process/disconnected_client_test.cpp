// Requests whose clients have left, or have waited for long, before the proxy reads them: the proxy was out
// of descriptors, or the process was stopped.
#include <gtest/gtest.h>

#include <csignal>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr int kDescriptors = 64;
constexpr Micros kSettleTime = 300 * kMillisecond;
constexpr Micros kDeadline = 2'000 * kMillisecond;
constexpr Micros kDeadlineSlack = 150 * kMillisecond;

ProcessOptions few_descriptors() {
    ProcessOptions options;
    options.descriptors = kDescriptors;
    return options;
}

TEST(DisconnectedClient, RequestInTheAcceptQueueIsNotForwardedAfterItsClientLeft) {
    ProxyProcess proxy(few_descriptors());
    proxy.open_idle_endpoint_connections();
    auto busy = proxy.open_busy_sessions(session_limit(kDescriptors));
    proxy.run_for(50 * kMillisecond);
    std::vector<Peer> clients;
    for (int i = 0; i < 5; ++i)
        clients.push_back(proxy.connect_and_request("left" + std::to_string(i), 1'000 * kMillisecond));
    proxy.run_for(150 * kMillisecond);
    clients.clear();
    proxy.run_for(150 * kMillisecond);
    busy.clear();
    proxy.run_for(kSettleTime);
    for (int i = 0; i < 5; ++i) EXPECT_EQ(proxy.arrival_count("left" + std::to_string(i)), 0);
}

TEST(DisconnectedClient, RequestOfANewConnectionIsNotForwardedAfterAStop) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    proxy.signal(SIGSTOP);
    auto client = proxy.connect_and_request("left", 1'000 * kMillisecond);
    proxy.run_for(100 * kMillisecond);
    client.close();
    proxy.run_for(200 * kMillisecond);
    proxy.signal(SIGCONT);
    proxy.run_for(kSettleTime);
    EXPECT_EQ(proxy.arrival_count("left"), 0);
}

TEST(DisconnectedClient, RequestOfAnOpenConnectionIsNotForwardedAfterAStop) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    auto client = proxy.connect_and_request("first", 1'000 * kMillisecond);
    ASSERT_TRUE(proxy.run_until([&] { return has_row(client); }, 2'000 * kMillisecond));
    proxy.signal(SIGSTOP);
    client.send(integration::request_message("left", "read", 1'000 * kMillisecond));
    client.close();
    proxy.run_for(200 * kMillisecond);
    proxy.signal(SIGCONT);
    proxy.run_for(kSettleTime);
    EXPECT_EQ(proxy.arrival_count("left"), 0);
}

TEST(DisconnectedClient, RequestIsNotRetriedAfterAStop) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    proxy.endpoints_hang = true;
    auto client = proxy.connect_and_request("retried", 2'000 * kMillisecond);
    ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("retried") == 1; }, 2'000 * kMillisecond));
    proxy.signal(SIGSTOP);
    proxy.reset_connection_of("retried");
    client.close();
    proxy.run_for(200 * kMillisecond);
    proxy.signal(SIGCONT);
    proxy.run_for(kSettleTime);
    EXPECT_EQ(proxy.arrival_count("retried"), 1);
}

TEST(DisconnectedClient, CanceledRequestIsNotRetriedAfterAStop) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    proxy.endpoints_hang = true;
    auto client = proxy.connect_and_request("canceled", 2'000 * kMillisecond);
    ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("canceled") == 1; }, 2'000 * kMillisecond));
    const auto key = cancel_key(client);
    proxy.signal(SIGSTOP);
    auto canceling = proxy.connect();
    canceling.send(integration::cancel_message(key));
    proxy.reset_connection_of("canceled");
    proxy.run_for(200 * kMillisecond);
    proxy.signal(SIGCONT);
    proxy.run_for(kSettleTime);
    EXPECT_EQ(proxy.arrival_count("canceled"), 1);
    EXPECT_TRUE(has_error(client, "57014"));
}

// The client's FIN could not arrive behind large unread queries, and a read behind the first response was
// forwarded long after the client had closed.
TEST(DisconnectedClient, PipelinedReadIsNotForwardedIfUnreadQueriesHideTheClientsFin) {
    constexpr int kRounds = 20;
    constexpr int kLargeWrites = 6;
    constexpr std::size_t kLargeWrite = std::size_t{128} * 1024;
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    proxy.endpoints_hang = true;
    for (int round = 0; round < kRounds; ++round) {
        const auto number = std::to_string(round);
        auto client = proxy.connect_and_request("write" + number, kDeadline, "keyed_write");
        auto queries = integration::request_message("read" + number, "read", kDeadline);
        for (int i = 0; i < kLargeWrites; ++i)
            queries += integration::write_message("large" + number, "keyed_write", kDeadline, kLargeWrite);
        client.send_part(queries);
        ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("write" + number) == 1; }, kDeadline));
        client.read();  // a close with unread input would reset the connection at once
        client.close();
        proxy.run_for(150 * kMillisecond);
        proxy.respond_to("write" + number);
        proxy.run_for(50 * kMillisecond);
        EXPECT_EQ(proxy.arrival_count("read" + number), 0) << round;
    }
}

// A client that is still connected is served, although a FIN of it could not arrive.
TEST(DisconnectedClient, PipelinedWriteBeforeUnreadQueriesIsForwardedIfTheClientStays) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    auto client = proxy.connect_and_request("read", kDeadline);
    std::string queries = integration::request_message("write", "keyed_write", kDeadline);
    for (int i = 0; i < 6; ++i)
        queries += integration::write_message("large" + std::to_string(i), "keyed_write", kDeadline, 100'000);
    const auto all_served = [&] {
        queries.erase(0, client.send_part(queries));
        return values(client).size() == 8;
    };
    EXPECT_TRUE(proxy.run_until(all_served, kDeadline));
}

// A request whose client has left may still be running: an id that came again was executed a second time.
TEST(DisconnectedClient, IdThatComesAgainAfterItsClientLeftIsNotExecutedTwice) {
    for (const char* request_class : {"read", "keyed_write", "plain_write"}) {
        ProxyProcess proxy;
        proxy.open_idle_endpoint_connections();
        proxy.endpoints_hang = true;
        auto client = proxy.connect_and_request("twice", kDeadline, request_class);
        ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("twice") == 1; }, kDeadline));
        client.reset();
        proxy.run_for(50 * kMillisecond);
        auto again = proxy.connect_and_request("twice", kDeadline, request_class);
        EXPECT_TRUE(proxy.run_until([&] { return has_error(again, "22023"); }, kDeadline)) << request_class;
        EXPECT_EQ(proxy.arrival_count("twice"), 1) << request_class;
    }
}

// The same after a response: only a read may be executed again.
TEST(DisconnectedClient, IdOfAnExecutedWriteIsNotExecutedTwice) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    for (int round = 0; round < 2; ++round) {
        auto client = proxy.connect_and_request("twice", kDeadline, "plain_write");
        const auto has_end = [&] { return has_row(client) || has_error(client, "22023"); };
        EXPECT_TRUE(proxy.run_until(has_end, kDeadline));
    }
    EXPECT_EQ(proxy.arrival_count("twice"), 1);
}

// A client that has only shut down its sending side still waits for its response.
TEST(DisconnectedClient, RequestInTheAcceptQueueOfAHalfClosedConnectionIsServed) {
    ProxyProcess proxy(few_descriptors());
    proxy.open_idle_endpoint_connections();
    auto busy = proxy.open_busy_sessions(session_limit(kDescriptors));
    proxy.run_for(50 * kMillisecond);
    auto client = proxy.connect_and_request("half", 2'000 * kMillisecond);
    client.half_close();
    proxy.run_for(200 * kMillisecond);
    busy.clear();
    EXPECT_TRUE(proxy.run_until([&] { return has_row(client); }, 1'000 * kMillisecond));
}

void expect_accept_queue_to_count(const ProcessOptions& options) {
    ProxyProcess proxy(options);
    proxy.open_idle_endpoint_connections();
    auto busy = proxy.open_busy_sessions(session_limit(kDescriptors));
    proxy.run_for(50 * kMillisecond);
    const Time sent_at = proxy.now();
    const auto client = proxy.connect_and_request("waited", 1'500 * kMillisecond);
    proxy.run_for(400 * kMillisecond);
    busy.clear();
    ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("waited") == 1; }, 1'000 * kMillisecond));
    const auto& query = proxy.queries.back();
    EXPECT_LE(query.time_left, sent_at + 1'500 * kMillisecond - query.received_at + kDeadlineSlack);
}

TEST(RequestAge, TimeInTheAcceptQueueCountsTowardsTheDeadline) {
    expect_accept_queue_to_count(few_descriptors());
}

TEST(RequestAge, TimeInTheAcceptQueueCountsIfTheKernelDoesNotTellIt) {
    auto options = few_descriptors();
    options.faults = {"SHIM_NO_TCP_INFO=1"};
    expect_accept_queue_to_count(options);
}

TEST(RequestAge, TimeWhileStoppedCountsTowardsTheDeadline) {
    ProxyProcess proxy;
    proxy.open_idle_endpoint_connections();
    auto client = proxy.connect_and_request("first", 1'000 * kMillisecond);
    ASSERT_TRUE(proxy.run_until([&] { return has_row(client); }, 2'000 * kMillisecond));
    proxy.signal(SIGSTOP);
    const Time sent_at = proxy.now();
    client.send(integration::request_message("waited", "read", 1'500 * kMillisecond));
    proxy.run_for(500 * kMillisecond);
    proxy.signal(SIGCONT);
    ASSERT_TRUE(proxy.run_until([&] { return proxy.arrival_count("waited") == 1; }, 1'000 * kMillisecond));
    const auto& query = proxy.queries.back();
    EXPECT_LE(query.time_left, sent_at + 1'500 * kMillisecond - query.received_at + kDeadlineSlack);
}

}  // namespace
