// The proxy that scenarios are played against, and the listening sockets of its endpoints and of discovery.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "scenario.h"
#include "server/server.h"

class ScenarioProxy {
public:
    explicit ScenarioProxy(const ProxySetup& setup);
    ScenarioProxy(const ScenarioProxy&) = delete;
    ScenarioProxy& operator=(const ScenarioProxy&) = delete;
    ~ScenarioProxy();

    /// Runs one event-loop iteration of the proxy, and one of its successor if there is one.
    void run_once();
    void start_successor();
    bool is_successor_ready() const { return successor_->ready(); }
    /// Ends the first process at once. Its successor takes its place, or a new process if there is no
    /// successor.
    void kill();
    void stop() { server_->stop(); }
    bool is_stopped() const { return server_->is_stopped(); }
    /// Sends SIGHUP after changing the deploy file. `change` is `d2`, `unchanged` or `invalid` (see
    /// scenario.h).
    void reload(const std::string& change);

    /// Connects to the hot restart socket of the newest process. The caller owns the descriptor.
    int connect_as_other_process() const;

    std::uint16_t client_port() const { return newest().port(); }
    std::uint16_t admin_port() const { return server_->admin_port(); }
    std::uint16_t newest_admin_port() const { return newest().admin_port(); }
    /// Listening sockets by name: m1, m2 and so on, d and d2.
    const std::map<std::string, int>& listeners() const { return listeners_; }
    /// Returns the entry of an endpoint in endpoint lists, with the phase in_service.
    const nlohmann::json& entry(const std::string& endpoint) const { return entries_.at(endpoint); }

private:
    const sloestack::server::Server& newest() const { return successor_ ? *successor_ : *server_; }
    std::unique_ptr<sloestack::server::Server> make_server() const;
    sloestack::config::Config read_config() const;

    nlohmann::json deploy_file_;
    std::string second_discovery_address_;
    std::map<std::string, int> listeners_;
    std::map<std::string, nlohmann::json> entries_;
    int inherited_socket_ = -1;
    std::string scratch_folder_;  // contains the hot restart socket
    std::unique_ptr<sloestack::server::Server> server_;
    std::unique_ptr<sloestack::server::Server> successor_;
};
