// A whole proxy on the test's own clock, with one client, two members and discovery played by the test.
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
/// After a client has gone, its requests may still be forwarded for so long.
constexpr Micros kDisconnectTolerance = 100'000;
/// From SIGTERM to the moment in which the platform kills the process.
constexpr Micros kKillTimeout = kRequestDeadline + 700'000;
constexpr int kDefaultDescriptors = 256;

/// A request class of the deploy file; the tests' classes differ in their effect alone.
struct RequestClass {
    const char* name;
    const char* effect;
};
constexpr RequestClass kRequestClasses[] = {
    {"read", "read_like"}, {"keyed_write", "idempotency_key"}, {"plain_write", "non_idempotent"}};

/// The settings of a deploy file with these classes, in this order.
nlohmann::json make_settings(const std::vector<RequestClass>& classes = {std::begin(kRequestClasses),
                                                                         std::end(kRequestClasses)});

/// A client's start-up message.
std::string startup_message();

/// A query that a member has received.
struct ReceivedQuery {
    int member;
    std::string id;
    Time received_at;
    Micros time_left;  // until the deadline, as the member is told
};

class ProxyHarness {
public:
    explicit ProxyHarness(nlohmann::json settings = make_settings(), int descriptors = kDefaultDescriptors,
                          bool members_known = true);

    // ---- the client ----
    /// Connects `client` and waits until it may send queries.
    void connect();
    /// Sends a request with the next id: r1, r2 and so on.
    void send_request(const char* request_class);
    /// The bytes of a request with the next id, for the test to send.
    std::string make_request(const char* request_class, Micros deadline = kRequestDeadline);
    /// Sends the client's first request and has it answered.
    void complete_first_request(const char* request_class);
    /// A cancel request, on a connection of its own.
    void cancel();

    // ---- members ----
    /// Answers all queries that have arrived.
    void answer_all();
    /// Answers the query with this id.
    void answer(const std::string& id);
    /// Sends the first half of each answer.
    void begin_answers();
    void reset_members();
    /// Drains the member that received the last query, or the first member.
    void drain_member();

    // ---- discovery ----
    void reset_discovery();
    /// Lets the first poll end and waits until a long poll is pending.
    void establish_long_poll();

    // ---- time ----
    /// One iteration of the proxy's event loop; then all parties read.
    void run_once();
    void run(int iterations = 12);
    template <class Condition>
    void run_until(Condition condition) {
        ASSERT_TRUE(loopback::run_until([this] { run_once(); }, condition));
    }
    /// Advances the clock in small steps; members and discovery answer what arrives.
    void run_for(Micros duration, Micros step = 10'000);
    /// All parties read what has arrived.
    void receive();

    // ---- observations ----
    bool is_stopped() const { return server_.is_stopped(); }
    std::uint16_t port() const { return server_.port(); }
    /// Complete answers that the client has received.
    int answer_count();

    loopback::ManualClock clock;
    loopback::Peer client;
    int request_count = 0;
    int draining_member = -1;
    bool members_accept_startup = true;
    std::vector<ReceivedQuery> queries;

private:
    int ready_count();
    bool long_poll_pending() const;
    static nlohmann::json make_entry(std::uint16_t port, const char* phase);
    sloestack::config::Config read_config();
    void receive_from_member(int number, loopback::Peer& peer);
    void receive_query(int member, loopback::Peer& peer, const sloestack::pgwire::Message& message);
    void serve_discovery();
    void send_endpoint_list();

    nlohmann::json settings_;
    int descriptors_;
    bool members_known_;
    std::vector<loopback::Listener> members_{2};
    loopback::Listener discovery_;
    std::vector<nlohmann::json> entries_;
    std::map<loopback::Peer*, std::string> pending_queries_;  // their ids
    std::set<loopback::Peer*> started_peers_;                 // members' connections past the start-up
    std::pair<std::uint32_t, std::uint32_t> cancel_key_;
    loopback::Peer cancelling_client_;
    int list_revision_ = 1;
    int sent_revision_ = 0;
    sloestack::server::Server server_;
};

}  // namespace integration
