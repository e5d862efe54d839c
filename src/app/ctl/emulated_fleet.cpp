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

constexpr Micros kComesUp = 10'000'000;  // a proxy is ready within milliseconds; this only ends a hang
constexpr Micros kLongestTurn = 100'000;
constexpr int kStopsWithin = 100;  // looks of 100 ms after SIGTERM: its longest deadline is 5 s

// An address where nothing listens and nobody else goes: outgoing connections here leave from 127.0.0.1, so
// while the proxy is down none of them can take its port, nor meet itself.
sockaddr_in free_address() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1);
    socklen_t size = sizeof at;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const bool got = bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    close(fd);
    if (!got) throw std::runtime_error(std::string("no address for the proxy: ") + std::strerror(errno));
    return at;
}

}  // namespace

Rig::Rig(const RigSettings& settings)
    : settings_(settings), checker_(settings.rules), address_(free_address()) {
    fleet_ = std::make_unique<emulator::Fleet>(
        loop_, deadlines_, settings.fleet, checker_,
        [this](const emulator::Listed& l) { discovery_->update(l); },
        [this](Micros down_for) { kill_for(down_for); });
    emulator::DiscoverySettings of_discovery;
    of_discovery.at = {*net::parse_address("127.0.0.1:0")};
    of_discovery.hosts = settings.fleet.hosts;
    discovery_ =
        std::make_unique<emulator::Discovery>(loop_, deadlines_, of_discovery, fleet_->list(), checker_);
    for (const auto& fault : settings.fleet.script) {
        if (fault.trouble != emulator::Trouble::lost) continue;
        const auto now = deadlines_.now();
        lost_.set(deadlines_, now + fault.at_us,
                  [this] { discovery_->set(emulator::Discovery::State::gone); });
        found_.set(deadlines_, now + fault.at_us + fault.for_us,
                   [this] { discovery_->set(emulator::Discovery::State::up); });
    }
    char folder[] = "/tmp/sloestack-rig-XXXXXX";
    if (!mkdtemp(static_cast<char*>(folder)))
        throw std::runtime_error("no folder for the proxy's configuration");
    folder_ = static_cast<char*>(folder);
    const auto known = nlohmann::json::parse(discovery_->list(0, true, 0));
    std::ofstream(folder_ + "/config.json")
        << emulator::proxy_config(proxy_text(), discovery_->address(), known, settings.sockets).dump(2);
    start();
    bool ready = false;
    emulator::Random random(1);
    const emulator::Edge edge;
    const emulator::Readiness readiness({loop_, deadlines_, random}, edge, address_,
                                        [&ready] { ready = true; });
    const auto hopeless = deadlines_.now() + kComesUp;
    run([&] {
        if (process_.ended())
            throw std::runtime_error("the proxy ended before it was ready; --verbose shows its log");
        if (deadlines_.now() > hopeless) throw std::runtime_error("the proxy does not answer");
        return ready;
    });
}

Rig::~Rig() {
    std::error_code ignored;
    if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

std::string Rig::proxy_text() const {
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address_.sin_addr, static_cast<char*>(text), sizeof text);
    return std::string(static_cast<char*>(text)) + ":" + std::to_string(ntohs(address_.sin_port));
}

void Rig::start() {
    fault_harness::Command command;
    command.words = {
        (std::filesystem::path(fault_harness::this_program()).parent_path() / "sloestack").string(), "serve"};
    command.variables = {"EDGE_CONFIG=" + folder_ + "/config.json"};
    command.shown = settings_.verbose;
    process_.start(command);
}

void Rig::kill_for(Micros down_for) {
    if (!process_.running()) return;
    process_.signal(SIGKILL);
    process_.wait();
    again_.set(deadlines_, deadlines_.now() + down_for, [this] { start(); });
}

void Rig::turn() {
    Micros at_most = kLongestTurn;
    if (const auto next = deadlines_.next()) at_most = std::min(at_most, *next - deadlines_.now());
    loop_.run_once(at_most);
    deadlines_.run_due();
    loop_.end_iteration();
}

void Rig::run(const std::function<bool()>& until, const std::function<void()>& work) {
    while (!until()) {
        if (work) work();
        turn();
    }
}

bool Rig::stop() {
    if (!process_.running()) return false;
    process_.signal(SIGTERM);
    for (int i = 0; i < kStopsWithin; ++i) {
        if (const auto status = process_.ended()) return WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
        turn();
    }
    return false;
}

}  // namespace sloestack::ctl
