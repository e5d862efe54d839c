// Runs the shipped program as a process of its own, in real time. The test acts as its clients, endpoints and
// discovery, and can signal it and make its system calls fail.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "deadlines/clock.h"
#include "emulated_peers.h"
#include "loopback.h"

namespace process_test {

using integration::Micros;
using integration::Time;

constexpr Micros kMillisecond = 1000;

struct ProcessOptions {
    nlohmann::json settings = integration::make_settings();
    int descriptors = integration::kDefaultDescriptors;
    int memory_mb = integration::kDefaultMemoryMb;
    /// Faults that fault_shim.cpp injects into the process's system calls, as NAME=value.
    std::vector<std::string> faults = {};
};

class ProxyProcess : private sloestack::Clock, public integration::EmulatedPeers {
public:
    /// Starts the program and waits until it accepts requests.
    explicit ProxyProcess(const ProcessOptions& options = {});
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess&) = delete;
    ProxyProcess& operator=(const ProxyProcess&) = delete;

    void signal(int number) const;
    /// Returns true once the process has exited.
    bool has_exited();
    /// Returns the status of waitpid after the process has exited.
    int exit_status() const { return exit_status_; }

    /// Connects a client, without sending anything.
    loopback::Peer connect() const { return loopback::connect_to(port_); }
    /// The same; the connection is not open if the process does not listen any more.
    loopback::Peer try_to_connect() const { return loopback::try_to_connect_to(port_); }
    /// Connects a client that sends its start-up message and one request.
    loopback::Peer connect_and_request(const std::string& id, Micros deadline,
                                       const char* request_class = "read") const;
    /// Opens `count` sessions that are in use: each has sent a part of its first request.
    std::vector<loopback::Peer> open_busy_sessions(int count) const;

    /// Leaves connections to the endpoints open and idle, so that attempts begin without a delay.
    void open_idle_endpoint_connections();
    /// The emulated peers run for this time; endpoints respond unless `endpoints_hang` is set.
    void run_for(Micros duration);
    /// The emulated peers run until `condition` holds. Returns false if that takes longer than `limit`.
    template <class Condition>
    bool run_until(Condition condition, Micros limit) {
        for (const Time end = now() + limit; !condition();) {
            if (now() > end) return false;
            run_for(kMillisecond);
        }
        return true;
    }

    Time now() const override { return Clock::now(); }
    /// Returns the highest resident memory of the process so far, in KiB.
    int peak_memory_kb() const;
    /// Returns what the process has logged so far.
    std::string log() const;

    bool endpoints_hang = false;

private:
    void start(const std::vector<std::string>& faults);

    std::uint16_t port_;
    std::string folder_;
    pid_t id_ = -1;
    int exit_status_ = 0;
};

/// Returns the number of sessions that fill all descriptors for clients of a process with this limit.
int session_limit(int descriptors);
/// Returns whether the client has received a response with a row, or an error with this SQLSTATE.
bool has_row(loopback::Peer& client);
bool has_error(loopback::Peer& client, const std::string& sqlstate);
/// Returns how many errors the client has received.
int error_count(loopback::Peer& client);
/// Returns the values of the rows that the client has received.
std::vector<std::string> values(loopback::Peer& client);
/// Returns whether the client has received a ReadyForQuery.
bool is_ready(loopback::Peer& client);
/// Returns the key for a CancelRequest from the client's start-up response.
std::pair<std::uint32_t, std::uint32_t> cancel_key(loopback::Peer& client);

}  // namespace process_test
