// Endpoints that write a response twice.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr Micros kDeadline = 2'000 * kMillisecond;
constexpr int kClients = 8;
constexpr int kRounds = 120;
constexpr std::size_t kDuplicateInterval = 10;  // in responses

// The kernel of an endpoint without TCP_NODELAY held the copy back until the proxy's next query acknowledged
// the response, and the copy was served as the response to that query.
TEST(DuplicateResponse, HeldBackByTheEndpointsKernelIsNotServedToAnotherRequest) {
    ProxyProcess proxy;
    proxy.endpoints_send_small_writes_at_once = false;
    proxy.endpoints_hang = true;
    std::size_t response_count = 0;
    const auto respond = [&] {
        for (const auto& id : proxy.pending_ids())
            if (++response_count % kDuplicateInterval == 0)
                proxy.respond_twice_to(id);
            else
                proxy.respond_to(id);
    };
    std::vector<Peer> clients;
    for (int i = 0; i < kClients; ++i) clients.push_back(proxy.connect());
    for (auto& client : clients) client.send(integration::startup_message());
    for (int round = 0; round < kRounds; ++round) {
        for (int i = 0; i < kClients; ++i) {
            const auto id = std::to_string(round) + "-" + std::to_string(i);
            clients[static_cast<std::size_t>(i)].send(integration::request_message(id, "read", kDeadline));
        }
        const auto all_served = [&] {
            respond();
            for (auto& client : clients)
                if (values(client).size() <= static_cast<std::size_t>(round)) return false;
            return true;
        };
        ASSERT_TRUE(proxy.run_until(all_served, kDeadline)) << round;
        for (int i = 0; i < kClients; ++i) {
            const auto id = std::to_string(round) + "-" + std::to_string(i);
            ASSERT_EQ(values(clients[static_cast<std::size_t>(i)]).back(), id + "!");
        }
        proxy.run_for(20 * kMillisecond);
    }
}

}  // namespace
