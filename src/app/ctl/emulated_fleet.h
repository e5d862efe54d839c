// Emulated endpoints and discovery with a real proxy in front of them, all on loopback, for the commands demo
// and rehearse. The proxy is the sloestack program, run as a child process so that it can be killed and
// restarted.
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

struct EmulatedFleetSettings {
    emulator::FleetSettings fleet;
    bool verbose = false;  // pass the proxy's output through to this program's
    int sockets = 8192;
    emulator::Rules rules;
};

class EmulatedFleet {
public:
    // Starts the emulators and the proxy and returns once the proxy is ready. Throws std::runtime_error if
    // the proxy does not become ready.
    explicit EmulatedFleet(const EmulatedFleetSettings& settings);
    ~EmulatedFleet();  // kills the proxy and deletes its configuration folder
    EmulatedFleet(const EmulatedFleet&) = delete;
    EmulatedFleet& operator=(const EmulatedFleet&) = delete;

    sockaddr_in proxy() const { return address_; }
    std::string proxy_address_text() const;
    net::Loop& loop() { return loop_; }
    Deadlines& deadlines() { return deadlines_; }
    emulator::Checker& checker() { return checker_; }
    emulator::Fleet& fleet() { return *fleet_; }
    std::string discovery() const { return discovery_->address(); }
    // Runs event-loop iterations until `until` returns true. Calls `work`, if set, before each iteration.
    void run(const std::function<bool()>& until, const std::function<void()>& work = {});
    // Sends SIGTERM to the proxy. Returns true if it exits with status 0 within 10 s.
    bool stop_proxy();
    std::int64_t resident_kb() const { return process_.resident_kb(); }  // 0 if unknown

private:
    void start_proxy();
    void kill_and_restart_after(Micros down_for);
    void run_iteration();

    EmulatedFleetSettings settings_;
    Clock clock_;
    net::Loop loop_;
    Deadlines deadlines_{clock_};
    emulator::Checker checker_;
    std::unique_ptr<emulator::Discovery> discovery_;
    std::unique_ptr<emulator::Fleet> fleet_;
    Deadline discovery_loss_, discovery_recovery_;
    sockaddr_in address_{};
    std::string folder_;
    fault_harness::Process process_;
    Deadline restart_deadline_;
};

}  // namespace sloestack::ctl
