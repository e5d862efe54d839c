// The discovery watch over loopback sockets, on the test's own clock: whatever way polls fail, a change is
// known within the six seconds that operators are promised, and an incomplete answer is never used.
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

constexpr double kLargestDraw = 0.999'999'9;

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

// How a poll can fail.
enum class Failure { silence, refusal, garbage, older_list, half, no_length, endless, byte_by_byte, no_list };
constexpr Failure kFailures[] = {Failure::silence,    Failure::refusal,      Failure::garbage,
                                 Failure::older_list, Failure::half,         Failure::no_length,
                                 Failure::endless,    Failure::byte_by_byte, Failure::no_list};

class WatchHarness final : public traffic::EndpointListListener {
public:
    explicit WatchHarness(int routers)
        : backoff_(settings(routers)),
          watch_(loop_, deadlines_, loopback::address(discovery_.port()), "d", lists_, std::nullopt, *this,
                 sloestack::decision::PollTimeouts(settings(routers), 7)) {
        watch_.start();
    }

    void on_poll_failed(const sloestack::decision::FailedPoll& poll) override {
        ++failures;
        // As the decision module does, with the longest draw.
        retry_.set(deadlines_, clock.now() + backoff_.delay_after_failure(poll, kLargestDraw),
                   [this] { watch_.start(); });
    }
    void on_endpoint_list(EndpointListKind, std::vector<traffic::ListedEndpoint> entries) override {
        backoff_.on_list_received();
        for (const auto& entry : entries) {
            state = entry.endpoint.state;
            notified_at = clock.now();
        }
    }

