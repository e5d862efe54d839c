// Plays one run: starts the parts and the proxies, carries out what is done to processes, and ends them all.
// Every wait ends on an event; the limits only end a hang.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/readiness.h"
#include "fault_harness/channel.h"
#include "fault_harness/folder.h"
#include "fault_harness/process.h"
#include "fault_harness/record.h"

namespace fault_harness {

struct RunSettings {
    std::string folder;  // there already, and empty
    std::string proxy;   // the program's path: words behind it are "serve"
    Plan plan;
};

class Conductor {
public:
    explicit Conductor(const RunSettings& settings);
    ~Conductor();
    Conductor(const Conductor&) = delete;
    Conductor& operator=(const Conductor&) = delete;

    // Throws std::runtime_error where a part or a proxy does not come up, a part ends early, or something
    // hangs.
    void play();

private:
    struct Part;
    struct Proxy;

    void take_block();
    void start_parts();
    std::string config_path(int number) const;
    void write_config(int number);
    void start_proxy(int number);
    void proxy_ended(int number, int status);
    void reap();
    void schedule();
    void begin(const Step& step);
    void end(const Step& step);
    void seen(int proxy, const char* word);
    void fault(const std::string& word);
    // Takes turns until it holds; std::runtime_error saying `what` after the limit.
    template <class Holds>
    void until(const char* what, Micros limit, Holds holds);

    RunSettings settings_;
    Run run_;
    sloestack::Clock clock_;
    sloestack::net::Loop loop_;
    sloestack::Deadlines deadlines_{clock_};
    emulator::Random random_{1};
    Recorder recorder_;
    std::vector<emulator::Listed> members_;  // as the run begins: the list that proxies start with
    int lock_ = -1;                          // holds the block of addresses
    std::vector<std::unique_ptr<Part>> parts_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    bool ending_ = false;
    std::string failure_;
};

}  // namespace fault_harness
