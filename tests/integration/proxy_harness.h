// Runs a complete proxy with a clock that the test advances. The test acts as one client, two endpoints and
// discovery.
#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "loopback.h"
#include "pgwire/frame.h"
#include "server/server.h"

namespace integration {

using sloestack::Micros;
using sloestack::Time;

constexpr Micros kRequestDeadline = 2'000'000;
constexpr Micros kIdempotencyWindow = 600'000;
/// For this long after a client has disconnected, its requests may still be forwarded.
constexpr Micros kDisconnectTolerance = 100'000;
/// Time from SIGTERM until the platform kills the process.
constexpr Micros kKillTimeout = kRequestDeadline + 700'000;
constexpr int kDefaultDescriptors = 256;

/// A request class of the deploy file. The tests' classes differ only in their effect.
struct RequestClass {
    const char* name;
    const char* effect;
};
constexpr RequestClass kRequestClasses[] = {
    {"read", "read_like"}, {"keyed_write", "idempotency_key"}, {"plain_write", "non_idempotent"}};

/// Returns the settings of a deploy file with these classes, in this order.
nlohmann::json make_settings(const std::vector<RequestClass>& classes = {std::begin(kRequestClasses),
                                                                         std::end(kRequestClasses)});

/// Returns the start-up message of a client.
std::string startup_message();

/// A query that an endpoint has received.
struct ReceivedQuery {
    int endpoint;
    std::string id;
    Time received_at;
    Micros time_left;  // until the deadline, as stated in the query
};

class ProxyHarness {
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

    // ---- endpoints ----
    /// Responds to all queries that have arrived.
    void respond_to_all();
    /// Responds to the query with this id, if it has arrived.
    void respond_to(const std::string& id);
    /// Sends the first message of each pending response (RowDescription).
    void begin_responses();
    void reset_endpoints();
    /// Drains the endpoint that received the last query, or the first endpoint if none has received one.
    void drain_endpoint();

    // ---- discovery ----
    void reset_discovery();
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
    int response_count();

    loopback::ManualClock clock;
    loopback::Peer client;
    int request_count = 0;
    int draining_endpoint = -1;
    bool endpoints_accept_startup = true;
    std::vector<ReceivedQuery> queries;

private:
    int ready_count();
    bool long_poll_pending() const;
    static nlohmann::json make_entry(std::uint16_t port, const char* phase);
    sloestack::config::Config read_config();
    void receive_from_endpoint(int number, loopback::Peer& peer);
    void receive_query(int endpoint, loopback::Peer& peer, const sloestack::pgwire::Message& message);
    void serve_discovery();
    void send_endpoint_list();

    nlohmann::json settings_;
    int descriptors_;
    bool endpoints_known_;
    std::vector<loopback::Listener> endpoints_{2};
    loopback::Listener discovery_;
    std::vector<nlohmann::json> entries_;
    std::map<loopback::Peer*, std::string> pending_queries_;  // request ids by endpoint connection
    std::set<loopback::Peer*> started_peers_;                 // endpoint connections after their start-up
    std::pair<std::uint32_t, std::uint32_t> cancel_key_;
    loopback::Peer cancelling_client_;
    int list_revision_ = 1;
    int sent_revision_ = 0;
    sloestack::server::Server server_;
};

}  // namespace integration
