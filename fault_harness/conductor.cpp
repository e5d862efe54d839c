#include "fault_harness/conductor.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "emulator/settings.h"

namespace fault_harness {
namespace {

using emulator::What;
constexpr Micros kComesUp = 120'000'000, kGoesDown = 60'000'000;  // these only end a hang
constexpr Micros kStartsIn = 500'000;
constexpr Micros kLongestTurn = 100'000;
constexpr int kFirstBlock = 64, kLastBlock = 250, kLockPort = 8399;
constexpr int kListenersAPart =
    8'000;  // a process holds some 20,000 descriptors, and needs as many for links
constexpr int kMostMemberParts = 6, kProxiesAClientPart = 100, kMostClientParts = 3;
constexpr int kSockets = 1024, kMemoryMb = 192;  // what the deployment page allows on scored days

}  // namespace

struct Conductor::Part {
    std::string name;
    Process process;
    std::unique_ptr<Channel> channel;
    bool ready = false, over = false, clients = false;
};

struct Conductor::Proxy {
    Process process;
    std::unique_ptr<emulator::Readiness> readiness;
    int starts = 0;
    bool ready = false, stopped = false;
    bool expected = false;  // that it ends, by a signal that was sent
    bool killed = false;
    Time back_at = 0;  // when it is to be started again; 0: not
    sloestack::Deadline again;
};

Conductor::Conductor(const RunSettings& settings)
    : settings_(settings), recorder_(settings.folder + "/conductor.jsonl") {
    run_.plan = settings.plan;
    const auto& s = run_.plan.scenario;
    const int listeners = s.proxies * s.fleet.banks * s.fleet.members;
    run_.member_parts =
        std::clamp(listeners / kListenersAPart + 1, 1, std::min(s.fleet.banks, kMostMemberParts));
    run_.client_parts = std::clamp(s.proxies / kProxiesAClientPart, 1, kMostClientParts);
    take_block();
    members_ = emulator::Fleet::first_list(fleet_settings(run_.plan, run_.block, 0, 1));
    write_run(settings.folder, run_);
    for (int i = 0; i < s.proxies; ++i) proxies_.push_back(std::make_unique<Proxy>());
    loop_.on_signal(SIGCHLD, [this] { reap(); });
}

Conductor::~Conductor() {
    if (lock_ >= 0) close(lock_);
}

// Runs beside each other have addresses of their own: each holds one port as a sign that its block is taken.
void Conductor::take_block() {
    lock_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int block = kFirstBlock; block <= kLastBlock; ++block) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        inet_pton(AF_INET, ("127." + std::to_string(block) + ".255.1").c_str(), &at.sin_addr);
        at.sin_port = htons(kLockPort);
        if (bind(lock_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) continue;
        run_.block = block;
        return;
    }
    throw std::runtime_error("no block of loopback addresses is free");
}

template <class Holds>
void Conductor::until(const char* what, Micros limit, Holds holds) {
    const auto hopeless = deadlines_.now() + limit;
    while (!holds()) {
        if (deadlines_.now() > hopeless) throw std::runtime_error(what);
        Micros at_most = kLongestTurn;
        if (const auto next = deadlines_.next()) at_most = std::min(at_most, *next - deadlines_.now());
        loop_.run_once(at_most);
        deadlines_.run_due();
        loop_.end_iteration();
        if (!failure_.empty()) throw std::runtime_error(failure_);
    }
}

void Conductor::seen(int proxy, const char* word) {
    emulator::Event e;
    e.what = What::process;
    e.at = deadlines_.now();
    e.proxy = proxy;
    e.word = word;
    recorder_.saw(e);
}

void Conductor::fault(const std::string& word) {
    emulator::Event e;
    e.at = deadlines_.now();
    e.word = word;
    recorder_.saw(e);
}

