// The whole proxy, put together from its packages; main and the network tests both run this.
#pragma once

#include <functional>

#include "admin_server/admin_server.h"
#include "config/config.h"
#include "connection_pool/connection_pool.h"
#include "discovery/discovery_watch.h"
#include "discovery/endpoint_list_parser.h"
#include "dispatch_loop/dispatch_loop.h"
#include "exclusions/exclusions.h"
#include "hot_restart/hot_restart.h"
#include "metrics/metrics.h"
#include "sessions/client_listener.h"
#include "transport/descriptor_quota.h"
#include "transport/loop.h"
#include "transport/memory_budget.h"

namespace sloestack::server {

class Server final : private admin::AdminHandler, private hot_restart::HotRestartHandler {
public:
    // Throws config::ConfigError, or std::runtime_error where the address cannot be listened on. The clock
    // outlives it.
    explicit Server(const config::Config& config, const Clock& clock = system_clock());

    // Waits for something to happen, `at_most` that long, and deals with all that has.
    void turn(Micros at_most);
    // SIGTERM and SIGINT stop it; at SIGHUP it takes over what `load` says anew.
    void obey_signals(std::function<config::Config()> load);
    void stop() { client_listener_->stop(hot_restart_ && hot_restart_->has_successor()); }
    bool over() const { return client_listener_->is_stopped(); }
    // Whether a list is held and clients are accepted.
    bool ready() const override {
        return dispatch_loop_.has_ready_endpoints() && client_listener_ && client_listener_->is_accepting();
    }
    std::uint16_t port() const { return client_listener_->port(); }
    std::uint16_t control_port() const { return admin_server_->port(); }  // where there is such a door

private:
    static const Clock& system_clock();
    void reload(const config::Config& fresh);
    void report();

    // What operators call
    std::string metrics_json() const override;
    bool was_ever_listed(const std::string& endpoint) const override {
        return lists_.was_ever_listed(endpoint);
    }
    void exclude(const std::string& member, Done done) override;
    void include(const std::string& member, Done done) override;
    void pass_on(bool out, const std::string& member, Done done);

    // What the processes of one proxy hand on and share
    const std::set<std::string>& excluded_endpoints() const override { return exclusions_.excluded(); }
    void on_exclusion_update(const std::string& endpoint, bool excluded) override;
    void on_process_count(int processes) override;
    bool is_within_share() const override { return !clients_.is_exceeded() && !members_.is_exceeded(); }
    void on_handover_complete() override;

    net::Loop loop_;
    Deadlines deadlines_;
    int sockets_;
    std::int64_t memory_mb_;
    net::DescriptorQuota clients_, overflow_, lingering_, members_;
    net::ByteAccount account_;  // of what clients have sent and not had answered, or been sent and not taken
    net::MemoryBudget large_statement_budget_;
    metrics::RequestMetrics numbers_;
    dispatch::DispatchLoop dispatch_loop_;
    exclusions::Exclusions exclusions_{dispatch_loop_};
    upstream::ConnectionPool pool_;
    discovery::EndpointListParser lists_;
    discovery::EndpointList known_;  // until it begins
    std::unique_ptr<discovery::DiscoveryWatch> watch_;
    std::string discovery_;  // as the file named it last
    bool begun_ = false;
    bool waits_for_list_;  // clients are let in once discovery has been heard, or has failed to answer
    std::unique_ptr<downstream::ClientListener> client_listener_;
    std::unique_ptr<admin::AdminServer> admin_server_;
    std::unique_ptr<hot_restart::HotRestart> hot_restart_;
    Deadline report_;
    std::uint64_t told_ = 0;  // how much had been counted when the log last told the figures
};

}  // namespace sloestack::server
