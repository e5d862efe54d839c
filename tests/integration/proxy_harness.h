// Runs a complete proxy with a clock that the test advances. The test acts as one client, two endpoints and
// discovery.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "emulated_peers.h"
#include "loopback.h"
#include "server/server.h"

namespace integration {

class ProxyHarness : public EmulatedPeers {
public:
    explicit ProxyHarness(nlohmann::json settings = make_settings(), int descriptors = kDefaultDescriptors,
                          bool endpoints_known = true);

    // ---- client ----
    /// Connects `client` and waits for its first ReadyForQuery.
    void connect();
    /// Sends a request with the next id: r1, r2 and so on.
    void send_request(const char* request_class);
    /// Returns the bytes of a request with the next id, for the test to send.
    std::string make_request(const char* request_class, Micros deadline = kRequestDeadline);
    /// Sends the client's first request and waits for its response.
    void complete_first_request(const char* request_class);
    /// Sends a CancelRequest for the client's session, on a separate connection.
    void cancel();
    /// Returns the key of the client's session.
    std::pair<std::uint32_t, std::uint32_t> cancel_key() const { return cancel_key_; }

    // ---- discovery ----
    /// Responds to polls until a long poll is pending.
    void establish_long_poll();

    // ---- time ----
    /// Runs one event-loop iteration of the proxy; then the test's connections read.
    void run_once();
    void run(int iterations = 12);
    template <class Condition>
    void run_until(Condition condition) {
        ASSERT_TRUE(loopback::run_until([this] { run_once(); }, condition));
    }
    /// Advances the clock in steps of `step`; endpoints and discovery respond to what arrives.
    void run_for(Micros duration, Micros step = 10'000);
    /// The test's connections read what has arrived.
    void receive();

    // ---- observations ----
    bool is_stopped() const { return server_.is_stopped(); }
    std::uint16_t port() const { return server_.port(); }
    /// Returns the number of complete responses that the client has received.
    int response_count() { return count_received().responses; }

    loopback::ManualClock clock;
    loopback::Peer client;
    int request_count = 0;

private:
    /// What the client has received: ReadyForQuery messages and complete responses.
    struct ReceivedCounts {
        int ready = 0;
        int responses = 0;
    };
    ReceivedCounts count_received();
    sloestack::config::Config read_config();

    nlohmann::json settings_;
    int descriptors_;
    bool endpoints_known_;
    std::pair<std::uint32_t, std::uint32_t> cancel_key_;
    loopback::Peer cancelling_client_;
    sloestack::server::Server server_;
};

}  // namespace integration
