// Two events in one instant, at each point of a request's life, in both orders: both have happened before the
// proxy takes its next turn. Then everything goes on as well as it can, and the rules must have held.
#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "loopback.h"
#include "pgwire/build.h"
#include "pgwire/frame.h"
#include "server/server.h"

namespace {

using namespace sloestack;
using loopback::Listening;
using loopback::Peer;
using nlohmann::json;

constexpr Micros kDeadline = 2'000'000, kWindow = 600'000, kGone = 100'000, kKill = kDeadline + 700'000;

// The classes are told apart by their effect alone.
struct Class {
    const char* name;
    const char* effect;
};
constexpr Class kClasses[] = {
    {"glance", "read_like"}, {"amend", "idempotency_key"}, {"issue", "non_idempotent"}};

json settings() {
    json classes = json::array();
    for (const auto& c : kClasses)
        classes.push_back({{"name", c.name},
                           {"effect", c.effect},
                           {"group", "cell"},
                           {"worth", 1},
                           {"memory-span-us", kWindow},
                           {"promise-us", kDeadline / 2},
                           {"deadline-us", kDeadline},
                           {"late-worth", 0}});
    return {{"classes", classes},
            {"discovery", "on_request"},
            {"azs", {"here"}},
            {"specifics",
             {{"class-read", {"eventual", "eventual", "eventual"}},
              {"staleness-bound-us", {0, 0, 0}},
              {"progress-told", true},
              {"role-listed", "none"}}},
            {"limits",
             {{"most-tries", 5},
              {"cancel", true},
              {"connect-timeout-us", 250000},
              {"conn-idle-us", 15000000},
              {"max-retry-after-us", 1000000}}},
            {"rules",
             {{"drain-grace-us", 250000},
              {"ask-every-us", 10000000},
              {"cold-from", 1},
              {"warm-after-us", 1},
              {"fall-multiple", 3},
              {"fall-us", 3000000}}}};
}

std::string text(const std::function<void(pgwire::Builder&)>& build) {
    std::string out;
    pgwire::Builder b(out);
    build(b);
    return out;
}

struct Query {
    int member;
    std::string id;
    Time at;
    Peer* on;
};

class World {
public:
    World() : server_(config(), clock) {
        std::signal(SIGPIPE, SIG_IGN);  // as the program does
        server_.obey_signals([this] { return config(); });
        for (auto& m : members_) entries_.push_back(entry(m.port, "in_service"));
    }

    // ---- what the parties do ----
    void connect() {
        client = loopback::connect_to(server_.port());
        client.send(text([](auto& b) { b.startup("u", "d"); }));
        await([this] { return ready() == 1; });
    }
    void ask(const char* klass) {
        const auto statement = request(klass);
        if (!client.send(statement)) --asked;  // it has ended its own side
    }
    std::string request(const char* klass) {
        const auto id = "r" + std::to_string(++asked);
        return text([&](auto& b) {
            b.query("SELECT data FROM facts WHERE code = 'x' /* id=" + id + ",c=" + klass +
                    ",d=" + std::to_string(kDeadline / 1000) + ",k=" + id + ",cluster=0 */");
        });
    }
    // The members answer whatever has come to them.
    void answer_all() {
        look();
        for (auto& [peer, id] : std::exchange(open_, {}))
            peer->send(text([](auto& b) {
                b.row_description("data", 25, true).data_row("v").complete("SELECT 1").ready();
            }));
    }
    void answer_half() {
        for (auto& [peer, id] : open_) peer->send(text([](auto& b) { b.row_description("data", 25, true); }));
    }
    void reset_members() {
        for (auto& m : members_)
            for (auto& p : m.peers) p.reset();
        open_.clear();
    }
    void drain() {  // of the member that was asked last, or of the first
        drained = queries.empty() ? 0 : queries.back().member;
        entries_[static_cast<std::size_t>(drained)]["phase"] = "terminating";
        ++revision_;
        tell();
    }
    void reset_watch() {
        for (auto& p : discovery_.peers) p.reset();
    }
    void cancel() {
        other_ = loopback::connect_to(server_.port());
        std::string out;
        for (const std::uint32_t word : {16u, 80877102u, key_.first, key_.second})
            for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(word >> shift));
        other_.send(out);
    }

    // ---- going on ----
    void turn() {
        server_.turn(0);
        look();
    }
    void turns(int many = 12) {
        for (int i = 0; i < many; ++i) turn();
    }
    template <class Condition>
    void await(Condition condition) {
        ASSERT_TRUE(loopback::until([this] { turn(); }, condition));
    }
    // Time goes on in small steps; members and discovery do what is asked of them.
    void go_on(Micros time, Micros step = 10'000) {
        for (const Time end = clock.at + time; clock.at < end; clock.at += step) {
            turns(3);
            answer_all();
            serve_discovery();
            turns(3);
            if (server_.over()) return;
        }
    }
    bool over() const { return server_.over(); }
    // A watch is open that is told of changes as they come.
    bool held_call() const {
        return std::any_of(discovery_.peers.begin(), discovery_.peers.end(), [](const Peer& p) {
            return p.in.find("wait_ms=") != std::string::npos && p.in.find("wait_ms=1 ") == std::string::npos;
        });
    }
    void open_watch() {
        clock.at += 1'000'000;  // the first call's window is over
        await([this] { return serve_discovery(), held_call(); });
    }

