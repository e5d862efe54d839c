#include "server/server.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <stdexcept>

#include "discovery_poll_schedule.h"
#include "invariant/invariant.h"
#include "log/log.h"
#include "server/derived_settings.h"

namespace sloestack::server {
namespace {

constexpr Micros kReportIntervalUs = 10'000'000;
constexpr Micros kLateIterationUs = 20'000;
constexpr Micros kLongDelayUs = 100'000;
// To accept a connection, read its input, and read what that has caused.
constexpr int kCatchUpIterations = 3;
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
    return config.known_list.is_null() ? std::nullopt : std::optional(known.revision);
}

// Returns the path of the Unix socket at which the processes of one proxy connect to each other.
std::string hot_restart_path(const config::Config& config) {
    auto name = config.name;
    std::replace(name.begin(), name.end(), '/', '_');
    return config.scratch_directory + "/sloestack-" + name;
}

// Unlike the configured seed, differs between the processes of one proxy.
std::uint64_t random_seed() {
    constexpr int kBitsPerDraw = 32;
    std::random_device device;
    const std::uint64_t high = device();
    return high << kBitsPerDraw | device();
}

}  // namespace

const Clock& Server::system_clock() {
    static const Clock clock;
    return clock;
}

Server::Server(const config::Config& config, const Clock& clock)
    : deadlines_(clock),
      max_sockets_(config.max_sockets),
      memory_mb_(config.memory_mb),
      client_quota_(net::divide_descriptors(config.max_sockets).clients),
      overflow_quota_(net::divide_descriptors(config.max_sockets).overflow),
      lingering_quota_(net::divide_descriptors(config.max_sockets).lingering),
      endpoint_quota_(net::divide_descriptors(config.max_sockets).upstream),
      client_bytes_(net::client_memory_limit_bytes(config.memory_mb)),
      large_statement_budget_(net::client_memory_limit_bytes(config.memory_mb)),
      metrics_(config.settings.class_names),
      dispatch_loop_(deadlines_, router_settings(config.settings.router), config.seed, metrics_),
      pool_(loop_, deadlines_, endpoint_quota_, pool_settings(loop_, config.settings), dispatch_loop_,
            metrics_),
      list_parser_(config.settings.zone_names),
      discovery_in_file_(config.discovery_in_file),
      waits_for_discovery_(!config.settings.router.discovery_is_polled) {
    auto known_list = parse_known_list(list_parser_, config.known_list);
    watch_ = make_discovery_watch(config, known_revision(config, known_list));
    dispatch_loop_.set_targets(
        {pool_, [this] { watch_->start(); },
         [this](auto kind, const auto& entries) { pool_.update_endpoints(kind, entries); },
         [this](const auto& write) {
             if (hot_restart_) hot_restart_->send_session_write(write);
         }});
    // Before the first event that may start the watch, whose lists are newer. No client is accepted before
    // the predecessor's exclusions have been received.
    exclusions_.on_endpoint_list(decision::EndpointListKind::cached, std::move(known_list.endpoints));
    client_listener_ = make_client_listener(config);
    client_listener_->forward_cancel_requests_to([this](const downstream::CancelKey& key) {
        if (hot_restart_) hot_restart_->send_cancel_request({key.process, key.secret});
    });
    client_listener_->report_request_ids_to([this](std::uint64_t hash) {
        if (hot_restart_) hot_restart_->send_request_id(hash);
    });
    if (config.admin_address)
        admin_server_ = std::make_unique<admin::AdminServer>(loop_, deadlines_, *config.admin_address,
                                                             static_cast<admin::AdminHandler&>(*this));
    if (config.passed_socket && !config.scratch_directory.empty()) {
        hot_restart_ = std::make_unique<hot_restart::HotRestart>(
            loop_, deadlines_, hot_restart_path(config), static_cast<hot_restart::HotRestartHandler&>(*this));
        hot_restart_->start();
    } else {
        on_handover_complete();
    }
    report();
}

std::unique_ptr<discovery::DiscoveryWatch> Server::make_discovery_watch(
    const config::Config& config, std::optional<std::int64_t> known_revision) {
    const decision::PollTimeouts timeouts(router_settings(config.settings.router), config.seed);
    return std::make_unique<discovery::DiscoveryWatch>(loop_, deadlines_, config.discovery,
                                                       config.discovery_host, list_parser_, known_revision,
                                                       exclusions_, timeouts);
}

