// Simulates endpoints, discovery and clients of many routers, on a simulated clock. The simulation carries
// out the routers' actions, so a single different decision changes everything that follows.
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
    void run();

private:
    using Time = sloestack::decision::Time;
    using Micros = sloestack::decision::Micros;
    using Event = sloestack::decision::Event;

    struct Endpoint {
        sloestack::decision::EndpointEntry entry;
        bool primary = false, running = true, hung = false, failing = false, resetting = false;
        int slow_factor = 1;
        Micros lag_us = 20'000;
        Time busy_until = 0;
    };
    struct Request {
        sloestack::decision::Arrival arrival;
        int attempts = 0;
        bool open = true;
    };
    struct Router {
        std::unique_ptr<sloestack::decision::Router> router;
        std::vector<Event> events;
        std::map<sloestack::decision::RequestId, Request> requests;
    };
    struct Pending {
        Time at;
        std::uint64_t order;
        int router;
        Event event;
    };
    struct IsLater {
        bool operator()(const Pending& a, const Pending& b) const {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    // ---- changes of the fleet ----
    void add_endpoint(sloestack::decision::EndpointId id, int group, int zone, Time started_at);
    void start_routers();
    void change_fleet();
    void set_zone_hung(int zone, bool hung);
    void replace_endpoints();
    void fail_over(int group);
    void publish(sloestack::decision::EndpointListKind kind);
    // ---- clients ----
    void add_arrivals();
    void disconnect_recent_client(Router& router);
    // ---- actions of routers ----
    void carry_out(int router, const std::vector<sloestack::decision::Action>& actions);
    void handle(int router, const sloestack::decision::Forward& action);
    void handle(int router, const sloestack::decision::Reject& action);
    void handle(int router, const sloestack::decision::Fail& action);
    void handle(int router, const sloestack::decision::Cancel& action);
    void handle(int router, const sloestack::decision::SetTimer& action);
    void handle(int router, const sloestack::decision::StartHealthCheck& action);
    void handle(int router, const sloestack::decision::PollDiscovery& action);
    void handle(int, const sloestack::decision::Log&) {}
    sloestack::decision::AttemptEnded attempt_result(const Request& request,
                                                     const sloestack::decision::Forward& action);
    Micros service_time(Endpoint& endpoint, int request_class);
    sloestack::decision::ReplicationStatus replication_status(const Endpoint& endpoint);
    std::vector<sloestack::decision::EndpointEntry> endpoint_list() const;

    // ---- events to routers ----
    void schedule(Micros delay, int router, Event event);
    void deliver(const Pending& pending);
    void step_routers();

    Scenario scenario_;
    Trace& trace_;
    RandomStream random_;
    Time now_ = 1'000'000'000;
    Time start_ = now_;
    std::uint64_t scheduled_ = 0;
    sloestack::decision::RequestId last_request_ = 0;
    sloestack::decision::EndpointId last_endpoint_ = 0;
    std::map<sloestack::decision::EndpointId, Endpoint> endpoints_;
    std::vector<Router> routers_;
    std::priority_queue<Pending, std::vector<Pending>, IsLater> pending_;
    bool discovery_up_ = true;
};

}  // namespace decision_trace
