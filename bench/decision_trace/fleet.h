// A fleet of endpoints, discovery and clients round many routers, on a clock of its own. It reacts to what
// the routers decide, so a single decision that differs changes what follows.
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "random_stream.h"
#include "scenario.h"
#include "trace.h"

namespace decision_trace {

class Fleet {
public:
    Fleet(const Scenario& scenario, Trace& trace);
    // Plays the scenario from its beginning to its end.
    void play();

private:
    using Time = nettletrestle::Time;
    using Micros = nettletrestle::Micros;
    using Event = nettletrestle::Event;

    struct Endpoint {
        nettletrestle::ServerEntry entry;
        bool primary = false, running = true, hung = false, failing = false, resetting = false;
        int slow_factor = 1;
        Micros lag_us = 20'000;
        Time busy_until = 0;
    };
    struct Request {
        nettletrestle::Arrival arrival;
        int attempts = 0;
        bool open = true;
    };
    struct Router {
        std::unique_ptr<nettletrestle::Router> router;
        std::vector<Event> events;
        std::map<nettletrestle::RequestId, Request> requests;
    };
    struct Pending {
        Time at;
        std::uint64_t order;
        int router;
        Event event;
    };
    struct Later {
        bool operator()(const Pending& a, const Pending& b) const {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    // ---- the course of the day ----
    void add_endpoint(nettletrestle::ServerId id, int group, int zone, Time started_at);
    void start_routers();
    void change_fleet();
    void set_zone_hung(int zone, bool hung);
    void replace_some();
    void fail_over(int group);
    void publish(nettletrestle::ListKind kind);
    // ---- clients ----
    void arrive();
    void leave(Router& router);
    // ---- what routers ask for ----
    void carry_out(int router, const std::vector<nettletrestle::Action>& actions);
    void act(int router, const nettletrestle::Send& action);
    void act(int router, const nettletrestle::Refuse& action);
    void act(int router, const nettletrestle::Fail& action);
    void act(int router, const nettletrestle::Cancel& action);
    void act(int router, const nettletrestle::SetTimer& action);
    void act(int router, const nettletrestle::Probe& action);
    void act(int router, const nettletrestle::WatchList& action);
    void act(int, const nettletrestle::Log&) {}
    nettletrestle::AttemptEnded answer(const Request& request, const nettletrestle::Send& action);
    Micros service_time(Endpoint& endpoint, int request_class);
    nettletrestle::Standing status(const Endpoint& endpoint);
    std::vector<nettletrestle::ServerEntry> list() const;

    void schedule(Micros delay, int router, Event event);
    void deliver(const Pending& pending);
    void step_routers();

    Scenario scenario_;
    Trace& trace_;
    RandomStream random_;
    Time now_ = 1'000'000'000;
    Time start_ = now_;
    std::uint64_t scheduled_ = 0;
    nettletrestle::RequestId last_request_ = 0;
    nettletrestle::ServerId last_endpoint_ = 0;
    std::map<nettletrestle::ServerId, Endpoint> endpoints_;
    std::vector<Router> routers_;
    std::priority_queue<Pending, std::vector<Pending>, Later> pending_;
    bool discovery_up_ = true;
};

}  // namespace decision_trace