std::unique_ptr<downstream::ClientListener> Server::make_client_listener(const config::Config& config) {
    const auto& router = config.settings.router;
    const downstream::ClientListener::Quotas quotas{client_quota_, overflow_quota_, lingering_quota_};
    const downstream::ListenEndpoint listen_endpoint{config.listen, config.passed_socket};
    return std::make_unique<downstream::ClientListener>(
        loop_, deadlines_, quotas, client_bytes_, large_statement_budget_, metrics_, listen_endpoint,
        dispatch_loop_, config.settings.class_names, overlap_allowed(router), uses_sessions(router),
        max_deadline(router), random_seed());
}

// ---- HotRestartHandler ----
void Server::on_handover_complete() {
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

// ---- Event loop ----
void Server::run_iteration(Micros max_wait_us) {
    const Time began_at = deadlines_.now();
    if (const auto next = deadlines_.next()) max_wait_us = std::min(max_wait_us, *next - began_at);
    loop_.run_once(max_wait_us);
    const Micros delay = deadlines_.now() - began_at - std::max<Micros>(0, max_wait_us);
    if (delay >= kLateIterationUs) catch_up(delay);
    if (hot_restart_) hot_restart_->receive_now();
    dispatch_loop_.run_iteration();
    // Where lists are pushed, clients are accepted once the
    // first poll of the local agent has succeeded or failed.
    if (waits_for_discovery_ && is_serving_ && watch_->has_completed_poll()) {
        waits_for_discovery_ = false;
        client_listener_->open();
    }
    loop_.end_iteration();
}

// The input that arrived during the delay, such as a cancel request on a new connection, is read before any
// deadline or retry that is due is acted on.
void Server::catch_up(Micros delay) {
    for (int i = 0; i < kCatchUpIterations; ++i) loop_.run_once(0);
    if (delay < kLongDelayUs) return;
    if (hot_restart_) hot_restart_->on_event_loop_delayed();
    client_listener_->session_metrics().count_late_iteration(delay);
    log::line("event loop late", std::to_string(delay / kMicrosPerMillisecond) + " ms");
}

void Server::handle_signals(std::function<config::Config()> load) {
    for (const int signal : {SIGTERM, SIGINT}) loop_.on_signal(signal, [this] { stop(); });
    loop_.on_signal(SIGHUP, [this, load = std::move(load)] {
        // An invalid file must not end a running proxy: the current configuration stays in force.
        try {
            reload(load());
        } catch (const std::exception& error) {
            log::line("not reloaded", error.what());
        }
    });
}

// Applies a change of discovery's address; all other settings take effect at the next start. Uses the address
// in the file even if EDGE_DISCOVERY is set, because the environment of a running process cannot be changed.
void Server::reload(const config::Config& reloaded) {
    const auto& host_port = reloaded.discovery_in_file;
    if (host_port.empty() || host_port == discovery_in_file_)
        return log::line("reloaded", "nothing has changed");
    const auto address = config::discovery_address(host_port);
    discovery_in_file_ = host_port;
    log::line("reloaded", "discovery is at " + host_port);
    watch_->change_address(address, host_port);
}

// Logs the sizes of all tables that could grow without bound with ids, names or connections.
void Server::log_table_sizes() const {
    log::line("table sizes", std::to_string(client_listener_->session_count()) + " clients, " +
                                 std::to_string(pool_.connection_count()) + " connections, " +
                                 std::to_string(dispatch_loop_.open_request_count()) + " requests, " +
                                 std::to_string(list_parser_.known_name_count()) + " names, " +
                                 std::to_string(deadlines_.size()) + " deadlines, " +
                                 std::to_string(client_bytes_.total_bytes()) + " bytes");
}

void Server::report() {
    invariant::Counter::report();
    if (kIsDebugBuild) log_table_sizes();
    // Deployments without an admin server read the metrics from the log.
    if (metrics_.total() != logged_total_) {
        logged_total_ = metrics_.total();
        log::json_line("metrics", metrics_json());
    }
    const auto& sessions = client_listener_->session_metrics();
    if (sessions.total() != logged_session_total_) {
        logged_session_total_ = sessions.total();
        log::json_line("sessions", sessions.to_json());
    }
    report_timer_.set(deadlines_, deadlines_.now() + kReportIntervalUs, [this] { report(); });
}

}  // namespace sloestack::server
