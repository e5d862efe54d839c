// The watch on the list over loopback sockets, on the test's own clock: whatever calls meet, a change is
// known within the operators' six seconds, and nothing is believed of an answer that is not whole.
#include <optional>
#include <vector>

#include "discovery/discovery_watch.h"
#include "discovery_poll_schedule.h"
#include "loopback.h"

namespace {

using namespace sloestack;
using loopback::Listening;
using sloestack::decision::EndpointListKind;
using sloestack::decision::PollBackoff;

constexpr double kHighest = 0.999'999'9;  // of a draw

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
std::string empty(int revision) {
    return R"({"revision":)" + std::to_string(revision) + R"(,"complete":false,"members":[]})";
}
std::string whole(const std::string& body, const char* status = "200 OK") {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// What a call may meet but a list that is new and whole.
enum class Fate { silence, refusal, rubbish, older, half, no_length, endless, byte_by_byte, no_list };
constexpr Fate kFates[] = {Fate::silence,   Fate::refusal, Fate::rubbish,      Fate::older,  Fate::half,
                           Fate::no_length, Fate::endless, Fate::byte_by_byte, Fate::no_list};

class World final : public traffic::EndpointListListener {
public:
    explicit World(int routers)
        : calls_(settings(routers)),
          watch_(loop_, deadlines_, loopback::address(discovery_.port), "d", lists_, std::nullopt, *this,
                 sloestack::decision::PollTimeouts(settings(routers), 7)) {
        watch_.start();
    }

    void on_poll_failed(const sloestack::decision::FailedPoll& call) override {
        ++failures;
        // As the decision module does, with the longest draw.
        again_.set(deadlines_, clock.at + calls_.delay_after_failure(call, kHighest),
                   [this] { watch_.start(); });
    }
    void on_endpoint_list(EndpointListKind, std::vector<traffic::ListedEndpoint> entries) override {
        calls_.on_list_received();
        for (const auto& e : entries) {
            state = e.endpoint.state;
            told_at = clock.at;
        }
    }

    // The next call, and the time moved on as far as it takes; nothing where the watch waits for nothing.
    std::string next_call() {
        for (int jumps = 0; jumps < 100; ++jumps) {
            for (int i = 0; i < 20; ++i)
                if (const auto call = take_call(); !call.empty()) return call;
            const auto next = deadlines_.next();
            if (!next) return {};
            clock.at = std::max(clock.at, *next);
            deadlines_.sweep();
        }
        return {};
    }
    // Answers the call taken last.
    void answer(const std::string& bytes) {
        asking_->send(bytes);
        turn();
    }
    void meet(Fate fate) {
        switch (fate) {
            case Fate::silence:
                return;
            case Fate::refusal:
                return answer(whole("busy", "503 Busy"));
            case Fate::rubbish:
                return answer(whole("<html>not a list</html>"));
            case Fate::older:
                return answer(whole(list(1, "in_service")));
            case Fate::no_list:
                return answer(whole(R"({"revision":9,"complete":true,"members":[]})"));
            case Fate::half: {
                const auto all = whole(list(9, "terminating"));
                answer(all.substr(0, all.size() / 2));
                return asking_->reset();
            }
            case Fate::no_length:  // whole as it stands, but a reset is no end
                answer("HTTP/1.1 200 OK\r\n\r\n" + list(9, "terminating"));
                return asking_->reset();
            case Fate::endless:
                return answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n{\"revision\"");
            case Fate::byte_by_byte:
                return answer("HTTP/1.1 200 O");
        }
    }
    void turn() {
        loop_.run_once(0);
        loop_.end_turn();
        discovery_.look();
    }
    template <class Condition>
    bool until(Condition condition) {
        return loopback::until([this] { turn(); }, condition);
    }

    loopback::ManualClock clock;
    int failures = 0;
    std::optional<sloestack::decision::EndpointState> state;  // of the one member, as told last
    Time told_at = 0;
    Listening discovery_;
    discovery::DiscoveryWatch& watch() { return watch_; }

private:
    std::string take_call() {
        turn();
        for (auto& p : discovery_.peers) {
            const auto end = p.in.find("\r\n\r\n");
            if (end == std::string::npos) continue;
            const auto call = p.in.substr(0, p.in.find(" HTTP"));
            p.in.erase(0, end + 4);
            asking_ = &p;
            return call;
        }
        return {};
    }

    net::Loop loop_;
    Deadlines deadlines_{clock};
    PollBackoff calls_;
    discovery::EndpointListParser lists_{{"a"}};
    discovery::DiscoveryWatch watch_;
    Deadline again_;
    loopback::Peer* asking_ = nullptr;
};

// Up to a held call with the full hold, which discovery will never answer.
void bring_to_a_held_call(World& w) {
    EXPECT_EQ(w.next_call(), "GET /registry/instances");
    w.answer(whole(list(5, "in_service")));
    ASSERT_TRUE(w.until([&] { return w.state.has_value(); }));
    EXPECT_NE(w.next_call().find("after=5&wait_ms="), std::string::npos);
    w.answer(whole(empty(5)));
    EXPECT_NE(w.next_call().find("after=5&wait_ms="), std::string::npos);
}

void tell_of_the_drain(World& w, Time changed_at, const std::string& what) {
    w.answer(whole(list(9, "terminating", false)));
    EXPECT_TRUE(w.until([&] { return w.state == sloestack::decision::EndpointState::draining; })) << what;
    EXPECT_LT(w.told_at - changed_at, PollBackoff::kNotificationBoundUs) << what;
}

// A member begins to drain in the moment in which the watch falls silent.
TEST(Watch, WhatASilentWatchMissedIsKnownInTime) {
    for (const int routers : {1, 3, 30, 166, 300, 1000}) {
        World w(routers);
        bring_to_a_held_call(w);
        const Time changed_at = w.clock.at;
        const auto call = w.next_call();
        EXPECT_NE(call.find("after=5&wait_ms=1"), std::string::npos) << call << ": not held";
        EXPECT_EQ(call.back(), '1') << call;
        tell_of_the_drain(w, changed_at, std::to_string(routers));
    }
}

// And the call behind it fails as well, in any way and as late as it can.
TEST(Watch, AFailureBehindASilenceIsStillInTimeWhereFewShareDiscovery) {
    for (const int routers : {1, 3, 30, 166})
        for (const auto fate : kFates) {
            const auto what =
                std::to_string(routers) + " routers, fate " + std::to_string(static_cast<int>(fate));
            World w(routers);
            bring_to_a_held_call(w);
            const Time changed_at = w.clock.at;
            ASSERT_FALSE(w.next_call().empty()) << what;
            w.meet(fate);
            ASSERT_FALSE(w.next_call().empty()) << what;
            EXPECT_EQ(w.state, sloestack::decision::EndpointState::ready) << what << ": the old list stays";
            EXPECT_EQ(w.failures, 1) << what;
            tell_of_the_drain(w, changed_at, what);
        }
}

// PollBackoff have failed for long, so that the back-off is at its longest; discovery is there again as one
// is out.
TEST(Watch, AfterALongOutageTheNextListIsKnownInTime) {
    for (const int routers : {3, 300, 1000})
        for (const auto fate : kFates) {
            const auto what =
                std::to_string(routers) + " routers, fate " + std::to_string(static_cast<int>(fate));
            World w(routers);
            bring_to_a_held_call(w);
            for (int i = 0; i < 8; ++i) {
                ASSERT_FALSE(w.next_call().empty()) << what;
                w.meet(fate);
            }
            ASSERT_FALSE(w.next_call().empty()) << what;
            const Time back_at = w.clock.at;
            w.meet(fate);
            ASSERT_FALSE(w.next_call().empty()) << what;
            EXPECT_EQ(w.state, sloestack::decision::EndpointState::ready) << what;
            tell_of_the_drain(w, back_at, what);
        }
}

// The time that a connection takes to come up is part of the hold, not on top of it.
TEST(Watch, AnAnswerThatEndsItsConnectionCostsNoMore) {
    World w(3);
    bring_to_a_held_call(w);
    const auto body = empty(5);
    w.answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body);
    ASSERT_NE(w.next_call().find("after=5&wait_ms=2000"), std::string::npos);
    const Time changed_at = w.clock.at;
    ASSERT_FALSE(w.next_call().empty());
    tell_of_the_drain(w, changed_at, "on a connection of its own");
}

// Discovery moves while a call is out: what the old one says behind that is not read, and the new one's lower
// revision is no older list.
TEST(Watch, WhatTheOldAddressSaysBehindAMoveIsNotBelieved) {
    World w(3);
    bring_to_a_held_call(w);
    Listening other;
    auto& old = w.discovery_.peers.back();
    old.send(whole(list(8, "terminated")));  // with the kernel before the move, in either order to it
    w.watch().change_address(loopback::address(other.port), "other");
    ASSERT_TRUE(
        w.until([&] { return other.look(), !other.peers.empty() && !other.peers.front().in.empty(); }));
    EXPECT_EQ(other.peers.front().in.find("GET /registry/instances HTTP"), 0u) << "the whole list";
    EXPECT_EQ(w.state, sloestack::decision::EndpointState::ready);
    other.peers.front().send(whole(list(2, "in_service")));
    ASSERT_TRUE(w.until([&] {
        other.look();
        return other.peers.front().in.find("after=2") != std::string::npos;
    }));
    EXPECT_EQ(w.failures, 0);
}

// A drain that the old one told is no news to one whose list is older: it stays until that list has caught
// up.
TEST(Watch, ADrainIsKnownOnAtAnAddressWhoseListIsOlder) {
    World w(3);
    bring_to_a_held_call(w);
    w.answer(whole(list(8, "terminating", false)));
    ASSERT_TRUE(w.until([&] { return w.state == sloestack::decision::EndpointState::draining; }));
    Listening other;
    const auto tell = [&](const std::string& said, const char* next) {
        other.peers.front().in.clear();
        other.peers.front().send(whole(said));
        return w.until([&] { return other.look(), other.peers.front().in.find(next) != std::string::npos; });
    };
    w.watch().change_address(loopback::address(other.port), "other");
    ASSERT_TRUE(
        w.until([&] { return other.look(), !other.peers.empty() && !other.peers.front().in.empty(); }));
    ASSERT_TRUE(tell(list(2, "in_service"), "after=2&"));
    EXPECT_EQ(w.state, sloestack::decision::EndpointState::draining);
    ASSERT_TRUE(tell(list(3, "in_service", false), "after=3&"));
    EXPECT_EQ(w.state, sloestack::decision::EndpointState::ready) << "a change is news";
}

// Twice in a row, with the first one's call still out: the last address counts.
TEST(Watch, TheLastOfTwoMovesCounts) {
    World w(3);
    bring_to_a_held_call(w);
    Listening second, third;
    w.watch().change_address(loopback::address(second.port), "second");
    w.turn();
    w.watch().change_address(loopback::address(third.port), "third");
    ASSERT_TRUE(
        w.until([&] { return third.look(), !third.peers.empty() && !third.peers.front().in.empty(); }));
    third.peers.front().send(whole(list(1, "terminating")));
    EXPECT_TRUE(w.until([&] { return w.state == sloestack::decision::EndpointState::draining; }));
}

}  // namespace
