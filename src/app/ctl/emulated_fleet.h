// Stand-ins and a proxy of their own, on loopback: what demo and rehearse play against. The proxy is the
// program itself, started as a child beside this one, so that it can be killed and started again.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "deadlines/deadlines.h"
#include "emulator/checker.h"
#include "emulator/fleet.h"
#include "fault_harness/process.h"
#include "transport/loop.h"

namespace sloestack::ctl {

struct RigSettings {
    emulator::FleetSettings fleet;
    bool verbose = false;  // the proxy's log goes to standard error
    int sockets = 8192;
    emulator::Rules rules;
};

class Rig {
public:
    // Returns once the proxy answers. Throws std::runtime_error where it does not come up.
    explicit Rig(const RigSettings& settings);
    ~Rig();  // ends the proxy, and only that
    Rig(const Rig&) = delete;
    Rig& operator=(const Rig&) = delete;

    sockaddr_in proxy() const { return address_; }
    std::string proxy_text() const;
    net::Loop& loop() { return loop_; }
    Deadlines& deadlines() { return deadlines_; }
    emulator::Checker& checker() { return checker_; }
    emulator::Fleet& fleet() { return *fleet_; }
    std::string discovery() const { return discovery_->address(); }
    // Takes turns until it holds; `work` is done in each.
    void run(const std::function<bool()>& until, const std::function<void()>& work = {});
    // SIGTERM, and whether the proxy then ended with 0.
    bool stop();
    std::int64_t resident_kb() const { return process_.resident_kb(); }  // 0 where it cannot be told

private:
    void start();
    void kill_for(Micros down_for);
    void turn();

    RigSettings settings_;
    Clock clock_;
    net::Loop loop_;
    Deadlines deadlines_{clock_};
    emulator::Checker checker_;
    std::unique_ptr<emulator::Discovery> discovery_;
    std::unique_ptr<emulator::Fleet> fleet_;
    Deadline lost_, found_;
    sockaddr_in address_{};
    std::string folder_;
    fault_harness::Process process_;
    Deadline again_;
};

}  // namespace sloestack::ctl
