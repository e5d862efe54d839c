// Two events in one instant, at each point of a request's life, in both orders: both have happened before the
// proxy takes its next turn. Then everything goes on as well as it can, and the rules must have held.
#include <csignal>

#include "world.h"

namespace {

using namespace loopback;

// ---- the points of a request's life ----
enum class Point { resting, half_sent, unread, connecting, waiting, half_answered };
constexpr Point kPoints[] = {Point::resting,    Point::half_sent, Point::unread,
                             Point::connecting, Point::waiting,   Point::half_answered};

void bring_to(World& w, Point point, const char* request_class) {
    w.open_watch();
    w.connect();
    if (point == Point::connecting) w.members_greet = false;
    if (point == Point::resting) {
        w.ask_and_serve(request_class);
        w.clock.at += 50'000;  // the link has rested
        w.turns();
        return;
    }
    const auto request = w.request(request_class);
    if (point == Point::half_sent) {
        w.client.send(request.substr(0, request.size() / 2));
        --w.asked;  // none that is whole
        return w.turns();
    }
    w.client.send(request);
    if (point == Point::unread) return;
    if (point == Point::connecting) return w.turns();
    w.await([&] { return !w.queries.empty(); });
    if (point == Point::half_answered) {
        w.answer_half();
        w.turns();
    }
}

// ---- the events ----
enum class Event {
    closes,
    resets,
    half_closes,
    cancels,
    asks_again,
    sends_rubbish,
    answer,
    half_answer,
    member_resets,
    drain,
    watch_resets,
    sighup,
    sigterm,
    time
};
constexpr Event kEvents[] = {Event::closes,        Event::resets, Event::half_closes,  Event::cancels,
                             Event::asks_again,    Event::answer, Event::half_answer,  Event::sends_rubbish,
                             Event::member_resets, Event::drain,  Event::watch_resets, Event::sighup,
                             Event::sigterm,       Event::time};

void happen(World& w, Event event, const char* request_class) {
    switch (event) {
        case Event::closes:
            return w.client.close();
        case Event::resets:
            return w.client.reset();
        case Event::half_closes:
            return w.client.half_close();
        case Event::cancels:
            return w.cancel();
        case Event::asks_again:
            return w.ask(request_class);
        case Event::sends_rubbish:
            return void(w.client.send(std::string(40'000, '\xff')));
        case Event::answer:
            w.members_greet = true;
            return w.answer_all();
        case Event::half_answer:
            return w.answer_half();
        case Event::member_resets:
            return w.reset_members();
        case Event::drain:
            return w.drain();
        case Event::watch_resets:
            return w.reset_watch();
        case Event::sighup:
            return void(raise(SIGHUP));
        case Event::sigterm:
            return void(raise(SIGTERM));
        case Event::time:
            w.clock.at += kDeadline / 2;
            return;
    }
}

const char* name(Point p) {
    constexpr const char* kNames[] = {"resting",    "half sent", "unread",
                                      "connecting", "waiting",   "half answered"};
    return kNames[static_cast<std::size_t>(p)];
}
const char* name(Event e) {
    constexpr const char* kNames[] = {"closes",       "resets", "half-closes", "cancels",       "asks again",
                                      "rubbish",      "answer", "half answer", "member resets", "drain",
                                      "watch resets", "SIGHUP", "SIGTERM",     "time"};
    return kNames[static_cast<std::size_t>(e)];
}

struct Case {
    Point point;
    Event a, b;
    Class request_class;
    bool has(Event e) const { return a == e || b == e; }
    std::string what() const {
        return std::string(request_class.name) + ", " + name(point) + ": " + name(a) + ", " + name(b);
    }
};

// Whether the client's bytes were such that what stood behind them cannot count as a request.
bool garbled(const Case& c) {
    return c.has(Event::sends_rubbish) || (c.point == Point::half_sent && c.has(Event::asks_again));
}

void judge(World& w, const Case& c, Time at, std::size_t before) {
    const bool left = c.has(Event::closes) || c.has(Event::resets);
    std::map<std::string, std::vector<Query>> sent;
    for (const auto& q : w.queries) sent[q.id].push_back(q);
    const int answers = w.answers();
    EXPECT_LE(answers, w.asked) << "one answer each";
    // Nothing that a member has had stays without its answer while the client is there; and nothing at all
    // does where the connection is still up.
    if (!left && !garbled(c)) {
        if (!w.client.ended) {
            EXPECT_EQ(answers, w.asked) << "every request taken is answered";
        }
        for (const auto& [id, of] : sent)
            EXPECT_LE(std::stoi(id.substr(1)), answers) << id << " was sent on and never answered";
    }
    // Who only ends its input gets its answers, unless a stop crossed what had not been read.
    if (c.has(Event::half_closes) && !left && !garbled(c) && !c.has(Event::sigterm)) {
        EXPECT_EQ(answers, w.asked) << "a half-close is no leaving";
    }
    for (std::size_t i = before; i < w.queries.size(); ++i) {
        const auto& q = w.queries[i];
        const bool gone = left || (c.has(Event::cancels) && q.id == "r1");
        EXPECT_TRUE(!gone || q.at - at <= kGone) << q.id << " was sent on after its client had gone";
    }
    const std::string effect = c.request_class.effect;
    for (const auto& [id, of] : sent) {
        EXPECT_TRUE(effect != "non_idempotent" || of.size() == 1) << id << " may have run twice";
        EXPECT_TRUE(effect != "idempotency_key" || of.back().at - of.front().at < kWindow)
            << id << " was repeated behind its window";
    }
}

void play(const Case& c) {
    SCOPED_TRACE(c.what());
    World w;
    bring_to(w, c.point, c.request_class.name);
    if (testing::Test::HasFatalFailure()) return;
    happen(w, c.a, c.request_class.name);
    happen(w, c.b, c.request_class.name);
    const Time done = w.clock.at;
    w.look();
    const auto before = w.queries.size();
    w.turns();
    // From here on the list has been read: nothing new goes to who leaves.
    const auto told = w.queries.size();
    // Connections that come up come late: who has left in the meantime is not served by them.
    w.go_on(2 * kGone);
    w.members_greet = true;
    w.go_on(kDeadline);
    if (c.has(Event::drain) && !c.has(Event::watch_resets)) {
        for (auto i = told; i < w.queries.size(); ++i)
            EXPECT_NE(w.queries[i].member, w.drained) << w.queries[i].id << " went to one that leaves";
    }
    if (c.has(Event::sigterm)) {
        w.go_on(kKill - kDeadline - 2 * kGone);
        EXPECT_TRUE(w.over()) << "has ended before it is killed";
    }
    judge(w, c, done, before);
}

class Crossings : public testing::TestWithParam<Point> {};

TEST_P(Crossings, OfAnyTwoEventsBreakNoRule) {
    for (const auto& request_class : kClasses)
        for (const auto a : kEvents)
            for (const auto b : kEvents)
                if (a != b) play({GetParam(), a, b, request_class});
}

INSTANTIATE_TEST_SUITE_P(AtEachPoint, Crossings, testing::ValuesIn(kPoints));

}  // namespace
