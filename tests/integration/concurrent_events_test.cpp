// Every ordered pair of events at each point of a request's life: both have happened before the proxy's next
// event loop iteration. After that the members and discovery work normally, and the guarantees must have
// held.
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

// ---- the points of a request's life ----
enum class Point { idle, partly_sent, unread, connecting, waiting, partly_answered };
constexpr Point kPoints[] = {Point::idle,       Point::partly_sent, Point::unread,
                             Point::connecting, Point::waiting,     Point::partly_answered};

const char* name_of(Point point) {
    switch (point) {
        case Point::idle:
            return "idle";
        case Point::partly_sent:
            return "partly sent";
        case Point::unread:
            return "unread";
        case Point::connecting:
            return "connecting";
        case Point::waiting:
            return "waiting";
        case Point::partly_answered:
            return "partly answered";
    }
    return "";
}

void bring_to(ProxyHarness& proxy, Point point, const char* request_class) {
    proxy.establish_long_poll();
    proxy.connect();
    if (point == Point::connecting) proxy.members_accept_startup = false;
    if (point == Point::idle) {
        proxy.complete_first_request(request_class);
        proxy.clock.advance(50'000);
        proxy.run();
        return;
    }
    const auto request = proxy.make_request(request_class);
    if (point == Point::partly_sent) {
        proxy.client.send(request.substr(0, request.size() / 2));
        --proxy.request_count;  // only complete ones count
        proxy.run();
        return;
    }
    proxy.client.send(request);
    if (point == Point::unread) return;
    if (point == Point::connecting) {
        proxy.run();
        return;
    }
    proxy.run_until([&] { return !proxy.queries.empty(); });
    if (point == Point::partly_answered) {
        proxy.begin_answers();
        proxy.run();
    }
}

// ---- the events ----
enum class Event {
    client_closes,
    client_resets,
    client_half_closes,
    client_cancels,
    client_sends_request,
    client_sends_garbage,
    answer,
    partial_answer,
    member_resets,
    member_drains,
    discovery_resets,
    sighup,
    sigterm,
    time_passes
};
constexpr Event kEvents[] = {Event::client_closes,  Event::client_resets,        Event::client_half_closes,
                             Event::client_cancels, Event::client_sends_request, Event::answer,
                             Event::partial_answer, Event::client_sends_garbage, Event::member_resets,
                             Event::member_drains,  Event::discovery_resets,     Event::sighup,
                             Event::sigterm,        Event::time_passes};

const char* name_of(Event event) {
    constexpr const char* kNames[] = {"client closes",
                                      "client resets",
                                      "client half-closes",
                                      "client cancels",
                                      "client sends a request",
                                      "client sends garbage",
                                      "answer",
                                      "partial answer",
                                      "member resets",
                                      "member drains",
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
        case Event::answer:
            proxy.members_accept_startup = true;
            return proxy.answer_all();
        case Event::partial_answer:
            return proxy.begin_answers();
        case Event::member_resets:
            return proxy.reset_members();
        case Event::member_drains:
            return proxy.drain_member();
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

// ---- the guarantees ----
struct Case {
    Point point;
    Event first;
    Event second;
    RequestClass request_class;

    bool has(Event event) const { return first == event || second == event; }
    bool client_disconnects() const { return has(Event::client_closes) || has(Event::client_resets); }
    // Whether what the client sent ends in something that is no request.
    bool client_sends_garbage() const {
        return has(Event::client_sends_garbage) ||
               (point == Point::partly_sent && has(Event::client_sends_request));
    }
    std::string description() const {
        return std::string(request_class.name) + ", " + name_of(point) + ": " + name_of(first) + ", " +
               name_of(second);
    }
};

using Attempts = std::map<std::string, std::vector<ReceivedQuery>>;  // by request id

Attempts attempts_of(const ProxyHarness& proxy) {
    Attempts attempts;
    for (const auto& query : proxy.queries) attempts[query.id].push_back(query);
    return attempts;
}

void check_answers(ProxyHarness& proxy, const Case& test_case, const Attempts& attempts) {
    const int answers = proxy.answer_count();
    EXPECT_LE(answers, proxy.request_count) << "one answer each";
    if (test_case.client_disconnects() || test_case.client_sends_garbage()) return;
    // While the connection is up every request is answered; once it is closed, every forwarded one has been.
    if (!proxy.client.ended) {
        EXPECT_EQ(answers, proxy.request_count) << "every accepted request is answered";
    }
    for (const auto& [id, queries] : attempts)
        EXPECT_LE(std::stoi(id.substr(1)), answers) << id << " was forwarded and never answered";
    // A half-closed client gets its answers, unless SIGTERM came before its requests were read.
    if (test_case.has(Event::client_half_closes) && !test_case.has(Event::sigterm)) {
        EXPECT_EQ(answers, proxy.request_count) << "a half-close is no disconnect";
    }
}

void check_cancellation(const ProxyHarness& proxy, const Case& test_case, Time triggered_at,
                        std::size_t queries_before) {
    for (std::size_t i = queries_before; i < proxy.queries.size(); ++i) {
        const auto& query = proxy.queries[i];
        const bool cancelled =
            test_case.client_disconnects() || (test_case.has(Event::client_cancels) && query.id == "r1");
        EXPECT_TRUE(!cancelled || query.received_at - triggered_at <= kDisconnectTolerance)
            << query.id << " was forwarded after its client had gone";
    }
}

void check_retries(const Case& test_case, const Attempts& attempts) {
    const std::string effect = test_case.request_class.effect;
    for (const auto& [id, queries] : attempts) {
        EXPECT_TRUE(effect != "non_idempotent" || queries.size() == 1) << id << " may have run twice";
        const Micros span = queries.back().received_at - queries.front().received_at;
        EXPECT_TRUE(effect != "idempotency_key" || span < kIdempotencyWindow)
            << id << " was retried after its window";
    }
}

void play(const Case& test_case) {
    SCOPED_TRACE(test_case.description());
    ProxyHarness proxy;
    bring_to(proxy, test_case.point, test_case.request_class.name);
    if (testing::Test::HasFatalFailure()) return;
    trigger(proxy, test_case.first, test_case.request_class.name);
    trigger(proxy, test_case.second, test_case.request_class.name);
    const Time triggered_at = proxy.clock.now();
    proxy.receive();
    const auto queries_before = proxy.queries.size();
    proxy.run();
    // The proxy has read the list: a draining member gets nothing new from here on.
    const auto queries_before_list = proxy.queries.size();
    // Members' connections open late, when clients that have gone must not be served any more.
    proxy.run_for(2 * kDisconnectTolerance);
    proxy.members_accept_startup = true;
    proxy.run_for(kRequestDeadline);
    if (test_case.has(Event::member_drains) && !test_case.has(Event::discovery_resets)) {
        for (auto i = queries_before_list; i < proxy.queries.size(); ++i)
            EXPECT_NE(proxy.queries[i].member, proxy.draining_member)
                << proxy.queries[i].id << " was forwarded to a draining member";
    }
    if (test_case.has(Event::sigterm)) {
        proxy.run_for(kKillTimeout - kRequestDeadline - 2 * kDisconnectTolerance);
        EXPECT_TRUE(proxy.is_stopped()) << "the process has not ended before it is killed";
    }
    const auto attempts = attempts_of(proxy);
    check_answers(proxy, test_case, attempts);
    check_cancellation(proxy, test_case, triggered_at, queries_before);
    check_retries(test_case, attempts);
}

class ConcurrentEvents : public testing::TestWithParam<Point> {};

TEST_P(ConcurrentEvents, AnyTwoKeepTheGuarantees) {
    for (const auto& request_class : kRequestClasses)
        for (const auto first : kEvents)
            for (const auto second : kEvents)
                if (first != second) play({GetParam(), first, second, request_class});
}

INSTANTIATE_TEST_SUITE_P(AtEachPoint, ConcurrentEvents, testing::ValuesIn(kPoints));

}  // namespace
