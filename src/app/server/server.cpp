#include "server/server.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "discovery_poll_schedule.h"
#include "invariant/invariant.h"
#include "log/log.h"
#include "postgres/postgres_connection.h"

namespace sloestack::server {
namespace {

constexpr Micros kReportEvery = 10'000'000;
#ifdef NDEBUG
constexpr bool kDebug = false;
#else
constexpr bool kDebug = true;
#endif
constexpr const char* kUser = "portal";
constexpr const char* kDatabase = "crm";

upstream::ConnectionPoolSettings pool_settings(net::Loop& loop, const settings::InstanceSettings& s) {
    upstream::ConnectionPoolSettings out;
    out.connect = [&loop](const sockaddr_in& to, net::DescriptorSlot slot,
                          upstream::UpstreamConnectionEvents& events) {
        return std::make_unique<postgres::PostgresConnection>(
            loop, to, std::move(slot), postgres::PostgresConnection::Credentials{kUser, kDatabase}, events);
    };
    if (s.connect_timeout_us > 0) out.connect_timeout_us = s.connect_timeout_us;
    if (s.idle_limit_us > 0) out.idle_timeout_us = s.idle_limit_us;
    out.removal_is_advisory = s.router.removal_is_advisory;
    return out;
}

// On sockets a refusal always has a field for advice, whatever the simulator's settings say of its own wire.
decision::Settings module_settings(decision::Settings s) {
    s.retry_after_supported = true;
    // And lists always have to be asked for; where they are pushed, of an agent of the proxy's own.
    s.discovery_agent_is_local = !s.discovery_is_polled;
    s.discovery_is_polled = true;
    return s;
}

bool sessions_named(const decision::Settings& s) {
    return std::any_of(s.classes.begin(), s.classes.end(),
                       [](const auto& c) { return c.consistency == decision::Consistency::session; });
}

// Reads that may be repeated change nothing that another read could tell.
std::vector<bool> overlapping(const decision::Settings& s) {
    std::vector<bool> out;
    for (const auto& c : s.classes)
        out.push_back(c.idempotency == decision::Idempotency::idempotent && !c.is_write);
    return out;
}

Micros longest_wait(const decision::Settings& s) {
    Micros out = 0;
    for (const auto& c : s.classes) out = std::max(out, c.deadline_us);
    return out;
}

discovery::EndpointList known_list(discovery::EndpointListParser& lists, const nlohmann::json& known) {
    if (known.is_null()) return {};
    try {
        return lists.parse(known);
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
      sockets_(config.sockets),
      memory_mb_(config.memory_mb),
      clients_(net::divide_descriptors(config.sockets).clients),
      overflow_(net::divide_descriptors(config.sockets).overflow),
      lingering_(net::divide_descriptors(config.sockets).lingering),
      members_(net::divide_descriptors(config.sockets).upstream),
      account_(net::client_memory_limit_bytes(config.memory_mb)),
      large_statement_budget_(net::client_memory_limit_bytes(config.memory_mb)),
      numbers_(config.settings.class_names),
      dispatch_loop_(deadlines_, module_settings(config.settings.router), config.seed, numbers_),
      pool_(loop_, deadlines_, members_, pool_settings(loop_, config.settings), dispatch_loop_, numbers_),
      lists_(config.settings.zone_names),
      known_(known_list(lists_, config.known)),
      discovery_(config.discovery_in_file),
      waits_for_list_(!config.settings.router.discovery_is_polled) {
    watch_ = std::make_unique<discovery::DiscoveryWatch>(
        loop_, deadlines_, config.discovery, config.discovery_host, lists_, known_revision(config, known_),
        exclusions_, decision::PollTimeouts(module_settings(config.settings.router), config.seed));
    dispatch_loop_.set_targets(
        {pool_, [this] { watch_->start(); },
         [this](auto kind, const auto& entries) { pool_.update_endpoints(kind, entries); }});
    client_listener_ = std::make_unique<downstream::ClientListener>(
        loop_, deadlines_, downstream::ClientListener::Quotas{clients_, overflow_, lingering_}, account_,
        large_statement_budget_, numbers_, downstream::ListenEndpoint{config.listen, config.passed_socket},
        dispatch_loop_, config.settings.class_names, overlapping(config.settings.router),
        sessions_named(config.settings.router), longest_wait(config.settings.router), config.seed);
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

// ---- the processes of one proxy ----
// The list comes after the exclusions: nothing is ever sent to a member that a predecessor was told to leave
// out.
void Server::on_handover_complete() {
    exclusions_.on_endpoint_list(decision::EndpointListKind::cached, std::move(known_.endpoints));
    begun_ = true;
    dispatch_loop_.run_iteration();
    if (!waits_for_list_) client_listener_->open();
}

void Server::on_process_count(int processes) {
    const auto shares = net::divide_descriptors(sockets_ / processes);
    clients_.set_limit(shares.clients);
    overflow_.set_limit(shares.overflow);
    lingering_.set_limit(shares.lingering);
    members_.set_limit(shares.upstream);
    account_.set_limit(net::client_memory_limit_bytes(memory_mb_) / static_cast<std::size_t>(processes));
    large_statement_budget_.set_limit(net::client_memory_limit_bytes(memory_mb_) /
                                      static_cast<std::size_t>(processes));
    client_listener_->shrink_to_quota();
    pool_.shrink_to_quota();
}

void Server::on_exclusion_update(const std::string& endpoint, bool excluded) {
    excluded ? exclusions_.exclude(endpoint) : exclusions_.include(endpoint);
}

// ---- what operators call ----
std::string Server::metrics_json() const {
    metrics::Gauges now;
    now.open_requests = dispatch_loop_.open_request_count();
    now.listed_endpoints = exclusions_.listed_count();
    now.avoided_endpoints = exclusions_.listed_and_excluded_count() + dispatch_loop_.ejected_endpoint_count();
    return numbers_.to_json(now);
}

void Server::exclude(const std::string& member, Done done) {
    exclusions_.exclude(member);
    pass_on(true, member, std::move(done));
}

void Server::include(const std::string& member, Done done) {
    exclusions_.include(member);
    pass_on(false, member, std::move(done));
}

void Server::pass_on(bool out, const std::string& member, Done done) {
    if (!hot_restart_) return done();
    hot_restart_->send_exclusion_update(member, out, std::move(done));
}

void Server::turn(Micros at_most) {
    if (const auto next = deadlines_.next()) at_most = std::min(at_most, *next - deadlines_.now());
    loop_.run_once(at_most);
    dispatch_loop_.run_iteration();
    // What the agent has counts as told from the first moment on, so clients come in behind its first word.
    if (waits_for_list_ && begun_ && watch_->has_completed_poll()) {
        waits_for_list_ = false;
        client_listener_->open();
    }
    loop_.end_turn();
}

void Server::obey_signals(std::function<config::Config()> load) {
    for (const int signal : {SIGTERM, SIGINT}) loop_.on_signal(signal, [this] { stop(); });
    loop_.on_signal(SIGHUP, [this, load = std::move(load)] {
        // A file that cannot be used changes nothing: guards against a slip of the pen that ends a proxy in
        // service.
        try {
            reload(load());
        } catch (const std::exception& error) {
            log::line("not reloaded", error.what());
        }
    });
}

// Only discovery's address can change while running; the rest of the file holds from the next start on.
// The file counts here even where EDGE_DISCOVERY was set: the environment cannot be changed any more, so only
// the file can tell of a move. What the file said before is no news.
void Server::reload(const config::Config& fresh) {
    const auto& named = fresh.discovery_in_file;
    if (named.empty() || named == discovery_) return log::line("reloaded", "nothing has changed");
    const auto at = config::discovery_address(named);
    discovery_ = named;
    log::line("reloaded", "discovery is at " + named);
    watch_->change_address(at, named);
}

void Server::report() {
    invariant::Counter::report();
    // Whatever could grow with ids, names or connections over a long day.
    if (kDebug)
        log::line("table sizes", std::to_string(client_listener_->session_count()) + " clients, " +
                                     std::to_string(pool_.connection_count()) + " links, " +
                                     std::to_string(dispatch_loop_.open_request_count()) + " requests, " +
                                     std::to_string(lists_.known_name_count()) + " names, " +
                                     std::to_string(deadlines_.size()) + " deadlines, " +
                                     std::to_string(account_.held()) + " bytes");
    // Where there is no door, the log tells the figures; added up over all proxies they show where requests
    // go.
    if (numbers_.total() != told_) {
        told_ = numbers_.total();
        log::line("metrics", metrics_json());
    }
    report_.set(deadlines_, deadlines_.now() + kReportEvery, [this] { report(); });
}

}  // namespace sloestack::server
