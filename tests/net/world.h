// A whole proxy on the test's own clock, with one client, two members and discovery played by the test.
#pragma once

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

namespace loopback {

using namespace sloestack;
using nlohmann::json;

constexpr Micros kDeadline = 2'000'000, kWindow = 600'000, kGone = 100'000, kKill = kDeadline + 700'000;

// The classes are told apart by their effect alone.
struct Class {
    const char* name;
    const char* effect;
};
constexpr Class kClasses[] = {
    {"glance", "read_like"}, {"amend", "idempotency_key"}, {"issue", "non_idempotent"}};

// A deployment's settings, of these classes in this order.
inline json deployment(const std::vector<Class>& names = {std::begin(kClasses), std::end(kClasses)}) {
    json classes = json::array();
    for (const auto& c : names)
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
             {{"class-read", std::vector<std::string>(names.size(), "eventual")},
              {"staleness-bound-us", std::vector<int>(names.size(), 0)},
              {"progress-told", true},
              {"role-listed", "none"}}},
            {"limits",
             {{"most-tries", 5},
              {"cancel", true},
              {"connect-timeout-us", 250000},
              {"conn-idle-us", 15000000},
              {"max-retry-after-us", 1000000}}},
            {"rules", {{"cold-from", 1}, {"warm-after-us", 1}, {"fall-multiple", 3}, {"fall-us", 3000000}}}};
}

inline std::string text(const std::function<void(pgwire::Builder&)>& build) {
    std::string out;
    pgwire::Builder b(out);
    build(b);
    return out;
}

struct Query {
    int member;
    std::string id;
    Time at;
    Micros left;  // of its time, as the member is told
};

class World {
public:
    explicit World(json of = deployment(), int sockets = 256, bool known = true)
        : settings_(std::move(of)), sockets_(sockets), known_(known), server_(config(), clock) {
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
    void ask(const char* request_class) {
        const auto statement = request(request_class);
        if (!client.send(statement)) --asked;  // it has ended its own side
    }
    std::string request(const char* request_class, Micros deadline = kDeadline) {
        const auto id = "r" + std::to_string(++asked);
        return text([&](auto& b) {
            b.query("SELECT data FROM facts WHERE code = 'x' /* id=" + id + ",c=" + request_class +
                    ",d=" + std::to_string(deadline / 1000) + ",k=" + id + ",cluster=0 */");
        });
    }
    // Asks the client's first request and has it served.
    void ask_and_serve(const char* request_class) {
        ask(request_class);
        await([this] { return !queries.empty(); });
        answer_all();
        await([this] { return answers() == 1; });
    }
    // The members answer whatever has come to them.
    void answer_all() {
        look();
        for (auto& [peer, id] : std::exchange(open_, {}))
            peer->send(text([](auto& b) {
                b.row_description("data", 25, true).data_row("v").complete("SELECT 1").ready();
            }));
    }
    // Only the one that asks for this id.
    void answer(const std::string& id) {
        look();
        for (auto it = open_.begin(); it != open_.end(); ++it)
            if (it->second == id) {
                it->first->send(text([&](auto& b) {
                    b.row_description("data", 25, true).data_row(id + "!").complete("SELECT 1").ready();
                }));
                open_.erase(it);
                return;
            }
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
    std::uint16_t port() const { return server_.port(); }
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
        if (!known_) known = nullptr;
        const json file = {{"name", "t"},
                           {"listen", "127.0.0.1:0"},
                           {"discovery", "127.0.0.1:" + std::to_string(discovery_.port)},
                           {"seed", "7"},
                           {"limits", {{"sockets", sockets_}, {"memory_mb", 64}}},
                           {"known", known},
                           {"settings", settings_}};
        return config::parse(file, [](const char*) { return nullptr; });
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
                const auto tag = [&statement](const char* name) {
                    const auto from = statement.find(name) + std::string_view(name).size();
                    return statement.substr(from, statement.find(',', from) - from);
                };
                queries.push_back({number, tag("id="), clock.at, std::stol(tag(",d=")) * 1000});
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

    json settings_;
    int sockets_;
    bool known_;
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

}  // namespace loopback