void Conductor::start_parts() {
    const auto add = [&](const std::string& role, int number) {
        int ends[2];
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, static_cast<int*>(ends)) != 0)
            throw std::runtime_error("no channel to a part");
        auto& part = *parts_.emplace_back(std::make_unique<Part>());
        part.name = role + "-" + std::to_string(number);
        part.clients = role == "clients";
        Command command;
        command.words = {this_program(), "fleet", "part",     settings_.folder,
                         "--role",       role,    "--number", std::to_string(number)};
        command.log = settings_.folder + "/parts.log";
        command.channel = ends[1];
        part.process.start(command);
        close(ends[1]);
        part.channel = std::make_unique<Channel>(
            loop_, ends[0],
            [this, &part](const std::string& line) {
                if (line == "ready")
                    part.ready = true;
                else if (line == "over")
                    part.over = true;
                else  // what discovery is to list
                    parts_.front()->channel->say(line);
            },
            [this, &part] {
                if (!ending_) failure_ = part.name + " ended early; see parts.log";
            });
    };
    add("discovery", 0);
    for (int i = 0; i < run_.member_parts; ++i) add("members", i);
    for (int i = 0; i < run_.client_parts; ++i) add("clients", i);
}

std::string Conductor::config_path(int number) const {
    return settings_.folder + "/n" + std::to_string(number) + "-" +
           std::to_string(proxies_[static_cast<std::size_t>(number)]->starts) + ".json";
}

// Of its next start. Written before that is due: hundreds of files take longer than hundreds of processes.
void Conductor::write_config(int number) {
    const auto& s = run_.plan.scenario;
    const auto host = host_of(run_.block, number);
    const auto name = "n" + std::to_string(number);
    auto config = emulator::proxy_config(host + ":" + std::to_string(kProxyPort),
                                         host + ":" + std::to_string(kDiscoveryPort),
                                         emulator::Discovery::first_list(members_, host), kSockets);
    config["name"] = name;
    // New with each start, as the platform has it, and the same in each run of the seed.
    const auto starts = proxies_[static_cast<std::size_t>(number)]->starts;
    config["seed"] = emulator::hex16(emulator::mixed(run_.plan.seed, name + "/" + std::to_string(starts)));
    config["limits"]["memory_mb"] = kMemoryMb;
    config["settings"]["balancers"] = s.proxies;
    config["settings"]["rank"] = number;
    config["settings"]["zone"] = zone_of(s, number);
    config["settings"]["azs"] = s.fleet.zones;
    config["settings"]["specifics"]["checks"] = s.fleet.checks ? "await" : "none";
    config["settings"]["specifics"]["patience-us"] = s.fleet.patience;
    if (s.sessions.share > 0) emulator::add_sessions(config, s.sessions.brought);
    std::ofstream out(config_path(number));
    out << config.dump();
    out.close();
    if (!out) throw std::runtime_error("cannot write " + config_path(number));
}

void Conductor::start_proxy(int number) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    const auto path = settings_.folder + "/n" + std::to_string(number);
    Command command;
    command.words = {settings_.proxy, "serve"};
    command.variables = {"EDGE_CONFIG=" + config_path(number)};
    command.log = path + ".log";
    proxy.process.start(command);
    ++proxy.starts;
    proxy.expected = proxy.killed = proxy.ready = proxy.stopped = false;
    proxy.back_at = 0;
    seen(number, "started");
    static const emulator::Edge clear;
    proxy.readiness =
        std::make_unique<emulator::Readiness>(emulator::Line::Host{loop_, deadlines_, random_}, clear,
                                              proxy_address(run_.block, number), [this, number] {
                                                  proxies_[static_cast<std::size_t>(number)]->ready = true;
                                                  seen(number, "ready");
                                              });
}

void Conductor::reap() {
    for (std::size_t i = 0; i < proxies_.size(); ++i)
        if (const auto status = proxies_[i]->process.ended()) proxy_ended(static_cast<int>(i), *status);
    for (auto& part : parts_)
        if (part->process.ended() && !ending_) failure_ = part->name + " ended early; see parts.log";
}

