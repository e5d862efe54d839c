// Runs one scenario: starts the parts (the discovery, endpoint and client processes) and the proxies, applies
// the faults that concern proxy processes, and stops all processes. Every wait ends on an event; the
// time-outs only bound a hang.
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
    std::string folder;  // must exist and be empty
    std::string proxy;   // path of the sloestack program; it is started with the argument "serve"
    std::vector<std::string> environment;  // NAME=value, for the proxies
    Plan plan;
};

class Conductor {
public:
    explicit Conductor(const RunSettings& settings);
    ~Conductor();
    Conductor(const Conductor&) = delete;
    Conductor& operator=(const Conductor&) = delete;

    // Runs the scenario to its end. Throws std::runtime_error if a part or proxy does not become ready, a
    // part exits early, or a wait times out.
    void run();

private:
    struct Part;
    struct Proxy;

    void reserve_address_block();
    void start_parts();
    std::string config_path(int number, int start) const;
    void write_config(int number, int start);
    void move_discovery(int number);
    void start_proxy(int number);
    void proxy_ended(int number, int status);
    void reap();
    void schedule();
    void open_listening_socket(int number);
    void begin_hot_restart(int number, const FaultStep& step);
    void end_hot_restart(int number, const FaultStep& step);
    void predecessor_ended(int number, int status);
    void begin(const FaultStep& step);
    void end(const FaultStep& step);
    void stop_proxy(int number);
    void continue_proxy(int number);
    void record_process(int proxy, const char* word);
    void record_fault(const std::string& word);
    // Runs event-loop iterations until `is_done` returns true. Throws std::runtime_error with message `what`
    // after `limit`.
    template <class Predicate>
    void run_until(const char* what, Micros limit, Predicate is_done);

    RunSettings settings_;
    Run run_;
    sloestack::Clock clock_;
    sloestack::net::Loop loop_;
    sloestack::Deadlines deadlines_{clock_};
    emulator::Random random_{1};
    Recorder recorder_;
    std::vector<emulator::Listed>
        initial_endpoints_;   // the endpoint list at the start of the run; proxies start with it
    int block_lock_fd_ = -1;  // socket whose bound port reserves the address block
    std::vector<std::unique_ptr<Part>> parts_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    bool shutting_down_ = false;
    std::string failure_;
};

}  // namespace fault_harness
