// Scripted clients: requests of the roster system's classes at a given rate, on connections that are reused,
// retried as the operators' clients do. Arrivals are drawn with a seed and do not wait for responses. Clients
// use their own proxy, and another one while theirs counts as gone, as with a plain front.
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

// Client sessions: each writes one row, reads it again and must see its last write.
struct SessionSettings {
    double share = 0;     // of the requests
    double writes = 0.3;  // share of a session's requests
    int each = 20;        // number of sessions per proxy
    bool brought =
        false;  // clients send their last commit and may use any proxy; otherwise they use one only
};

// Draws requests: a class by its share, a new id, and a key and data for a write. Does no I/O.
class RequestGenerator {
public:
    RequestGenerator(std::uint64_t seed, int groups, std::int64_t codes = 100'000,
                     SessionSettings sessions = {})
        : random_(seed), groups_(groups), codes_(codes), sessions_(sessions), first_session_(seed) {}
    Request next();
    Random& random() { return random_; }

private:
    void draw_session(Request& request);

    Random random_;
    int groups_;
    std::int64_t codes_;
    SessionSettings sessions_;
    std::uint64_t first_session_;
};

struct LoadSettings {
    double rate = 200;  // requests per second from the clients of each proxy
    std::int64_t length_us = 10'000'000;
    int groups = 2;
    SessionSettings sessions;
    std::uint64_t seed = 1;
    std::size_t most_connections = 256;  // to each proxy
    double leave = 0;           // share of the clients that close before their deadline if unanswered
    double deadline_ratio = 1;  // of the deadlines, to those that the operators state
    double uneven = 1;  // the rate of a proxy varies between the mean divided and multiplied by about this
    std::vector<sockaddr_in> proxies;  // all proxies
    std::vector<int> homes;            // indices of the proxies whose clients this object runs
    Micros grace = 300'000;            // how long after its deadline a client still accepts a response
    Micros notice = 1'000'000;  // from the first failed connection to a proxy until the front stops using it
};

struct ClassCount {
    std::uint64_t asked = 0, served = 0, in_aim = 0, refused = 0, failed = 0, none = 0, retries = 0;
    sloestack::histogram::Histogram latency_us;
};

class Load {
public:
    Load(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const LoadSettings& settings,
         EventSink& event_sink);
    ~Load();
    bool over() const { return finished_homes_ == homes_.size() && open_requests_ == 0; }
    const ClassCount& count(int request_class) const { return counts_[request_class]; }
    Edge& edge(int proxy) { return *proxies_.at(static_cast<std::size_t>(proxy))->edge; }
    void edge_changed(int proxy);
    void reset(int proxy);  // closes the connections of its clients

private:
    class Client;
    struct PendingRequest {
        Request request;
        std::int64_t first_at = 0;
        bool is_retry = false;
        bool has_left = false;
        int home = 0;
    };
    struct Proxy {
        sockaddr_in at{};
        std::unique_ptr<Edge> edge;
        bool up = true;
        Time failed_at = 0;  // first failed connection since the proxy was last reachable; 0: none
        std::vector<std::unique_ptr<Client>> clients;
        std::deque<PendingRequest> waiting;
        std::unique_ptr<Readiness> readiness;  // set while the proxy counts as gone
    };
    struct Home {
        Home(int p, double r, RequestGenerator d, std::int64_t first_at)
            : proxy(p), rate(r), generator(std::move(d)), next_at(first_at) {}
        int proxy;
        double rate;
        RequestGenerator generator;
        std::int64_t next_at;
        sloestack::Deadline arrivals;
    };
    void generate_arrivals(Home& home);
    void send_request(PendingRequest asked);
    void assign(int proxy, PendingRequest asked);
    Micros timeout_us(int request_class) const;
    void on_unreachable(int proxy);
    void on_reachable(int proxy);
    void answered(int proxy, const PendingRequest& asked,
                  const sloestack::conversation::ResponseEvent& answer, bool sent);

    sloestack::net::Loop& loop_;
    sloestack::Deadlines& deadlines_;
    LoadSettings settings_;
    EventSink& event_sink_;
    Random random_;
    std::int64_t start_;
    std::size_t finished_homes_ = 0, open_requests_ = 0;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::vector<std::unique_ptr<Home>> homes_;
    std::vector<std::unique_ptr<sloestack::Deadline>> retry_timers_;
    sloestack::conversation::Memory memory_;
    std::map<std::string, Time>
        last_commit_by_session_;  // by session: when the response to its last write arrived
    ClassCount counts_[kClassCount];
};

}  // namespace emulator