    // ---- what has been seen ----
    // Answers to requests that the client has had, and whether each was whole.
    int answers() {
        client.read();
        int out = 0;
        std::string_view in = client.in;
        bool begun = false;
        try {
            while (const auto m = pgwire::next_message(in)) {
                if (m->type == 'C' || m->type == 'E') begun = true;
                if (m->type == 'K') {
                    pgwire::Fields f(m->body);
                    key_.first = f.int32(), key_.second = f.int32();
                }
                if (m->type == 'Z' && begun) ++out, begun = false;
                in.remove_prefix(m->size);
            }
        } catch (const pgwire::BadMessage&) {
        }
        return out;
    }
    int ready() {
        answers();
        return static_cast<int>(std::count(client.in.begin(), client.in.end(), 'Z'));
    }
    void look() {
        for (std::size_t i = 0; i < members_.size(); ++i) {
            members_[i].look();
            for (auto& p : members_[i].peers) read_member(static_cast<int>(i), p);
        }
        discovery_.look();
        client.read();
    }

    loopback::ManualClock clock;
    Peer client;
    int asked = 0, drained = -1;
    bool members_greet = true;
    std::vector<Query> queries;

private:
    static json entry(std::uint16_t port, const char* phase) {
        return {{"id", "s-" + std::to_string(port)},
                {"host_port", "127.0.0.1:" + std::to_string(port)},
                {"locality", "here"},
                {"cell", 0},
                {"phase", phase},
                {"size", 1.0},
                {"up_since_ms", 0}};
    }
    config::Config config() {
        json known = {{"revision", 1}, {"complete", true}, {"members", json::array()}};
        for (auto& m : members_) known["members"].push_back(entry(m.port, "in_service"));
        const json file = {{"name", "t"},
                           {"listen", "127.0.0.1:0"},
                           {"discovery", "127.0.0.1:" + std::to_string(discovery_.port)},
                           {"seed", "7"},
                           {"limits", {{"sockets", 256}, {"memory_mb", 64}}},
                           {"known", known},
                           {"settings", settings()}};
        return config::read(file, [](const char*) { return nullptr; });
    }
    void read_member(int number, Peer& p) {
        if (p.ended || p.fd < 0) {
            open_.erase(&p);
            return;
        }
        if (!greeted_.count(&p)) {
            const auto m = p.in.empty() ? std::nullopt : pgwire::next_startup(p.in);
            if (!m || !members_greet) return;
            p.in.erase(0, m->size);
            greeted_.insert(&p);
            p.send(text([](auto& b) { b.authentication_ok().parameter("role", "replica").ready(); }));
        }
        while (const auto m = pgwire::next_message(p.in)) {
            if (m->type == 'Q') {
                const std::string statement(pgwire::Fields(m->body).text());
                const auto from = statement.find("id=") + 3;
                queries.push_back(
                    {number, statement.substr(from, statement.find(',', from) - from), clock.at, &p});
                open_[&p] = queries.back().id;
            }
            p.in.erase(0, m->size);
        }
    }
    // A call that is held waits for a change; all others are answered at once.
    void serve_discovery() {
        if (!held_call() || told_ < revision_) tell();
    }
    void tell() {
        const json list = {{"revision", revision_}, {"complete", false}, {"members", entries_}};
        const auto body = list.dump();
        for (auto& p : discovery_.peers) {
            if (p.in.find("\r\n\r\n") == std::string::npos) continue;
            p.in.clear();
            p.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            told_ = revision_;
        }
    }

    std::vector<Listening> members_{2};
    Listening discovery_;
    std::vector<json> entries_;
    std::map<Peer*, std::string> open_;
    std::set<Peer*> greeted_;
    std::pair<std::uint32_t, std::uint32_t> key_;
    Peer other_;
    int revision_ = 1, told_ = 0;
    server::Server server_;
};

// ---- the points of a request's life ----
enum class Point { resting, half_sent, unread, connecting, waiting, half_answered };
constexpr Point kPoints[] = {Point::resting,    Point::half_sent, Point::unread,
                             Point::connecting, Point::waiting,   Point::half_answered};

void bring_to(World& w, Point point, const char* klass) {
    w.open_watch();
    w.connect();
    if (point == Point::connecting) w.members_greet = false;
    if (point == Point::resting) {
        w.ask(klass);
        w.await([&] { return !w.queries.empty(); });
        w.answer_all();
        w.await([&] { return w.answers() == 1; });
        w.clock.at += 50'000;  // the link has rested
        w.turns();
        return;
    }
    const auto request = w.request(klass);
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

void happen(World& w, Event event, const char* klass) {
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
            return w.ask(klass);
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
    Class klass;
    bool has(Event e) const { return a == e || b == e; }
    std::string what() const {
        return std::string(klass.name) + ", " + name(point) + ": " + name(a) + ", " + name(b);
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
    const std::string effect = c.klass.effect;
    for (const auto& [id, of] : sent) {
        EXPECT_TRUE(effect != "non_idempotent" || of.size() == 1) << id << " may have run twice";
        EXPECT_TRUE(effect != "idempotency_key" || of.back().at - of.front().at < kWindow)
            << id << " was repeated behind its window";
    }
}

void play(const Case& c) {
    SCOPED_TRACE(c.what());
    World w;
    bring_to(w, c.point, c.klass.name);
    if (testing::Test::HasFatalFailure()) return;
    happen(w, c.a, c.klass.name);
    happen(w, c.b, c.klass.name);
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
    for (const auto& klass : kClasses)
        for (const auto a : kEvents)
            for (const auto b : kEvents)
                if (a != b) play({GetParam(), a, b, klass});
}

INSTANTIATE_TEST_SUITE_P(AtEachPoint, Crossings, testing::ValuesIn(kPoints));

}  // namespace
