#include "server/server.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "discovery_poll_schedule.h"
#include "invariant/invariant.h"
#include "log/log.h"
#include "server/derived_settings.h"

namespace sloestack::server {
namespace {

constexpr Micros kReportIntervalUs = 10'000'000;
#ifdef NDEBUG
constexpr bool kIsDebugBuild = false;
#else
constexpr bool kIsDebugBuild = true;
#endif
discovery::EndpointList parse_known_list(discovery::EndpointListParser& parser, const nlohmann::json& known) {
    if (known.is_null()) return {};
    try {
        return parser.parse(known);
    } catch (const std::runtime_error& error) {
        throw config::ConfigError("known", error.what());
    }
}

std::optional<std::int64_t> known_revision(const config::Config& config,
                                           const discovery::EndpointList& known) {
    return config.known.is_null() ? std::nullopt : std::optional(known.revision);
}

// Where the processes of one proxy find each other.
std::string hot_restart_path(const config::Config& config) {
    auto name = config.name;
    std::replace(name.begin(), name.end(), '/', '_');
    return config.scratch + "/sloestack-" + name;
}

}  // namespace

const Clock& Server::system_clock() {
    static const Clock clock;
    return clock;
}

Server::Server(const config::Config& config, const Clock& clock)
    : deadlines_(clock),
      max_sockets_(config.sockets),
      memory_mb_(config.memory_mb),
      client_quota_(net::divide_descriptors(config.sockets).clients),
      overflow_quota_(net::divide_descriptors(config.sockets).overflow),
      lingering_quota_(net::divide_descriptors(config.sockets).lingering),
      endpoint_quota_(net::divide_descriptors(config.sockets).upstream),
      client_bytes_(net::client_memory_limit_bytes(config.memory_mb)),
      large_statement_budget_(net::client_memory_limit_bytes(config.memory_mb)),
      metrics_(config.settings.class_names),
      dispatch_loop_(deadlines_, router_settings(config.settings.router), config.seed, metrics_),
      pool_(loop_, deadlines_, endpoint_quota_, pool_settings(loop_, config.settings), dispatch_loop_,
            metrics_),
      list_parser_(config.settings.zone_names),
      known_list_(parse_known_list(list_parser_, config.known)),
      discovery_in_file_(config.discovery_in_file),
      waits_for_discovery_(!config.settings.router.discovery_is_polled) {
    watch_ = make_discovery_watch(config);
    dispatch_loop_.set_targets(
        {pool_, [this] { watch_->start(); },
         [this](auto kind, const auto& entries) { pool_.update_endpoints(kind, entries); }});
    client_listener_ = make_client_listener(config);
    if (config.control)
        admin_server_ = std::make_unique<admin::AdminServer>(loop_, deadlines_, *config.control,
                                                             static_cast<admin::AdminHandler&>(*this));
    if (config.passed_socket && !config.scratch.empty()) {
        hot_restart_ = std::make_unique<hot_restart::HotRestart>(
            loop_, deadlines_, hot_restart_path(config), static_cast<hot_restart::HotRestartHandler&>(*this));
        hot_restart_->start();
    } else {
        on_handover_complete();
    }
    report();
}

std::unique_ptr<discovery::DiscoveryWatch> Server::make_discovery_watch(const config::Config& config) {
    const decision::PollTimeouts timeouts(router_settings(config.settings.router), config.seed);
    return std::make_unique<discovery::DiscoveryWatch>(
        loop_, deadlines_, config.discovery, config.discovery_host, list_parser_,
        known_revision(config, known_list_), exclusions_, timeouts);
}

std::unique_ptr<downstream::ClientListener> Server::make_client_listener(const config::Config& config) {
    const auto& router = config.settings.router;
    const downstream::ClientListener::Quotas quotas{client_quota_, overflow_quota_, lingering_quota_};
    const downstream::ListenEndpoint listen_endpoint{config.listen, config.passed_socket};
    return std::make_unique<downstream::ClientListener>(
        loop_, deadlines_, quotas, client_bytes_, large_statement_budget_, metrics_, listen_endpoint,
        dispatch_loop_, config.settings.class_names, overlap_allowed(router), uses_sessions(router),
        longest_deadline(router), config.seed);
}

// ---- HotRestartHandler ----
// The list comes after the exclusions: nothing is ever sent to an endpoint that was excluded at a
// predecessor.
void Server::on_handover_complete() {
    exclusions_.on_endpoint_list(decision::EndpointListKind::cached, std::move(known_list_.endpoints));
    is_serving_ = true;
    dispatch_loop_.run_iteration();
    if (!waits_for_discovery_) client_listener_->open();
}

void Server::on_process_count(int processes) {
    const auto shares = net::divide_descriptors(max_sockets_ / processes);
    client_quota_.set_limit(shares.clients);
    overflow_quota_.set_limit(shares.overflow);
    lingering_quota_.set_limit(shares.lingering);
    endpoint_quota_.set_limit(shares.upstream);
    client_bytes_.set_limit(net::client_memory_limit_bytes(memory_mb_) / static_cast<std::size_t>(processes));
    large_statement_budget_.set_limit(net::client_memory_limit_bytes(memory_mb_) /
                                      static_cast<std::size_t>(processes));
    client_listener_->shrink_to_quota();
    pool_.shrink_to_quota();
}

void Server::on_exclusion_update(const std::string& endpoint, bool excluded) {
    if (excluded)
        exclusions_.exclude(endpoint);
    else
        exclusions_.include(endpoint);
}

// ---- AdminHandler ----
std::string Server::metrics_json() const {
    metrics::Gauges gauges;
    gauges.open_requests = dispatch_loop_.open_request_count();
    gauges.listed_endpoints = exclusions_.listed_count();
    gauges.avoided_endpoints =
        exclusions_.listed_and_excluded_count() + dispatch_loop_.ejected_endpoint_count();
    return metrics_.to_json(gauges);
}

void Server::exclude(const std::string& endpoint, Done done) {
    exclusions_.exclude(endpoint);
    share_exclusion(endpoint, true, std::move(done));
}

void Server::include(const std::string& endpoint, Done done) {
    exclusions_.include(endpoint);
    share_exclusion(endpoint, false, std::move(done));
}

void Server::share_exclusion(const std::string& endpoint, bool excluded, Done done) {
    if (!hot_restart_) return done();
    hot_restart_->send_exclusion_update(endpoint, excluded, std::move(done));
}

// ---- the event loop ----
void Server::run_iteration(Micros at_most) {
    if (const auto next = deadlines_.next()) at_most = std::min(at_most, *next - deadlines_.now());
    loop_.run_once(at_most);
    dispatch_loop_.run_iteration();
    // Where lists are pushed, clients are accepted once the local agent has answered or failed.
    if (waits_for_discovery_ && is_serving_ && watch_->has_completed_poll()) {
        waits_for_discovery_ = false;
        client_listener_->open();
    }
    loop_.end_iteration();
}

void Server::handle_signals(std::function<config::Config()> load) {
    for (const int signal : {SIGTERM, SIGINT}) loop_.on_signal(signal, [this] { stop(); });
    loop_.on_signal(SIGHUP, [this, load = std::move(load)] {
        // A file that cannot be used changes nothing: an error in it must not end a proxy that serves.
        try {
            reload(load());
        } catch (const std::exception& error) {
            log::line("not reloaded", error.what());
        }
    });
}

// Only discovery's address can change while running; the rest of the file takes effect at the next start. The
// file is used here even where EDGE_DISCOVERY was set: the environment of a running process cannot be
// changed.
void Server::reload(const config::Config& fresh) {
    const auto& named = fresh.discovery_in_file;
    if (named.empty() || named == discovery_in_file_) return log::line("reloaded", "nothing has changed");
    const auto at = config::discovery_address(named);
    discovery_in_file_ = named;
    log::line("reloaded", "discovery is at " + named);
    watch_->change_address(at, named);
}

// Sizes of whatever could grow without bound with ids, names or connections.
void Server::log_table_sizes() const {
    log::line("table sizes", std::to_string(client_listener_->session_count()) + " clients, " +
                                 std::to_string(pool_.connection_count()) + " links, " +
                                 std::to_string(dispatch_loop_.open_request_count()) + " requests, " +
                                 std::to_string(list_parser_.known_name_count()) + " names, " +
                                 std::to_string(deadlines_.size()) + " deadlines, " +
                                 std::to_string(client_bytes_.total_bytes()) + " bytes");
}

void Server::report() {
    invariant::Counter::report();
    if (kIsDebugBuild) log_table_sizes();
    // For deployments without an admin server.
    if (metrics_.total() != logged_total_) {
        logged_total_ = metrics_.total();
        log::line("metrics", metrics_json());
    }
    report_timer_.set(deadlines_, deadlines_.now() + kReportIntervalUs, [this] { report(); });
}

}  // namespace sloestack::server
