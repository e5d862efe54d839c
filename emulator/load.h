// Scripted clients: requests of the roster's classes at a rate, on connections that are held on to; retried
// as the operators' clients do. The arrivals are drawn by a seed and do not wait for answers. Clients stick
// to their proxy and go to another while theirs is taken for gone, as a plain front has it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "conversation/conversation.h"
#include "deadlines/deadlines.h"
#include "emulator/edge.h"
#include "emulator/event.h"
#include "emulator/readiness.h"
#include "emulator/values.h"
#include "histogram/histogram.h"

namespace emulator {

// Clients that write a row and read it again, and must see what they wrote.
struct SessionSettings {
    double share = 0;      // of the requests
    double writes = 0.3;   // of a session's requests
    int each = 20;         // sessions of each proxy's own clients
    bool brought = false;  // the client carries its last commit and may go to any proxy; else it keeps to one
};

// Draws the next request: class by share, a new id, key and data where it writes. Pure.
class Drawing {
public:
    Drawing(std::uint64_t seed, int groups, std::int64_t codes = 100'000, SessionSettings sessions = {})
        : random_(seed), groups_(groups), codes_(codes), sessions_(sessions), first_session_(seed) {}
    Question next();
    Random& random() { return random_; }

private:
    void draw_session(Question& question);

    Random random_;
    int groups_;
    std::int64_t codes_;
    SessionSettings sessions_;
    std::uint64_t first_session_;
};

struct LoadSettings {
    double rate = 200;  // a second, of each proxy's own clients
    std::int64_t length_us = 10'000'000;
    int groups = 2;
    SessionSettings sessions;
    std::uint64_t seed = 1;
    std::size_t most_connections = 256;  // to each proxy
    double uneven = 1;                   // a proxy's share lies between one of it and so many times the mean
    std::vector<sockaddr_in> proxies;    // all there are
    std::vector<int> homes;              // those whose clients these are
    Micros grace = 300'000;              // how long beyond its time a client still takes an answer
    Micros notice = 1'000'000;           // from a proxy's silence until the front sends nothing there
};

struct ClassCount {
    std::uint64_t asked = 0, served = 0, in_aim = 0, refused = 0, failed = 0, none = 0, retries = 0;
    sloestack::histogram::Histogram latency_us;
};

class Load {
public:
    Load(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const LoadSettings& settings,
         Witness& witness);
    ~Load();
    bool over() const { return over_ == homes_.size() && open_ == 0; }
    const ClassCount& count(int request_class) const { return counts_[request_class]; }
    Edge& edge(int proxy) { return *proxies_.at(static_cast<std::size_t>(proxy))->edge; }
    void edge_changed(int proxy);
    void reset(int proxy);  // its clients' connections

private:
    class Client;
    struct Asked {
        Question question;
        std::int64_t first_at = 0;
        bool is_retry = false;
        int home = 0;
    };
    struct Proxy {
        sockaddr_in at{};
        std::unique_ptr<Edge> edge;
        bool up = true;
        Time failed_at = 0;  // first time it was not to be reached since it last was
        std::vector<std::unique_ptr<Client>> clients;
        std::deque<Asked> waiting;
        std::unique_ptr<Readiness> readiness;  // while it is taken for gone
    };
    struct Home {
        Home(int p, double r, Drawing d, std::int64_t first_at)
            : proxy(p), rate(r), drawing(std::move(d)), next_at(first_at) {}
        int proxy;
        double rate;
        Drawing drawing;
        std::int64_t next_at;
        sloestack::Deadline arrivals;
    };
    void arrive(Home& home);
    void ask(Asked asked);
    void go(int proxy, Asked asked);
    void unreachable(int proxy);
    void reached(int proxy);
    void answered(int proxy, const Asked& asked, const sloestack::conversation::ResponseEvent& answer,
                  bool sent);

    sloestack::net::Loop& loop_;
    sloestack::Deadlines& deadlines_;
    LoadSettings settings_;
    Witness& witness_;
    Random random_;
    std::int64_t start_;
    std::size_t over_ = 0, open_ = 0;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::vector<std::unique_ptr<Home>> homes_;
    std::vector<std::unique_ptr<sloestack::Deadline>> retries_;
    sloestack::conversation::Memory memory_;
    std::map<std::string, Time> committed_;  // by session: when its last write was answered
    ClassCount counts_[kClassCount];
};

}  // namespace emulator