    // The next poll, with the clock advanced as far as needed; empty where the watch has nothing scheduled.
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
    // Answers the poll returned last.
    void answer(const std::string& bytes) {
        polling_peer_->send(bytes);
        run_once();
    }
    void fail(Failure failure) {
        switch (failure) {
            case Failure::silence:
                return;
            case Failure::refusal:
                return answer(response("busy", "503 Busy"));
            case Failure::garbage:
                return answer(response("<html>not a list</html>"));
            case Failure::older_list:
                return answer(response(list(1, "in_service")));
            case Failure::no_list:
                return answer(response(R"({"revision":9,"complete":true,"members":[]})"));
            case Failure::half: {
                const auto all = response(list(9, "terminating"));
                answer(all.substr(0, all.size() / 2));
                return polling_peer_->reset();
            }
            case Failure::no_length:  // complete as it stands, but a reset does not end a body
                answer("HTTP/1.1 200 OK\r\n\r\n" + list(9, "terminating"));
                return polling_peer_->reset();
            case Failure::endless:
                return answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n{\"revision\"");
            case Failure::byte_by_byte:
                return answer("HTTP/1.1 200 O");
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
    std::optional<sloestack::decision::EndpointState> state;  // of the only member, as last reported
    Time notified_at = 0;
    Listener discovery_;
    discovery::DiscoveryWatch& watch() { return watch_; }

private:
    std::string take_poll() {
        run_once();
        for (auto& peer : discovery_.peers) {
            const auto end = peer.received.find("\r\n\r\n");
            if (end == std::string::npos) continue;
            const auto call = peer.received.substr(0, peer.received.find(" HTTP"));
            peer.received.erase(0, end + 4);
            polling_peer_ = &peer;
            return call;
        }
        return {};
    }

    net::Loop loop_;
    Deadlines deadlines_{clock};
    PollBackoff backoff_;
    discovery::EndpointListParser lists_{{"a"}};
    discovery::DiscoveryWatch watch_;
    Deadline retry_;
    loopback::Peer* polling_peer_ = nullptr;
};

// Up to a long poll of full length, which discovery will never answer.
void bring_to_long_poll(WatchHarness& harness) {
    EXPECT_EQ(harness.next_poll(), "GET /registry/instances");
    harness.answer(response(list(5, "in_service")));
    ASSERT_TRUE(harness.run_until([&] { return harness.state.has_value(); }));
    EXPECT_NE(harness.next_poll().find("after=5&wait_ms="), std::string::npos);
    harness.answer(response(no_changes(5)));
    EXPECT_NE(harness.next_poll().find("after=5&wait_ms="), std::string::npos);
}

void send_drain(WatchHarness& harness, Time changed_at, const std::string& what) {
    harness.answer(response(list(9, "terminating", false)));
    EXPECT_TRUE(harness.run_until([&] {
        return harness.state == sloestack::decision::EndpointState::draining;
    })) << what;
    EXPECT_LT(harness.notified_at - changed_at, PollBackoff::kNotificationBoundUs) << what;
}

// A member begins to drain just as discovery stops answering.
TEST(DiscoveryWatch, AChangeMissedByASilentPollIsKnownInTime) {
    for (const int routers : {1, 3, 30, 166, 300, 1000}) {
        WatchHarness harness(routers);
        bring_to_long_poll(harness);
        const Time changed_at = harness.clock.now();
        const auto call = harness.next_poll();
        EXPECT_NE(call.find("after=5&wait_ms=1"), std::string::npos) << call << ": no immediate poll";
        EXPECT_EQ(call.back(), '1') << call;
        send_drain(harness, changed_at, std::to_string(routers));
    }
}

// The next poll fails as well, in any way and as late as it can.
TEST(DiscoveryWatch, AFailureAfterASilentPollIsStillInTimeWhereFewRoutersShareDiscovery) {
    for (const int routers : {1, 3, 30, 166})
        for (const auto failure : kFailures) {
            const auto what =
                std::to_string(routers) + " routers, failure " + std::to_string(static_cast<int>(failure));
            WatchHarness harness(routers);
            bring_to_long_poll(harness);
            const Time changed_at = harness.clock.now();
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            harness.fail(failure);
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            EXPECT_EQ(harness.state, sloestack::decision::EndpointState::ready)
                << what << ": the old list stays";
            EXPECT_EQ(harness.failures, 1) << what;
            send_drain(harness, changed_at, what);
        }
}

// Polls have failed for so long that the backoff is at its longest; discovery recovers while one is in
// flight.
TEST(DiscoveryWatch, TheFirstListAfterALongOutageIsKnownInTime) {
    for (const int routers : {3, 300, 1000})
        for (const auto failure : kFailures) {
            const auto what =
                std::to_string(routers) + " routers, failure " + std::to_string(static_cast<int>(failure));
            WatchHarness harness(routers);
            bring_to_long_poll(harness);
            for (int i = 0; i < 8; ++i) {
                ASSERT_FALSE(harness.next_poll().empty()) << what;
                harness.fail(failure);
            }
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            const Time back_at = harness.clock.now();
            harness.fail(failure);
            ASSERT_FALSE(harness.next_poll().empty()) << what;
            EXPECT_EQ(harness.state, sloestack::decision::EndpointState::ready) << what;
            send_drain(harness, back_at, what);
        }
}

// The time to open a connection is part of the long poll, not added to it.
TEST(DiscoveryWatch, AnAnswerThatClosesItsConnectionAddsNoDelay) {
    WatchHarness harness(3);
    bring_to_long_poll(harness);
    const auto body = no_changes(5);
    harness.answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
    ASSERT_NE(harness.next_poll().find("after=5&wait_ms=2000"), std::string::npos);
    const Time changed_at = harness.clock.now();
    ASSERT_FALSE(harness.next_poll().empty());
    send_drain(harness, changed_at, "on a connection of its own");
}

// Discovery moves while a poll is in flight: later answers of the old address are ignored, and a lower
// revision of the new one does not make its list older.
TEST(DiscoveryWatch, AnswersOfTheOldAddressAreIgnoredAfterAMove) {
    WatchHarness harness(3);
    bring_to_long_poll(harness);
    Listener other;
    auto& old = harness.discovery_.peers.back();
    old.send(response(list(8, "terminated")));  // has arrived before the move, but may not have been read
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

// A drain reported by the old address is kept while the list of the new one is older.
TEST(DiscoveryWatch, ADrainIsKeptAtANewAddressWithAnOlderList) {
    WatchHarness harness(3);
    bring_to_long_poll(harness);
    harness.answer(response(list(8, "terminating", false)));
    ASSERT_TRUE(
        harness.run_until([&] { return harness.state == sloestack::decision::EndpointState::draining; }));
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

// Two moves in a row with the first one's poll still in flight: the last address counts.
TEST(DiscoveryWatch, TheLastOfTwoMovesCounts) {
    WatchHarness harness(3);
    bring_to_long_poll(harness);
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
