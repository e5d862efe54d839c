// The program while its system calls fail in ways that Linux documents.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <csignal>
#include <string>
#include <vector>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr int kDescriptors = 64;
constexpr Micros kDeadline = 2'000 * kMillisecond;
constexpr Micros kAnswerGrace = 500 * kMillisecond;

// Sends requests one after another on connections of their own; each must be served in time.
void expect_requests_served(ProxyProcess& proxy, int count) {
    for (int i = 0; i < count; ++i) {
        auto client = proxy.connect_and_request("r" + std::to_string(i), kDeadline);
        EXPECT_TRUE(proxy.run_until([&] { return has_row(client); }, kDeadline + kAnswerGrace)) << i;
    }
}

ProxyProcess start(const std::vector<std::string>& faults) {
    ProcessOptions options;
    options.faults = faults;
    return ProxyProcess(options);
}

TEST(SystemCallFailures, RequestsAreServedWhileAcceptFails) {
    auto proxy = start({"SHIM_ACCEPT_ERRORS=2"});
    expect_requests_served(proxy, 20);
}

TEST(SystemCallFailures, RequestsAreServedWhileSocketFails) {
    auto proxy = start({"SHIM_SOCKET_ERRORS=2"});
    expect_requests_served(proxy, 20);
}

TEST(SystemCallFailures, RequestsAreServedWhileConnectFails) {
    auto proxy = start({"SHIM_CONNECT_ERRORS=2"});
    expect_requests_served(proxy, 20);
}

TEST(SystemCallFailures, RequestsAreServedWhileWaitsAreInterrupted) {
    auto proxy = start({"SHIM_WAIT_INTERRUPTS=2"});
    expect_requests_served(proxy, 20);
}

TEST(SystemCallFailures, RequestsAreServedWithShortReadsAndWrites) {
    auto proxy = start({"SHIM_SHORT_IO=7"});
    expect_requests_served(proxy, 20);
}

TEST(SystemCallFailures, RequestsAreServedAfterAStepOfTheWallClock) {
    for (const char* step : {"SHIM_WALL_CLOCK_STEP=3600", "SHIM_WALL_CLOCK_STEP=-3600"}) {
        auto proxy = start({step});
        proxy.run_for(1'100 * kMillisecond);
        expect_requests_served(proxy, 5);
    }
}

// The same with short deadlines and more clients than are accepted between a few failures: the listener was
// closed at the end of the stop although the queue was not empty.
TEST(SystemCallFailures, ManyClientsInTheAcceptQueueAreAnsweredAtAShortStopWhileAcceptFails) {
    constexpr int kClients = 300;
    constexpr Micros kShortDeadline = 300 * kMillisecond;
    ProcessOptions options;
    options.faults = {"SHIM_ACCEPT_ERRORS=2"};
    for (auto& request_class : options.settings["classes"]) request_class["deadline-us"] = kShortDeadline;
    ProxyProcess proxy(options);
    proxy.open_idle_endpoint_connections();
    proxy.signal(SIGSTOP);
    std::vector<Peer> waiting;
    for (int i = 0; i < kClients; ++i)
        waiting.push_back(proxy.connect_and_request("w" + std::to_string(i), kDeadline));
    proxy.signal(SIGTERM);
    proxy.signal(SIGCONT);
    EXPECT_TRUE(proxy.run_until([&] { return proxy.has_exited(); }, kDeadline));
    int answered = 0;
    for (auto& client : waiting)
        answered += has_row(client) || has_error(client, "53300") || has_error(client, "57P01") ? 1 : 0;
    EXPECT_EQ(answered, kClients);
}

// Clients wait in the accept queue, and accept() fails while the listener closes: they must get an answer all
// the same, because a closed listener resets them.
TEST(SystemCallFailures, ClientsInTheAcceptQueueAreAnsweredAtAStopWhileAcceptFails) {
    ProcessOptions options;
    options.descriptors = kDescriptors;
    options.faults = {"SHIM_ACCEPT_ERRORS=3"};
    ProxyProcess proxy(options);
    proxy.open_idle_endpoint_connections();
    auto busy = proxy.open_busy_sessions(session_limit(kDescriptors));
    const auto rest = integration::request_message("part", "read", kDeadline).substr(20);
    proxy.run_for(100 * kMillisecond);
    std::vector<Peer> waiting;
    for (int i = 0; i < 12; ++i)
        waiting.push_back(proxy.connect_and_request("w" + std::to_string(i), kDeadline));
    proxy.signal(SIGTERM);
    for (std::size_t i = 0; i < 12; ++i) {
        proxy.run_for(100 * kMillisecond);
        for (auto& session : busy) session.send(rest.substr(i, 1));  // still sending: is not displaced
    }
    for (auto& client : waiting) EXPECT_TRUE(has_row(client) || has_error(client, "53300"));
    EXPECT_TRUE(proxy.run_until([&] { return proxy.has_exited(); }, kDeadline));
    EXPECT_TRUE(WIFEXITED(proxy.exit_status()) && WEXITSTATUS(proxy.exit_status()) == 0);
}

}  // namespace
