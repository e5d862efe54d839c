// The proxy that scenarios are played against, with the listening sockets of its members and of discovery.
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

    /// One iteration of the event loop of the proxy, and of its successor where there is one.
    void run_once();
    void start_successor();
    bool successor_ready() const { return successor_->ready(); }
    /// Ends the first process at once; its successor takes its place, or a new process where there is none.
    void kill();
    void stop() { server_->stop(); }
    bool over() const { return server_->is_stopped(); }
    /// SIGHUP with another deploy file: `d2`, `same` or `nonsense`.
    void reload(const std::string& file);

    std::uint16_t client_port() const { return newest().port(); }
    std::uint16_t admin_port() const { return server_->admin_port(); }
    std::uint16_t newest_admin_port() const { return newest().admin_port(); }
    /// Listening sockets by actor: m1, m2 and so on, d and d2.
    const std::map<std::string, int>& listeners() const { return listeners_; }
    /// The entry of a member in endpoint lists, in service.
    const nlohmann::json& entry(const std::string& member) const { return entries_.at(member); }

private:
    const sloestack::server::Server& newest() const { return successor_ ? *successor_ : *server_; }
    std::unique_ptr<sloestack::server::Server> make_server() const;
    sloestack::config::Config read_config() const;

    nlohmann::json deploy_file_;
    std::string second_discovery_;  // its address
    std::map<std::string, int> listeners_;
    std::map<std::string, nlohmann::json> entries_;
    int inherited_socket_ = -1;
    std::string scratch_folder_;  // of the sockets between a process and its successor
    std::unique_ptr<sloestack::server::Server> server_;
    std::unique_ptr<sloestack::server::Server> successor_;
};
