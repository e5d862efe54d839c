// Triggers every ordered pair of events in each stage of a request. Both events happen before the proxy's
// next event-loop iteration; after that the endpoints and discovery work normally. Fails if the pair breaks
// one of the guarantees below: one response per request, no forwarding after a disconnect, no unsafe retry.
#include <gtest/gtest.h>

#include <csignal>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "proxy_harness.h"

namespace {

using namespace integration;

constexpr std::size_t kGarbageBytes = 40'000;

// ---- stages of a request ----
enum class Stage { idle, partly_sent, unread, connecting, awaiting_response, response_begun };
constexpr Stage kStages[] = {Stage::idle,       Stage::partly_sent,       Stage::unread,
                             Stage::connecting, Stage::awaiting_response, Stage::response_begun};

const char* name_of(Stage stage) {
    switch (stage) {
        case Stage::idle:
            return "idle";
        case Stage::partly_sent:
            return "partly sent";
        case Stage::unread:
            return "sent and unread";
        case Stage::connecting:
            return "connecting to the endpoint";
        case Stage::awaiting_response:
            return "waiting for the response";
        case Stage::response_begun:
            return "response begun";
    }
    return "";
}

void advance_to(ProxyHarness& proxy, Stage stage, const char* request_class) {
    proxy.establish_long_poll();
    proxy.connect();
    if (stage == Stage::connecting) proxy.endpoints_accept_startup = false;
    if (stage == Stage::idle) {
        proxy.complete_first_request(request_class);
        proxy.clock.advance(50'000);
        proxy.run();
        return;
    }
    const auto request = proxy.make_request(request_class);
    if (stage == Stage::partly_sent) {
        proxy.client.send(request.substr(0, request.size() / 2));
        --proxy.request_count;  // counts complete requests only
        proxy.run();
        return;
    }
    proxy.client.send(request);
    if (stage == Stage::unread) return;
    if (stage == Stage::connecting) {
        proxy.run();
        return;
    }
    proxy.run_until([&] { return !proxy.queries.empty(); });
    if (stage == Stage::response_begun) {
        proxy.begin_responses();
        proxy.run();
    }
}

// ---- events ----
enum class Event {
    client_closes,
    client_resets,
    client_half_closes,
    client_cancels,
    client_sends_request,
    client_sends_garbage,
    response,
    partial_response,
    endpoint_resets,
    endpoint_drains,
    discovery_resets,
    sighup,
    sigterm,
    time_passes
};
constexpr Event kEvents[] = {Event::client_closes,    Event::client_resets,        Event::client_half_closes,
                             Event::client_cancels,   Event::client_sends_request, Event::response,
                             Event::partial_response, Event::client_sends_garbage, Event::endpoint_resets,
                             Event::endpoint_drains,  Event::discovery_resets,     Event::sighup,
                             Event::sigterm,          Event::time_passes};

const char* name_of(Event event) {
    constexpr const char* kNames[] = {"client closes",
                                      "client resets",
                                      "client half-closes",
                                      "client cancels",
                                      "client sends a request",
                                      "client sends garbage",
                                      "response",
                                      "partial response",
                                      "endpoint resets",
                                      "endpoint drains",
                                      "discovery resets",
                                      "SIGHUP",
                                      "SIGTERM",
                                      "time passes"};
    return kNames[static_cast<std::size_t>(event)];
}

void trigger(ProxyHarness& proxy, Event event, const char* request_class) {
    switch (event) {
        case Event::client_closes:
            return proxy.client.close();
        case Event::client_resets:
            return proxy.client.reset();
        case Event::client_half_closes:
            return proxy.client.half_close();
        case Event::client_cancels:
            return proxy.cancel();
        case Event::client_sends_request:
            return proxy.send_request(request_class);
        case Event::client_sends_garbage:
            proxy.client.send(std::string(kGarbageBytes, '\xff'));
            return;
        case Event::response:
            proxy.endpoints_accept_startup = true;
            return proxy.respond_to_all();
        case Event::partial_response:
            return proxy.begin_responses();
        case Event::endpoint_resets:
            return proxy.reset_endpoints();
        case Event::endpoint_drains:
            return proxy.drain_endpoint();
        case Event::discovery_resets:
            return proxy.reset_discovery();
        case Event::sighup:
            raise(SIGHUP);
            return;
        case Event::sigterm:
            raise(SIGTERM);
            return;
        case Event::time_passes:
            proxy.clock.advance(kRequestDeadline / 2);
            return;
    }
}

// ---- guarantees ----
struct TestCase {
    Stage stage;
    Event first;
    Event second;
    RequestClass request_class;

    bool has(Event event) const { return first == event || second == event; }
    bool client_disconnects() const { return has(Event::client_closes) || has(Event::client_resets); }
    // Whether the client's input ends in bytes that are not a valid request.
    bool client_sends_garbage() const {
        return has(Event::client_sends_garbage) ||
               (stage == Stage::partly_sent && has(Event::client_sends_request));
    }
    std::string description() const {
        return std::string(request_class.name) + ", " + name_of(stage) + ": " + name_of(first) + ", " +
               name_of(second);
    }
};

using Attempts = std::map<std::string, std::vector<ReceivedQuery>>;  // by request id

Attempts attempts_of(const ProxyHarness& proxy) {
    Attempts attempts;
    for (const auto& query : proxy.queries) attempts[query.id].push_back(query);
    return attempts;
}

void check_responses(ProxyHarness& proxy, const TestCase& test_case, const Attempts& attempts) {
    const int responses = proxy.response_count();
    EXPECT_LE(responses, proxy.request_count) << "a request got more than one response";
    if (test_case.client_disconnects() || test_case.client_sends_garbage()) return;
    // While the connection is open, every request has got its response; once it is closed, every forwarded
    // one has.
    if (!proxy.client.ended) {
        EXPECT_EQ(responses, proxy.request_count) << "an accepted request got no response";
    }
    for (const auto& [id, queries] : attempts)
        EXPECT_LE(std::stoi(id.substr(1)), responses) << id << " was forwarded and got no response";
    // A half-closed client gets its responses, unless SIGTERM arrived before the proxy read its requests.
    if (test_case.has(Event::client_half_closes) && !test_case.has(Event::sigterm)) {
        EXPECT_EQ(responses, proxy.request_count) << "a half-close was treated as a disconnect";
    }
}

void check_cancellation(const ProxyHarness& proxy, const TestCase& test_case, Time events_at,
                        std::size_t queries_before) {
    for (std::size_t i = queries_before; i < proxy.queries.size(); ++i) {
        const auto& query = proxy.queries[i];
        const bool cancelled =
            test_case.client_disconnects() || (test_case.has(Event::client_cancels) && query.id == "r1");
        EXPECT_TRUE(!cancelled || query.received_at - events_at <= kDisconnectTolerance)
            << query.id << " was forwarded after its client had disconnected or cancelled it";
    }
}

void check_retries(const TestCase& test_case, const Attempts& attempts) {
    const std::string effect = test_case.request_class.effect;
    for (const auto& [id, queries] : attempts) {
        EXPECT_TRUE(effect != "non_idempotent" || queries.size() == 1) << id << " may have run twice";
        const Micros span = queries.back().received_at - queries.front().received_at;
        EXPECT_TRUE(effect != "idempotency_key" || span < kIdempotencyWindow)
            << id << " was retried after its idempotency window";
    }
}

void play(const TestCase& test_case) {
    SCOPED_TRACE(test_case.description());
    ProxyHarness proxy;
    advance_to(proxy, test_case.stage, test_case.request_class.name);
    if (testing::Test::HasFatalFailure()) return;
    trigger(proxy, test_case.first, test_case.request_class.name);
    trigger(proxy, test_case.second, test_case.request_class.name);
    const Time events_at = proxy.clock.now();
    proxy.receive();
    const auto queries_before = proxy.queries.size();
    proxy.run();
    // The proxy has read the list: a draining endpoint must get no new query from here on.
    const auto queries_before_list = proxy.queries.size();
    // Connections to endpoints open only now, when requests of disconnected clients must not be forwarded any
    // more.
    proxy.run_for(2 * kDisconnectTolerance);
    proxy.endpoints_accept_startup = true;
    proxy.run_for(kRequestDeadline);
    if (test_case.has(Event::endpoint_drains) && !test_case.has(Event::discovery_resets)) {
        for (auto i = queries_before_list; i < proxy.queries.size(); ++i)
            EXPECT_NE(proxy.queries[i].endpoint, proxy.draining_endpoint)
                << proxy.queries[i].id << " was forwarded to a draining endpoint";
    }
    if (test_case.has(Event::sigterm)) {
        proxy.run_for(kKillTimeout - kRequestDeadline - 2 * kDisconnectTolerance);
        EXPECT_TRUE(proxy.is_stopped()) << "the process has not ended within the kill time-out";
    }
    const auto attempts = attempts_of(proxy);
    check_responses(proxy, test_case, attempts);
    check_cancellation(proxy, test_case, events_at, queries_before);
    check_retries(test_case, attempts);
}

class ConcurrentEvents : public testing::TestWithParam<Stage> {};

TEST_P(ConcurrentEvents, EveryPairKeepsTheGuarantees) {
    for (const auto& request_class : kRequestClasses)
        for (const auto first : kEvents)
            for (const auto second : kEvents)
                if (first != second) play({GetParam(), first, second, request_class});
}

INSTANTIATE_TEST_SUITE_P(InEachStage, ConcurrentEvents, testing::ValuesIn(kStages));

}  // namespace
