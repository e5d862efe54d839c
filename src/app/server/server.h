// The proxy: constructs and connects its packages and runs
// its event loop. Used by main and by the network tests.
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
    // Throws config::ConfigError, or std::runtime_error if an address cannot be listened on. The clock is not
    // owned and must outlive the server.
    explicit Server(const config::Config& config, const Clock& clock = system_clock());

    // Runs one iteration of the event loop: waits up to
    // `max_wait_us` for an event and handles all pending events.
    void run_iteration(Micros max_wait_us);
    // Installs signal handlers: SIGTERM and SIGINT stop the
    // server, SIGHUP reloads the configuration with `load`.
    void handle_signals(std::function<config::Config()> load);
    // Stops accepting clients; the server has stopped once all clients have received their responses.
    void stop() { client_listener_->stop(hot_restart_ && hot_restart_->has_successor()); }
    bool is_stopped() const { return client_listener_->is_stopped(); }
    // Returns whether an endpoint is ready and clients are accepted.
    bool ready() const override {
        return dispatch_loop_.has_ready_endpoints() && client_listener_ && client_listener_->is_accepting();
    }
    std::uint16_t port() const { return client_listener_->port(); }
    // Must be called only if the configuration has an admin address.
    std::uint16_t admin_port() const { return admin_server_->port(); }

private:
    static const Clock& system_clock();
    void reload(const config::Config& reloaded);
    // Logs newly broken invariants and changed metrics, and schedules its next run.
    void report();
    void log_table_sizes() const;
    // Called when the event loop has run late by `delay`.
    void catch_up(Micros delay);
    std::unique_ptr<discovery::DiscoveryWatch> make_discovery_watch(
        const config::Config& config, std::optional<std::int64_t> known_revision);
    std::unique_ptr<downstream::ClientListener> make_client_listener(const config::Config& config);
    // Sends the update to the other processes of this proxy. Calls `done` as
    // HotRestart::send_exclusion_update does, or at once if hot restart is not in use.
    void share_exclusion(const std::string& endpoint, bool excluded, Done done);

    // AdminHandler
    std::string metrics_json() const override;
    bool was_ever_listed(const std::string& endpoint) const override {
        return list_parser_.was_ever_listed(endpoint);
    }
    void exclude(const std::string& endpoint, Done done) override;
    void include(const std::string& endpoint, Done done) override;

    // HotRestartHandler
    const std::set<std::string>& excluded_endpoints() const override { return exclusions_.excluded(); }
    void on_exclusion_update(const std::string& endpoint, bool excluded) override;
    void on_process_count(int processes) override;
    void on_session_write(const decision::SessionWrite& write) override {
        dispatch_loop_.on_session_write(write);
    }
    void on_session_write_reports(bool are_complete) override {
        dispatch_loop_.on_session_write_reports({are_complete});
    }
    bool is_within_share() const override {
        return !client_quota_.is_exceeded() && !endpoint_quota_.is_exceeded();
    }
    void on_cancel_request(const hot_restart::CancelRequest& request) override {
        client_listener_->cancel({request.process, request.secret});
    }
    std::vector<std::uint64_t> request_ids() const override { return client_listener_->request_ids(); }
    void on_request_id(std::uint64_t hash) override { client_listener_->on_request_id(hash); }
    void on_handover_complete() override;

    net::Loop loop_;
    Deadlines deadlines_;
    int max_sockets_;
    std::int64_t memory_mb_;
    net::DescriptorQuota client_quota_;     // for clients that are served
    net::DescriptorQuota overflow_quota_;   // for clients whose requests are only rejected
    net::DescriptorQuota lingering_quota_;  // for clients in a lingering close
    net::DescriptorQuota endpoint_quota_;   // for connections to endpoints
    net::ByteAccount client_bytes_;         // bytes buffered for clients, in both directions
    net::MemoryBudget large_statement_budget_;
    metrics::RequestMetrics metrics_;
    dispatch::DispatchLoop dispatch_loop_;
    exclusions::Exclusions exclusions_{dispatch_loop_};
    upstream::ConnectionPool pool_;
    discovery::EndpointListParser list_parser_;
    std::unique_ptr<discovery::DiscoveryWatch> watch_;
    std::string discovery_in_file_;  // Config::discovery_in_file of the last load
    bool is_serving_ = false;
    bool waits_for_discovery_;  // whether clients are not accepted before the first poll has completed
    std::unique_ptr<downstream::ClientListener> client_listener_;
    std::unique_ptr<admin::AdminServer> admin_server_;
    std::unique_ptr<hot_restart::HotRestart> hot_restart_;
    Deadline report_timer_;
    std::uint64_t logged_total_ = 0;          // RequestMetrics::total() when the metrics were last logged
    std::uint64_t logged_session_total_ = 0;  // SessionMetrics::total(), likewise
};

}  // namespace sloestack::server
