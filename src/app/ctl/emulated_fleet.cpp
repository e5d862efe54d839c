#include "ctl/emulated_fleet.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "emulator/readiness.h"
#include "emulator/settings.h"
#include "transport/connection.h"

namespace sloestack::ctl {
namespace {

constexpr Micros kStartTimeoutUs = 10'000'000;  // a proxy is ready within milliseconds; only bounds a hang
constexpr Micros kMaxIterationUs = 100'000;
constexpr int kMaxStopIterations =
    100;  // iterations of up to 100 ms after SIGTERM; the proxy's longest deadline is 5 s

// Returns a free address on 127.0.0.2. Outgoing connections on loopback use 127.0.0.1 as their source
// address, so while the proxy is down none of them can occupy its port or connect to itself.
sockaddr_in free_address() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1);
    socklen_t size = sizeof at;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const bool got = bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    close(fd);
    if (!got)
        throw std::runtime_error(std::string("cannot bind an address for the proxy: ") +
                                 std::strerror(errno));
    return at;
}

}  // namespace

EmulatedFleet::EmulatedFleet(const EmulatedFleetSettings& settings)
    : settings_(settings), checker_(settings.rules), address_(free_address()) {
    fleet_ = std::make_unique<emulator::Fleet>(
        loop_, deadlines_, settings.fleet, checker_,
        [this](const emulator::Listed& l) { discovery_->update(l); },
        [this](Micros down_for) { kill_and_restart_after(down_for); });
    emulator::DiscoverySettings discovery_settings;
    discovery_settings.at = {*net::parse_address("127.0.0.1:0")};
    discovery_settings.hosts = settings.fleet.hosts;
    discovery_ = std::make_unique<emulator::Discovery>(loop_, deadlines_, discovery_settings, fleet_->list(),
                                                       checker_);
    for (const auto& fault : settings.fleet.script) {
        if (fault.trouble != emulator::Trouble::lost) continue;
        const auto now = deadlines_.now();
        discovery_loss_.set(deadlines_, now + fault.at_us,
                            [this] { discovery_->set(emulator::Discovery::State::gone); });
        discovery_recovery_.set(deadlines_, now + fault.at_us + fault.for_us,
                                [this] { discovery_->set(emulator::Discovery::State::up); });
    }
    char folder[] = "/tmp/sloestack-emulated-fleet-XXXXXX";
    if (!mkdtemp(static_cast<char*>(folder)))
        throw std::runtime_error("cannot create a folder in /tmp for the proxy's configuration");
    folder_ = static_cast<char*>(folder);
    const auto endpoint_list = nlohmann::json::parse(discovery_->list(0, true, 0));
    std::ofstream(folder_ + "/config.json")
        << emulator::proxy_config(proxy_address_text(), discovery_->address(), endpoint_list,
                                  settings.sockets)
               .dump(2);
    start_proxy();
    bool ready = false;
    emulator::Random random(1);
    const emulator::Edge edge;
    const emulator::Readiness readiness({loop_, deadlines_, random}, edge, address_,
                                        [&ready] { ready = true; });
    const auto give_up_at = deadlines_.now() + kStartTimeoutUs;
    run([&] {
        if (process_.poll_exit_status())
            throw std::runtime_error(
                "the proxy exited before it was ready; run with --verbose to see its log");
        if (deadlines_.now() > give_up_at)
            throw std::runtime_error("the proxy did not become ready within 10 s");
        return ready;
    });
}

EmulatedFleet::~EmulatedFleet() {
    std::error_code ignored;
    if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

std::string EmulatedFleet::proxy_address_text() const {
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address_.sin_addr, static_cast<char*>(text), sizeof text);
    return std::string(static_cast<char*>(text)) + ":" + std::to_string(ntohs(address_.sin_port));
}

void EmulatedFleet::start_proxy() {
    fault_harness::Command command;
    command.arguments = {
        (std::filesystem::path(fault_harness::this_program_path()).parent_path() / "sloestack").string(),
        "serve"};
    command.environment = {"EDGE_CONFIG=" + folder_ + "/config.json"};
    command.inherit_output = settings_.verbose;
    process_.start(command);
}

void EmulatedFleet::kill_and_restart_after(Micros down_for) {
    if (!process_.is_running()) return;
    process_.signal(SIGKILL);
    process_.wait();
    restart_deadline_.set(deadlines_, deadlines_.now() + down_for, [this] { start_proxy(); });
}

void EmulatedFleet::run_iteration() {
    Micros max_wait = kMaxIterationUs;
    if (const auto next = deadlines_.next()) max_wait = std::min(max_wait, *next - deadlines_.now());
    loop_.run_once(max_wait);
    deadlines_.run_due();
    loop_.end_iteration();
}

void EmulatedFleet::run(const std::function<bool()>& until, const std::function<void()>& work) {
    while (!until()) {
        if (work) work();
        run_iteration();
    }
}

bool EmulatedFleet::stop_proxy() {
    if (!process_.is_running()) return false;
    process_.signal(SIGTERM);
    for (int i = 0; i < kMaxStopIterations; ++i) {
        if (const auto status = process_.poll_exit_status())
            return WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
        run_iteration();
    }
    return false;
}

}  // namespace sloestack::ctl
