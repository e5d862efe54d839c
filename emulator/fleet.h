// A fleet of stand-in members on loopback, in banks, on the caller's event loop and deadlines, for any number
// of proxies: each reaches each member at an address of its own, by which the two are told apart. What goes
// wrong comes from a script, or from the caller; what was sent and done goes to a witness.
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
    int banks = 2, members = 3;
    int part = 0, parts = 1;  // this fleet has the banks whose number leaves `part` when divided by `parts`
    ReplicaGroupModelSettings bank;
    int cores = 5;                                 // requests worked on at once by a member
    std::size_t queue = 128;                       // and waiting; more are turned away
    std::size_t connections = 1'000'000;           // more are closed at once
    Micros connect_work = 0;                       // what a new connection costs a core
    Micros least_work = 2'000, most_work = 6'000;  // of a read; a write takes 1.7 times as much
    Micros report_every = 100'000;
    // Whether a member turns away (72000) a read that it is too far behind for, once it has waited so long to
    // catch up; without, it answers from what it has.
    bool checks = false;
    Micros patience = 50'000;
    ColdSettings cold;
    Micros list_late = 900'000;    // from a crash or a return to its listing
    Micros role_late = 3'000'000;  // the same of a new primary
    std::uint64_t seed = 1;
    std::vector<std::string> zones = {"walu-bay"};
    std::vector<std::string> hosts = {"127.0.0.1"};  // where each proxy reaches members
    int first_port = 0;                              // of member 0 there; 0: any that are free, one host only
    std::vector<Fault> script;
};

// Of a member that has taken another's place its number is that much higher than the other's.
constexpr int kGeneration = 1000;

class Fleet {
public:
    // Its time begins now. `listed` is told what discovery is to say of its members, late as it is; `restart`
    // is called for Trouble::restart. Throws std::runtime_error where there is no port to be had.
    Fleet(net::Loop& loop, Deadlines& deadlines, const FleetSettings& settings, EventSink& witness,
          std::function<void(const Listed&)> listed, std::function<void(Micros down_for)> restart = {});
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    static int zone_of(const FleetSettings& settings, int member);  // an index into its zones
    // How the list begins: all members in service, the first of each bank its primary.
    static std::vector<Listed> first_list(const FleetSettings& settings);
    static Listed first_listed(const FleetSettings& settings, int member);  // one of it
    std::vector<Listed> list() const;  // of this fleet's own members, with their ports

    // Begins or ends what has gone wrong; `member` is -1 for none.
    void begin(const Fault& fault);
    void end(const Fault& fault);
    int primary(int bank);  // the number of its member, -1 while there is none
    Edge& edge(int proxy, int member);
    void edge_changed(int proxy, int member);
    // Connections between them are reset.
    void reset(int proxy, int member);

    std::string member(int number) const;  // the address at which the first proxy reaches it
    std::uint64_t attempts() const { return attempts_; }
    std::uint64_t probes() const { return probes_; }

private:
    class Peer;
    struct Job;
    struct Member;

    bool mine(int bank) const { return bank % settings_.parts == settings_.part; }
    Member& at(int bank, int member);
    void crash(Member& m);
    void start(Member& m);
    void accepted(Member& m, int proxy, evutil_socket_t fd);
    void changed(Member& m, const char* phase);
    void tell(const Member& m);
    void watch_roles();
    void asked(Member& m, Peer& peer, const std::string& statement, Time first_byte);
    void turn_away(Member& m, Peer& peer, const std::string& id, std::string_view code, const char* why);
    void greet(Member& m, Peer& peer);
    void hold_back(Member& m, std::unique_ptr<Job> job);
    void enqueue(Member& m, std::unique_ptr<Job> job);
    void work(Member& m);
    void done(Member& m, std::uint64_t number);
    void answer(Member& m, Job& job);
    std::string parameters(Member& m, Time position);
    std::string report(Member& m);
    int number_of(const Member& m) const;
    Event event(What what, const Member& m, int proxy) const;

    net::Loop& loop_;
    Deadlines& deadlines_;
    FleetSettings settings_;
    EventSink& witness_;
    std::function<void(const Listed&)> listed_;
    std::function<void(Micros)> restart_;
    Time begun_;
    Random random_;
    std::vector<std::unique_ptr<ReplicaGroupModel>> banks_;
    std::vector<std::unique_ptr<Member>> members_;
    std::uint64_t attempts_ = 0, probes_ = 0, last_job_ = 0;
    std::vector<std::unique_ptr<Deadline>> script_;
    std::vector<Time> new_primary_at_;
    std::vector<int> listed_primary_, seen_primary_;
    Deadline roles_;
};

}  // namespace emulator
