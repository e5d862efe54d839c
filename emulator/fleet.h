// Emulates a fleet of endpoints on loopback, in replica groups, on the caller's event loop and deadlines, for
// any number of proxies. Each proxy reaches each endpoint at an address of its own, which identifies the
// proxy. Faults come from a script or from the caller; requests and results are reported to an EventSink.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "deadlines/deadlines.h"
#include "emulator/capacity.h"
#include "emulator/discovery.h"
#include "emulator/edge.h"
#include "emulator/event.h"
#include "emulator/replica_group_model.h"
#include "emulator/script.h"

namespace emulator {

using sloestack::Deadline;
using sloestack::Deadlines;
namespace net = sloestack::net;

struct FleetSettings {
    int banks = 2, members = 3;  // replica groups, and endpoints in each
    int part = 0, parts = 1;     // this object runs the replica groups whose number modulo `parts` is `part`
    ReplicaGroupModelSettings bank;
    int cores = 5;                                 // statements that an endpoint executes at once
    std::size_t queue = 128;                       // statements that wait; further ones are rejected
    std::size_t connections = 1'000'000;           // further ones are closed at once
    Micros connect_work = 0;                       // core time to set up a connection
    Micros least_work = 2'000, most_work = 6'000;  // core time of a read; a write takes 1.7 times as long
    Micros report_every = 100'000;                 // interval at which an endpoint updates its load report
    // Whether an endpoint checks the position that a read needs: if it lags behind, it waits up to `patience`
    // to catch up and then rejects the read (72000). Without, it responds from the data that it has.
    bool checks = false;
    Micros patience = 50'000;
    ColdSettings cold;
    Micros list_late = 900'000;    // from a crash or a return until discovery lists it
    Micros role_late = 3'000'000;  // the same for a new primary
    std::uint64_t seed = 1;
    std::vector<std::string> zones = {"walu-bay"};
    std::vector<std::string> hosts = {"127.0.0.1"};  // by proxy: the address of the endpoints
    int first_port = 0;  // of endpoint 0 on each host; 0: any free ports, with one host only
    std::vector<Fault> script;
};

// The number of an endpoint that replaces another one is this much higher than the other's.
constexpr int kGeneration = 1000;

class Fleet {
public:
    // The script starts now. `listed` is called with each entry that discovery is to list from then on, after
    // the listing delays; `restart` is called for Trouble::restart. Throws std::runtime_error if it cannot
    // listen on a port. All references must outlive this object.
    Fleet(net::Loop& loop, Deadlines& deadlines, const FleetSettings& settings, EventSink& event_sink,
          std::function<void(const Listed&)> listed, std::function<void(Micros down_for)> restart = {});
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    static int zone_of(const FleetSettings& settings, int member);  // index into `settings.zones`
    // Returns the initial list: all endpoints in service, the first of each replica group its primary.
    static std::vector<Listed> first_list(const FleetSettings& settings);
    static Listed first_listed(const FleetSettings& settings, int member);  // one entry of it
    std::vector<Listed> list() const;  // the endpoints that this object runs, with their ports

    // Begin or end a fault. Faults of replica groups that another part runs are ignored.
    void begin(const Fault& fault);
    void end(const Fault& fault);
    int primary(int bank);  // number of the endpoint, -1 while there is none
    Edge& edge(int proxy, int member);
    void edge_changed(int proxy, int member);
    // Closes the connections between the proxy and the endpoint.
    void reset(int proxy, int member);

    std::string member(int number) const;  // address at which the first proxy reaches it
    std::uint64_t attempts() const { return attempts_; }
    std::uint64_t probes() const { return probes_; }

private:
    class ProxyConnection;
    struct Job;
    struct Member;

    bool owns(int bank) const { return bank % settings_.parts == settings_.part; }
    Member& at(int bank, int member);
    void crash(Member& m);
    void start(Member& m);
    void on_connection(Member& m, int proxy, evutil_socket_t fd);
    void set_phase(Member& m, const char* phase);
    void update_listing(const Member& m);
    void update_listed_primaries();
    void on_statement(Member& m, ProxyConnection& connection, const std::string& statement, Time first_byte);
    void reject(Member& m, ProxyConnection& connection, const std::string& id, std::string_view code,
                const char* why);
    void on_startup(Member& m, ProxyConnection& connection);
    void wait_until_caught_up(Member& m, std::unique_ptr<Job> job);
    void enqueue(Member& m, std::unique_ptr<Job> job);
    void start_queued_jobs(Member& m);
    void on_job_done(Member& m, std::uint64_t number);
    void respond(Member& m, Job& job);
    std::string build_status(Member& m, Time position);
    std::string load_report(Member& m);
    int number_of(const Member& m) const;
    Event make_event(What what, const Member& m, int proxy) const;

    net::Loop& loop_;
    Deadlines& deadlines_;
    FleetSettings settings_;
    EventSink& event_sink_;
    std::function<void(const Listed&)> listed_;
    std::function<void(Micros)> restart_;
    Time started_at_;
    Random random_;
    std::vector<std::unique_ptr<ReplicaGroupModel>> groups_;
    std::vector<std::unique_ptr<Member>> members_;
    std::uint64_t attempts_ = 0, probes_ = 0, last_job_ = 0;
    std::vector<std::unique_ptr<Deadline>> script_;
    std::vector<Time> new_primary_at_;
    std::vector<int> listed_primary_, seen_primary_;
    Deadline role_timer_;
};

}  // namespace emulator
