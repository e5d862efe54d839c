#include "proxy_process.h"

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "check.h"
#include "pgwire/frame.h"
#include "transport/descriptor_quota.h"

namespace process_test {
namespace {

using loopback::Peer;
namespace pgwire = sloestack::pgwire;

constexpr Micros kReadyTimeout = 20'000'000;
constexpr Micros kPollInterval = kMillisecond;

std::uint16_t free_port() {
    const loopback::Listener listener;
    return listener.port();
}

std::string make_folder() {
    auto path = (std::filesystem::temp_directory_path() / "sloestack-process-XXXXXX").string();
    CHECK(mkdtemp(path.data()));
    return path;
}

// Calls `visit` with each message after the start-up phase, until it returns false.
template <class Visit>
void for_each_message(Peer& client, Visit visit) {
    client.read();
    std::string_view unread = client.received;
    while (const auto message = pgwire::next_message(unread)) {
        if (!visit(*message)) return;
        unread.remove_prefix(message->size);
    }
}

int message_count(Peer& client, char type, const std::string& part = {}) {
    int count = 0;
    for_each_message(client, [&](const pgwire::Message& message) {
        if (message.type == type && message.body.find(part) != std::string_view::npos) ++count;
        return true;
    });
    return count;
}

}  // namespace

ProxyProcess::ProxyProcess(const ProcessOptions& options)
    : EmulatedPeers(static_cast<const sloestack::Clock&>(*this)), port_(free_port()), folder_(make_folder()) {
    std::signal(SIGPIPE, SIG_IGN);
    std::ofstream(folder_ + "/config.json") << make_deploy_file(
        options.settings, "127.0.0.1:" + std::to_string(port_), options.descriptors, true, options.memory_mb);
    start(options.faults);
    CHECK(run_until([this] { return log().find("serving") != std::string::npos; }, kReadyTimeout));
    Peer first = connect();
    first.send(integration::startup_message());
    CHECK(run_until([&] { return is_ready(first); }, kReadyTimeout));
}

ProxyProcess::~ProxyProcess() {
    if (id_ > 0 && !has_exited()) {
        kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
    }
    if (::testing::Test::HasFailure()) std::fputs(log().c_str(), stderr);
    std::filesystem::remove_all(folder_);
}

void ProxyProcess::start(const std::vector<std::string>& faults) {
    const auto config = "EDGE_CONFIG=" + folder_ + "/config.json";
    const auto log_path = folder_ + "/log";
    const auto* program = std::getenv("SLOESTACK_PROGRAM");
    const auto* shim = std::getenv("SLOESTACK_FAULT_SHIM");
    CHECK(program && shim);
    id_ = fork();
    CHECK(id_ >= 0);
    if (id_ > 0) return;
    CHECK(freopen(log_path.c_str(), "w", stderr));
    putenv(const_cast<char*>(config.c_str()));
    if (!faults.empty()) {
        setenv("LD_PRELOAD", shim, 1);
        setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
        for (const auto& fault : faults) putenv(const_cast<char*>(fault.c_str()));
    }
    execl(program, program, "serve", nullptr);
    _exit(127);
}

void ProxyProcess::signal(int number) const { CHECK(kill(id_, number) == 0); }

bool ProxyProcess::has_exited() {
    if (id_ > 0 && waitpid(id_, &exit_status_, WNOHANG) == id_) id_ = -1;
    return id_ < 0;
}

Peer ProxyProcess::connect_and_request(const std::string& id, Micros deadline,
                                       const char* request_class) const {
    auto client = connect();
    client.send(integration::startup_message() + integration::request_message(id, request_class, deadline));
    return client;
}

std::vector<Peer> ProxyProcess::open_busy_sessions(int count) const {
    const auto part =
        integration::request_message("part", "read", integration::kRequestDeadline).substr(0, 20);
    std::vector<Peer> sessions;
    for (int i = 0; i < count; ++i) {
        sessions.push_back(connect());
        sessions.back().send(integration::startup_message() + part);
    }
    return sessions;
}

void ProxyProcess::open_idle_endpoint_connections() {
    constexpr int kConnections = 6;
    constexpr Micros kReuseDelay = 50 * kMillisecond;
    const bool hang = std::exchange(endpoints_hang, true);
    std::vector<Peer> clients;
    for (int i = 0; i < kConnections; ++i)
        clients.push_back(connect_and_request("warm" + std::to_string(i), integration::kRequestDeadline));
    CHECK(run_until([this] { return queries.size() >= kConnections; }, integration::kRequestDeadline));
    respond_to_all();
    run_for(kReuseDelay);
    endpoints_hang = hang;
}

void ProxyProcess::run_for(Micros duration) {
    const Time end = now() + duration;
    do {
        receive_from_proxy();
        if (!endpoints_hang) respond_to_all();
        serve_discovery();
        std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
    } while (now() < end);
}

int ProxyProcess::peak_memory_kb() const {
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);)
        if (line.compare(0, name.size(), name) == 0) return std::stoi(line.substr(name.size()));
    return 0;
}

std::string ProxyProcess::log() const {
    std::ostringstream text;
    text << std::ifstream(folder_ + "/log").rdbuf();
    return text.str();
}

int session_limit(int descriptors) {
    const auto shares = sloestack::net::divide_descriptors(descriptors);
    return shares.clients + shares.overflow;
}

bool has_row(Peer& client) { return message_count(client, 'D') > 0; }

bool has_error(Peer& client, const std::string& sqlstate) { return message_count(client, 'E', sqlstate) > 0; }

int error_count(Peer& client) { return message_count(client, 'E'); }

std::vector<std::string> values(Peer& client) {
    std::vector<std::string> found;
    for_each_message(client, [&](const pgwire::Message& message) {
        if (message.type != 'D') return true;
        pgwire::FieldReader fields(message.body);
        fields.int16();
        found.emplace_back(fields.bytes(fields.int32()));
        return true;
    });
    return found;
}

bool is_ready(Peer& client) { return message_count(client, 'Z') > 0; }

std::pair<std::uint32_t, std::uint32_t> cancel_key(Peer& client) {
    std::pair<std::uint32_t, std::uint32_t> key;
    for_each_message(client, [&](const pgwire::Message& message) {
        if (message.type != 'K') return true;
        pgwire::FieldReader fields(message.body);
        key.first = fields.int32();
        key.second = fields.int32();
        return false;
    });
    return key;
}

}  // namespace process_test
