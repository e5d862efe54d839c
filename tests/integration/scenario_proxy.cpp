#include "scenario_proxy.h"

#include <unistd.h>

#include <csignal>
#include <string_view>

#include "check.h"
#include "hot_restart/unix_socket.h"
#include "scenario_peer.h"

using nlohmann::json;
using sloestack::server::Server;

namespace {

json request_class(const char* name, const char* effect) {
    return {{"name", name},
            {"effect", effect},
            {"group", "cell"},
            {"worth", 1},
            {"memory-span-us", 60000000},
            {"promise-us", 60000000},
            {"deadline-us", 1e8},
            {"late-worth", 0}};
}

json default_settings() {
    return {{"classes", {request_class("view", "read_like"), request_class("change", "idempotency_key")}},
            {"discovery", "on_request"},
            {"azs", {"here"}},
            {"specifics",
             {{"class-read", {"eventual", "mutate"}},
              {"staleness-bound-us", {0, 0}},
              {"progress-told", true},
              {"role-listed", "trailing"}}},
            {"limits",
             {{"most-tries", 3},
              {"cancel", true},
              {"connect-timeout-us", 30000000},
              {"conn-idle-us", 600000000},
              {"max-retry-after-us", 2000000}}},
            {"rules", {{"cold-from", 1}, {"warm-after-us", 1}, {"fall-multiple", 3}, {"fall-us", 3000000}}}};
}

std::string loopback_address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

json make_entry(const std::string& endpoint, std::uint16_t port, bool is_primary) {
    return {{"id", endpoint},        {"host_port", loopback_address(port)},
            {"locality", "here"},    {"cell", 0},
            {"phase", "in_service"}, {"role", is_primary ? "primary" : "replica"},
            {"up_since_ms", 0}};
}

}  // namespace

ScenarioProxy::ScenarioProxy(const ProxySetup& setup) {
    std::signal(SIGPIPE, SIG_IGN);  // as the program does
    json endpoints = json::array();
    std::uint16_t port = 0;
    for (int i = 1; i <= setup.endpoint_count; ++i) {
        const auto endpoint = "m" + std::to_string(i);
        listeners_[endpoint] = listen_on_loopback(port);
        entries_[endpoint] = make_entry(endpoint, port, i == 1);
        if (setup.endpoints_known) endpoints.push_back(entries_[endpoint]);
    }
    listeners_["d2"] = listen_on_loopback(port);
    second_discovery_address_ = loopback_address(port);
    listeners_["d"] = listen_on_loopback(port);
    auto settings = default_settings();
    settings.merge_patch(setup.settings);
    deploy_file_ = {
        {"name", "test"},
        {"listen", "127.0.0.1:0"},
        {"control", "127.0.0.1:0"},
        {"discovery", loopback_address(port)},
        {"at_start", loopback_address(port)},
        {"seed", "7"},
        {"limits", {{"sockets", setup.descriptors}, {"memory_mb", 48}}},
        {"known", {{"revision", setup.list_revision}, {"complete", true}, {"members", endpoints}}},
        {"settings", settings}};
    if (setup.inherits_listening_socket) {
        inherited_socket_ = listen_on_loopback(port);
        char folder[] = "/tmp/sloestack-test-XXXXXX";
        CHECK(mkdtemp(folder));
        scratch_folder_ = folder;
    }
    server_ = make_server();
    server_->handle_signals([this] { return read_config(); });
}

ScenarioProxy::~ScenarioProxy() {
    for (const auto& [name, fd] : listeners_) close(fd);
    if (inherited_socket_ < 0) return;
    close(inherited_socket_);
    unlink((scratch_folder_ + "/sloestack-test").c_str());
    rmdir(scratch_folder_.c_str());
}

void ScenarioProxy::run_once() {
    constexpr int kMaxWaitUs = 1000;
    server_->run_iteration(kMaxWaitUs);
    if (successor_) successor_->run_iteration(kMaxWaitUs);
}

void ScenarioProxy::start_successor() { successor_ = make_server(); }

void ScenarioProxy::kill() {
    server_.reset();
    server_ = successor_ ? std::move(successor_) : make_server();
}

void ScenarioProxy::reload(const std::string& change) {
    if (change == "d2") deploy_file_["discovery"] = second_discovery_address_;
    if (change == "unchanged") deploy_file_["discovery"] = deploy_file_["at_start"];
    if (change == "invalid") deploy_file_["discovery"] = "nowhere";
    raise(SIGHUP);
}

int ScenarioProxy::connect_as_other_process() const {
    const auto result = sloestack::hot_restart::connect_unix_socket(scratch_folder_ + "/sloestack-test");
    CHECK(std::holds_alternative<evutil_socket_t>(result));
    return std::get<evutil_socket_t>(result);
}

std::unique_ptr<Server> ScenarioProxy::make_server() const { return std::make_unique<Server>(read_config()); }

// As in production, the environment contains the discovery address too, and cannot change while the process
// runs.
sloestack::config::Config ScenarioProxy::read_config() const {
    const auto at_start = deploy_file_.at("at_start").get<std::string>();
    // Each process gets its own descriptor of the inherited socket.
    const auto socket = inherited_socket_ < 0 ? std::string() : std::to_string(dup(inherited_socket_));
    return sloestack::config::parse(deploy_file_, [&](const char* name) -> const char* {
        const std::string_view variable = name;
        if (variable == "EDGE_DISCOVERY") return at_start.c_str();
        if (inherited_socket_ < 0) return nullptr;
        if (variable == "EDGE_PASSED_SOCKET") return socket.c_str();
        if (variable == "TMPDIR") return scratch_folder_.c_str();
        return nullptr;
    });
}
