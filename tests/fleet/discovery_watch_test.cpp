// The discovery watch on loopback sockets and a manual clock. However polls fail, a change must be received
// within the six seconds that operators are promised, and an incomplete response must never be used.
#include "discovery/discovery_watch.h"

#include <optional>
#include <vector>

#include "discovery_poll_schedule.h"
#include "loopback.h"

namespace {

using namespace sloestack;
using loopback::Listener;
using sloestack::decision::EndpointListKind;
using sloestack::decision::PollBackoff;

constexpr double kMaxRandomDraw = 0.999'999'9;

sloestack::decision::Settings settings(int routers) {
    sloestack::decision::Settings out;
    out.router_count = routers;
    out.discovery_is_polled = true;
    return out;
}

std::string list(int revision, const char* phase, bool complete = true) {
    return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
           R"(,"members":[{"id":"s-1","host_port":"127.0.0.1:1","locality":"a","cell":0,"phase":")" + phase +
           R"(","size":1.0,"up_since_ms":0}]})";
}
std::string no_changes(int revision) {
    return R"({"revision":)" + std::to_string(revision) + R"(,"complete":false,"members":[]})";
}
std::string response(const std::string& body, const char* status = "200 OK") {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// The ways in which a poll can fail.
enum class Failure {
    no_response,
    error_status,
    invalid_json,
    older_list,
    truncated,
    no_length,
    unfinished_chunk,
    unfinished_head,
    empty_list
};
constexpr Failure kFailures[] = {Failure::no_response,      Failure::error_status,    Failure::invalid_json,
                                 Failure::older_list,       Failure::truncated,       Failure::no_length,
                                 Failure::unfinished_chunk, Failure::unfinished_head, Failure::empty_list};

class WatchHarness final : public traffic::EndpointListListener {
public:
    explicit WatchHarness(int routers)
        : backoff_(settings(routers)),
          watch_(loop_, deadlines_, loopback::address(discovery_.port()), "d", list_parser_, std::nullopt,
                 *this, sloestack::decision::PollTimeouts(settings(routers), 7)) {
        watch_.start();
    }

    void on_poll_failed(const sloestack::decision::FailedPoll& poll) override {
        ++failures;
        // As the decision module does, with the random draw that gives the longest delay.
        retry_.set(deadlines_, clock.now() + backoff_.delay_after_failure(poll, kMaxRandomDraw),
                   [this] { watch_.start(); });
    }
    void on_endpoint_list(EndpointListKind, std::vector<traffic::ListedEndpoint> entries) override {
        backoff_.on_list_received();
        for (const auto& entry : entries) {
            state = entry.endpoint.state;
            notified_at = clock.now();
        }
    }

    // Returns the next poll's method and target, and advances the clock as far as needed. Returns an empty
    // string if no deadline is set, or if no poll has been sent after 100 deadlines.
    std::string next_poll() {
        for (int deadline = 0; deadline < 100; ++deadline) {
            for (int i = 0; i < 20; ++i)
                if (const auto poll = take_poll(); !poll.empty()) return poll;
            const auto next = deadlines_.next();
            if (!next) return {};
            clock.time = std::max(clock.time, *next);
            deadlines_.run_due();
        }
        return {};
    }
    // Sends a response, or a part of one, to the poll that next_poll() returned last.
    void respond(const std::string& bytes) {
        polling_peer_->send(bytes);
        run_once();
    }
    void fail(Failure failure) {
        switch (failure) {
            case Failure::no_response:
                return;
            case Failure::error_status:
                return respond(response("busy", "503 Busy"));
            case Failure::invalid_json:
                return respond(response("<html>not a list</html>"));
            case Failure::older_list:
                return respond(response(list(1, "in_service")));
            case Failure::empty_list:
                return respond(response(R"({"revision":9,"complete":true,"members":[]})"));
            case Failure::truncated: {
                const auto whole = response(list(9, "terminating"));
                respond(whole.substr(0, whole.size() / 2));
                return polling_peer_->reset();
            }
            case Failure::no_length:  // the list is complete, but a reset is not a valid end of the body
                respond("HTTP/1.1 200 OK\r\n\r\n" + list(9, "terminating"));
                return polling_peer_->reset();
            case Failure::unfinished_chunk:
                return respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n{\"revision\"");
            case Failure::unfinished_head:
                return respond("HTTP/1.1 200 O");
        }
    }
    void run_once() {
        loop_.run_once(0);
        loop_.end_iteration();
        discovery_.receive();
    }
    template <class Condition>
    bool run_until(Condition condition) {
        return loopback::run_until([this] { run_once(); }, condition);
    }

    loopback::ManualClock clock;
    int failures = 0;
    std::optional<sloestack::decision::EndpointState> state;  // of the only endpoint, as last reported
    Time notified_at = 0;                                     // when it was last reported
    Listener discovery_;
    discovery::DiscoveryWatch& watch() { return watch_; }

private:
    std::string take_poll() {
        run_once();
        for (auto& peer : discovery_.peers) {
            const auto end = peer.received.find("\r\n\r\n");
            if (end == std::string::npos) continue;
            const auto method_and_target = peer.received.substr(0, peer.received.find(" HTTP"));
            peer.received.erase(0, end + 4);
            polling_peer_ = &peer;
            return method_and_target;
        }
        return {};
    }

    net::Loop loop_;
    Deadlines deadlines_{clock};
    PollBackoff backoff_;
    discovery::EndpointListParser list_parser_{{"a"}};
    discovery::DiscoveryWatch watch_;
    Deadline retry_;
    loopback::Peer* polling_peer_ = nullptr;
};

// Runs the watch until a long poll of full length is pending, to which discovery never responds.
void run_until_long_poll(WatchHarness& harness) {
    EXPECT_EQ(harness.next_poll(), "GET /registry/instances");
    harness.respond(response(list(5, "in_service")));
    ASSERT_TRUE(harness.run_until([&] { return harness.state.has_value(); }));
    EXPECT_NE(harness.next_poll().find("after=5&wait_ms="), std::string::npos);
    harness.respond(response(no_changes(5)));
    EXPECT_NE(harness.next_poll().find("after=5&wait_ms="), std::string::npos);
}

void send_drain(WatchHarness& harness, Time changed_at, const std::string& what) {
    harness.respond(response(list(9, "terminating", false)));
    EXPECT_TRUE(harness.run_until([&] {
        return harness.state == sloestack::decision::EndpointState::draining;
    })) << what;
    EXPECT_LT(harness.notified_at - changed_at, PollBackoff::kNotificationBoundUs) << what;
}

// An endpoint begins to drain just as discovery stops responding.
TEST(DiscoveryWatch, ReceivesAChangeInTimeAfterALongPollWithoutAResponse) {
    for (const int routers : {1, 3, 30, 166, 300, 1000}) {
        WatchHarness harness(routers);
        run_until_long_poll(harness);
        const Time changed_at = harness.clock.now();
        const auto poll = harness.next_poll();
        EXPECT_NE(poll.find("after=5&wait_ms=1"), std::string::npos) << poll << ": no immediate poll";
        EXPECT_EQ(poll.back(), '1') << poll;
        send_drain(harness, changed_at, std::to_string(routers));
    }
}

// After a long poll without a response the next poll fails too, in each way and as late as it can.
TEST(DiscoveryWatch, ReceivesAChangeInTimeAfterASecondFailureIfFewRoutersShareDiscovery) {
    for (const int routers : {1, 3, 30, 166})
        for (const auto failure : kFailures) {
            const auto what =
                std::to_string(routers) + " routers, failure " + std::to_string(static_cast<int>(failure));
            WatchHarness harness(routers);
            run_until_long_poll(harness);
            const Time changed_at = harness.clock.now();
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            harness.fail(failure);
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            EXPECT_EQ(harness.state, sloestack::decision::EndpointState::ready)
                << what << ": the old list must stay in force";
            EXPECT_EQ(harness.failures, 1) << what;
            send_drain(harness, changed_at, what);
        }
}

// Polls have failed for so long that the backoff is at its
// maximum; discovery recovers while a poll is in flight.
TEST(DiscoveryWatch, ReceivesTheFirstListInTimeAfterALongOutage) {
    for (const int routers : {3, 300, 1000})
        for (const auto failure : kFailures) {
            const auto what =
                std::to_string(routers) + " routers, failure " + std::to_string(static_cast<int>(failure));
            WatchHarness harness(routers);
            run_until_long_poll(harness);
            for (int i = 0; i < 8; ++i) {
                ASSERT_FALSE(harness.next_poll().empty()) << what;
                harness.fail(failure);
            }
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            const Time recovered_at = harness.clock.now();
            harness.fail(failure);
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            EXPECT_EQ(harness.state, sloestack::decision::EndpointState::ready) << what;
            send_drain(harness, recovered_at, what);
        }
}

// The time to open a connection is part of the hold of the long poll, not added to it.
TEST(DiscoveryWatch, AResponseThatClosesItsConnectionAddsNoDelay) {
    WatchHarness harness(3);
    run_until_long_poll(harness);
    const auto body = no_changes(5);
    harness.respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    ASSERT_NE(harness.next_poll().find("after=5&wait_ms=2000"), std::string::npos);
    const Time changed_at = harness.clock.now();
    ASSERT_FALSE(harness.next_poll().empty());
    send_drain(harness, changed_at, "on a connection of its own");
}

// Discovery's address changes while a poll is in flight. Later responses from the old address are ignored,
// and the list from the new address is accepted although its revision is lower.
TEST(DiscoveryWatch, IgnoresResponsesOfTheOldAddressAfterAMove) {
    WatchHarness harness(3);
    run_until_long_poll(harness);
    Listener other;
    auto& old_peer = harness.discovery_.peers.back();
    old_peer.send(response(list(8, "terminated")));  // arrives before the move, but may not have been read
    harness.watch().change_address(loopback::address(other.port()), "other");
    ASSERT_TRUE(harness.run_until([&] {
        other.receive();
        return !other.peers.empty() && !other.peers.front().received.empty();
    }));
    EXPECT_EQ(other.peers.front().received.find("GET /registry/instances HTTP"), 0u) << "the complete list";
    EXPECT_EQ(harness.state, sloestack::decision::EndpointState::ready);
    other.peers.front().send(response(list(2, "in_service")));
    ASSERT_TRUE(harness.run_until([&] {
        other.receive();
        return other.peers.front().received.find("after=2") != std::string::npos;
    }));
    EXPECT_EQ(harness.failures, 0);
}

// Discovery reports `phase`, then moves to an address whose list is older and does not have that change.
void expect_kept_after_move(const char* phase, sloestack::decision::EndpointState state) {
    SCOPED_TRACE(phase);
    WatchHarness harness(3);
    run_until_long_poll(harness);
    harness.respond(response(list(8, phase, false)));
    ASSERT_TRUE(harness.run_until([&] { return harness.state == state; }));
    Listener other;
    const auto send_list = [&](const std::string& list_json, const char* next) {
        other.peers.front().received.clear();
        other.peers.front().send(response(list_json));
        return harness.run_until([&] {
            other.receive();
            return other.peers.front().received.find(next) != std::string::npos;
        });
    };
    harness.watch().change_address(loopback::address(other.port()), "other");
    ASSERT_TRUE(harness.run_until([&] {
        other.receive();
        return !other.peers.empty() && !other.peers.front().received.empty();
    }));
    ASSERT_TRUE(send_list(list(2, "in_service"), "after=2&"));
    EXPECT_EQ(harness.state, sloestack::decision::EndpointState::draining);
    ASSERT_TRUE(send_list(list(3, "in_service", false), "after=3&"));
    EXPECT_EQ(harness.state, sloestack::decision::EndpointState::ready) << "a change is reported";
}

// A drain reported by the old address is kept while the list of the new address has a lower revision.
TEST(DiscoveryWatch, KeepsADrainAfterAMoveToAnOlderList) {
    expect_kept_after_move("terminating", sloestack::decision::EndpointState::draining);
}

// An endpoint that the old address had removed got requests again after a move to an older list.
TEST(DiscoveryWatch, KeepsARemovalAfterAMoveToAnOlderList) {
    expect_kept_after_move("terminated", sloestack::decision::EndpointState::removed);
}

// Discovery moves twice; the poll at the second address is still in flight at the second move.
TEST(DiscoveryWatch, UsesTheLastAddressAfterTwoMoves) {
    WatchHarness harness(3);
    run_until_long_poll(harness);
    Listener second;
    Listener third;
    harness.watch().change_address(loopback::address(second.port()), "second");
    harness.run_once();
    harness.watch().change_address(loopback::address(third.port()), "third");
    ASSERT_TRUE(harness.run_until([&] {
        third.receive();
        return !third.peers.empty() && !third.peers.front().received.empty();
    }));
    third.peers.front().send(response(list(1, "terminating")));
    EXPECT_TRUE(
        harness.run_until([&] { return harness.state == sloestack::decision::EndpointState::draining; }));
}

}  // namespace
