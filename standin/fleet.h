// A fleet of stand-ins on loopback: members in banks and the discovery that lists them, on the caller's event
// loop and deadlines. What goes wrong comes from a script. One proxy is expected; what it was told and sent
// is checked.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "deadlines/deadlines.h"
#include "net/connection.h"
#include "standin/bank.h"
#include "standin/checker.h"
#include "standin/script.h"

namespace standin {

using sloestack::Deadline;
using sloestack::Deadlines;
namespace net = sloestack::net;

struct FleetSettings {
    int banks = 2, members = 3;
    BankSettings bank;
    int cores = 5;                                 // requests worked on at once by a member
    std::size_t queue = 128;                       // and waiting; more are turned away
    Micros least_work = 2'000, most_work = 6'000;  // of a read; a write takes 1.7 times as much
    Micros report_every = 100'000;
    Micros list_late = 900'000;    // from a crash or a return to its listing
    Micros role_late = 3'000'000;  // the same of a new primary
    std::uint64_t seed = 1;
    std::vector<Fault> script;
};

class Fleet {
public:
    // Listens on ephemeral ports of 127.0.0.1; its time begins now. `restart` is called for Trouble::restart.
    // Throws std::runtime_error where there is no port to be had.
    Fleet(net::Loop& loop, Deadlines& deadlines, const FleetSettings& settings, Checker& checker,
          std::function<void(Micros down_for)> restart = {});
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    std::string member(int number) const;  // an address, numbered through all banks from 0
    std::string discovery() const;         // its address
    std::string list(bool complete, std::int64_t after) const;  // as discovery would tell it
    std::int64_t revision() const { return revision_; }
    std::uint64_t attempts() const { return attempts_; }
    std::uint64_t probes() const { return probes_; }

private:
    class Peer;
    struct Job;
    struct Member;
    class Call;

    void begin(const Fault& fault);
    void end(const Fault& fault);
    void crash(Member& m);
    void start(Member& m);
    void changed(Member& m, const char* phase);
    void watch_roles();
    void tell_watches();
    void told(std::int64_t after);
    void asked(Member& m, Peer& peer, const std::string& statement, Time first_byte);
    void work(Member& m);
    void done(Member& m, std::uint64_t number);
    void answer(Member& m, Job& job);
    std::string parameters(Member& m, Time position);
    std::string report(Member& m);
    int number_of(const Member& m) const;

    net::Loop& loop_;
    Deadlines& deadlines_;
    FleetSettings settings_;
    Checker& checker_;
    std::function<void(Micros)> restart_;
    Time begun_;
    std::vector<std::unique_ptr<Bank>> banks_;
    std::vector<std::unique_ptr<Member>> members_;
    std::unique_ptr<net::Listener> discovery_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::int64_t revision_ = 1;
    bool lost_ = false;
    std::uint64_t attempts_ = 0, probes_ = 0, last_job_ = 0;
    std::vector<std::unique_ptr<Deadline>> script_;
    std::vector<Time> new_primary_at_;
    std::vector<int> listed_primary_, seen_primary_;
    Deadline roles_;
};

}  // namespace standin