void Conductor::proxy_ended(int number, int status) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    proxy.readiness.reset();
    proxy.ready = false;
    const bool in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!proxy.killed) seen(number, proxy.expected && in_order ? "ended" : "crashed");
    if (proxy.back_at == 0 || ending_) return;
    write_config(number);
    proxy.again.set(deadlines_, std::max(proxy.back_at, deadlines_.now()),
                    [this, number] { start_proxy(number); });
}

void Conductor::begin(const Step& step) {
    fault("begins: " + step.text());
    for (const int p : step.what <= Do::stop ? step.proxies : std::vector<int>{}) {
        auto& proxy = *proxies_[static_cast<std::size_t>(p)];
        if (!proxy.process.running()) {
            // Still away: it stays so for longer.
            if (step.what != Do::stop && proxy.back_at && run_.begins + step.end_us > proxy.back_at) {
                proxy.back_at = run_.begins + step.end_us;
                proxy.again.set(deadlines_, proxy.back_at, [this, p] { start_proxy(p); });
            }
            continue;
        }
        if (step.what == Do::stop) {
            proxy.stopped = true;
            seen(p, "stopped");
            proxy.process.signal(SIGSTOP);
            continue;
        }
        proxy.expected = true;
        proxy.back_at = run_.begins + step.end_us;
        proxy.readiness.reset();
        if (step.what == Do::kill) {
            proxy.killed = true;
            seen(p, "killed");
        } else {
            seen(p, "terminating");
        }
        proxy.process.signal(step.what == Do::kill ? SIGKILL : SIGTERM);
    }
}

void Conductor::end(const Step& step) {
    fault("ends: " + step.text());
    if (step.what != Do::stop) return;
    for (const int p : step.proxies) {
        auto& proxy = *proxies_[static_cast<std::size_t>(p)];
        if (!proxy.stopped) continue;
        proxy.stopped = false;
        proxy.process.signal(SIGCONT);
        seen(p, "continued");
    }
}

void Conductor::schedule() {
    for (const auto& step : run_.plan.steps) {
        deadlines_.add(run_.begins + step.at_us, [this, &step] { begin(step); });
        deadlines_.add(run_.begins + step.end_us, [this, &step] { end(step); });
    }
}

void Conductor::play() {
    start_parts();
    until("a part does not come up; see parts.log", kComesUp,
          [&] { return std::all_of(parts_.begin(), parts_.end(), [](auto& p) { return p->ready; }); });
    for (std::size_t i = 0; i < proxies_.size(); ++i) write_config(static_cast<int>(i));
    for (std::size_t i = 0; i < proxies_.size(); ++i) start_proxy(static_cast<int>(i));
    until("a proxy does not come up; see its log", kComesUp,
          [&] { return std::all_of(proxies_.begin(), proxies_.end(), [](auto& p) { return p->ready; }); });
    run_.begins = deadlines_.now() + kStartsIn;
    write_run(settings_.folder, run_);
    for (auto& part : parts_) part->channel->say("go " + std::to_string(run_.begins));
    schedule();
    const auto length = run_.plan.scenario.length_us;
    until("the clients do not come to an end", length + kComesUp, [&] {
        const bool over =
            std::all_of(parts_.begin(), parts_.end(), [](auto& p) { return p->over || !p->clients; });
        return over && deadlines_.now() > run_.begins + length;
    });
    // Those that are still away come back first, so that all end in the same way, from service.
    until("a proxy does not come back; see its log", kComesUp, [&] {
        return std::all_of(proxies_.begin(), proxies_.end(),
                           [](auto& p) { return p->ready && !p->expected; });
    });
    ending_ = true;
    for (auto& proxy : proxies_) {
        proxy->expected = true;
        proxy->process.signal(SIGTERM);
    }
    until("a proxy does not end at SIGTERM; see its log", kGoesDown, [&] {
        return std::none_of(proxies_.begin(), proxies_.end(), [](auto& p) { return p->process.running(); });
    });
    for (auto& part : parts_) part->channel->close();
    until("a part does not end; see parts.log", kGoesDown, [&] {
        reap();
        return std::none_of(parts_.begin(), parts_.end(), [](auto& p) { return p->process.running(); });
    });
    recorder_.close();
}

}  // namespace fault_harness
