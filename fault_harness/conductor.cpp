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
constexpr Micros kStartTimeoutUs = 120'000'000, kStopTimeoutUs = 60'000'000;  // only bound a hang
constexpr Micros kStartDelayUs = 500'000;
constexpr Micros kMaxIterationUs = 100'000;
constexpr int kFirstBlock = 64, kLastBlock = 250, kLockPort = 8399;
constexpr int kListenersPerPart =
    8'000;  // a process may open some 20,000 descriptors and needs as many for connections as for listeners
constexpr int kMaxEndpointParts = 6, kProxiesPerClientPart = 100, kMaxClientParts = 3;
constexpr int kMemoryMb = 192;  // the limit that the deployment page sets for scored days

}  // namespace

struct Conductor::Part {
    std::string name;
    Process process;
    std::unique_ptr<Channel> channel;
    bool ready = false, over = false, is_client = false;
};

struct Conductor::Proxy {
    std::unique_ptr<Process> process = std::make_unique<Process>();
    std::unique_ptr<Process> predecessor;    // during a hot restart
    const FaultStep* hot_restart = nullptr;  // the step that began the last one
    sloestack::Deadline predecessor_kill_deadline;
    int listening_fd = -1;  // passed to the processes of a hot restart; -1: they listen themselves
    std::unique_ptr<emulator::Readiness> readiness;
    int starts = 0;
    std::uint16_t discovery_port = kDiscoveryPort;
    bool ready = false, stopped = false;
    bool exit_expected = false;  // a signal was sent that ends the process
    bool killed = false;
    Time restart_at = 0;  // time of the scheduled restart; 0: none
    sloestack::Deadline restart_deadline;
    sloestack::Deadline kill_deadline;
};

Conductor::Conductor(const RunSettings& settings)
    : settings_(settings), recorder_(settings.folder + "/conductor.jsonl") {
    run_.plan = settings.plan;
    const auto& s = run_.plan.scenario;
    const int listeners = s.proxies * s.fleet.banks * s.fleet.members;
    run_.endpoint_parts =
        std::clamp(listeners / kListenersPerPart + 1, 1, std::min(s.fleet.banks, kMaxEndpointParts));
    run_.client_parts = std::clamp(s.proxies / kProxiesPerClientPart, 1, kMaxClientParts);
    reserve_address_block();
    initial_endpoints_ = emulator::Fleet::first_list(fleet_settings(run_.plan, run_.block, 0, 1));
    write_run(settings.folder, run_);
    for (int i = 0; i < s.proxies; ++i) proxies_.push_back(std::make_unique<Proxy>());
    const auto& steps = run_.plan.steps;
    const bool has_hot_restarts = std::any_of(
        steps.begin(), steps.end(), [](const FaultStep& step) { return step.what == FaultKind::upgrade; });
    for (int i = 0; has_hot_restarts && i < s.proxies; ++i) open_listening_socket(i);
    loop_.on_signal(SIGCHLD, [this] { reap(); });
}

Conductor::~Conductor() {
    for (const auto& proxy : proxies_)
        if (proxy->listening_fd >= 0) close(proxy->listening_fd);
    if (block_lock_fd_ >= 0) close(block_lock_fd_);
}

// Chooses a block of loopback addresses that no concurrent run uses. A run reserves its block by binding a
// port in it.
void Conductor::reserve_address_block() {
    block_lock_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int block = kFirstBlock; block <= kLastBlock; ++block) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        inet_pton(AF_INET, ("127." + std::to_string(block) + ".255.1").c_str(), &at.sin_addr);
        at.sin_port = htons(kLockPort);
        if (bind(block_lock_fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) continue;
        run_.block = block;
        return;
    }
    throw std::runtime_error("all blocks of loopback addresses are in use by other runs");
}

template <class Predicate>
void Conductor::run_until(const char* what, Micros limit, Predicate is_done) {
    const auto give_up_at = deadlines_.now() + limit;
    while (!is_done()) {
        if (deadlines_.now() > give_up_at) throw std::runtime_error(what);
        Micros max_wait = kMaxIterationUs;
        if (const auto next = deadlines_.next()) max_wait = std::min(max_wait, *next - deadlines_.now());
        loop_.run_once(max_wait);
        deadlines_.run_due();
        loop_.end_iteration();
        if (!failure_.empty()) throw std::runtime_error(failure_);
    }
}

void Conductor::record_process(int proxy, const char* word) {
    emulator::Event e;
    e.what = What::process;
    e.at = deadlines_.now();
    e.proxy = proxy;
    e.word = word;
    recorder_.saw(e);
}

void Conductor::record_fault(const std::string& word) {
    emulator::Event e;
    e.at = deadlines_.now();
    e.word = word;
    recorder_.saw(e);
}

void Conductor::start_parts() {
    const auto add = [&](const std::string& role, int number) {
        int ends[2];
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, static_cast<int*>(ends)) != 0)
            throw std::runtime_error("cannot create a socket pair for a child process");
        auto& part = *parts_.emplace_back(std::make_unique<Part>());
        part.name = role + "-" + std::to_string(number);
        part.is_client = role == "clients";
        Command command;
        command.arguments = {
            this_program_path(),   "fleet", "part", settings_.folder, "--role", role, "--number",
            std::to_string(number)};
        command.log_path = settings_.folder + "/parts.log";
        command.channel_fd = ends[1];
        part.process.start(command);
        close(ends[1]);
        part.channel = std::make_unique<Channel>(
            loop_, ends[0],
            [this, &part](const std::string& line) {
                if (line == "ready")
                    part.ready = true;
                else if (line == "over")
                    part.over = true;
                else  // a change of the endpoint list, for discovery
                    parts_.front()->channel->send_line(line);
            },
            [this, &part] {
                if (!shutting_down_) failure_ = part.name + " exited early; see parts.log";
            });
    };
    add("discovery", 0);
    for (int i = 0; i < run_.endpoint_parts; ++i) add("members", i);
    for (int i = 0; i < run_.client_parts; ++i) add("clients", i);
}

std::string Conductor::config_path(int number, int start) const {
    return settings_.folder + "/n" + std::to_string(number) + "-" + std::to_string(start) + ".json";
}

// Writes the configuration of a start, ahead of that start: writing hundreds of files takes longer than
// starting hundreds of processes.
void Conductor::write_config(int number, int start) {
    const auto& s = run_.plan.scenario;
    const auto host = host_of(run_.block, number);
    const auto name = "n" + std::to_string(number);
    auto config = emulator::proxy_config(
        host + ":" + std::to_string(kProxyPort),
        host + ":" + std::to_string(proxies_[static_cast<std::size_t>(number)]->discovery_port),
        emulator::Discovery::first_list(initial_endpoints_, host), s.sockets);
    config["name"] = name;
    // Differs at each start, as on the platform, and is the same in each run with the same seed.
    config["seed"] = emulator::hex16(emulator::mixed(run_.plan.seed, name + "/" + std::to_string(start)));
    config["limits"]["memory_mb"] = kMemoryMb;
    config["settings"]["balancers"] = s.proxies;
    config["settings"]["rank"] = number;
    config["settings"]["zone"] = zone_of(s, number);
    config["settings"]["azs"] = s.fleet.zones;
    config["settings"]["specifics"]["checks"] = s.fleet.checks ? "await" : "none";
    config["settings"]["specifics"]["patience-us"] = s.fleet.patience;
    if (s.sessions.share > 0) emulator::add_sessions(config, s.sessions.brought);
    for (auto& request_class : config["settings"]["classes"])
        request_class["deadline-us"] =
            static_cast<Micros>(request_class["deadline-us"].get<double>() * s.deadline_ratio);
    std::ofstream out(config_path(number, start));
    out << config.dump();
    out.close();
    if (!out) throw std::runtime_error("cannot write " + config_path(number, start));
}

void Conductor::move_discovery(int number) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    proxy.discovery_port = proxy.discovery_port == kDiscoveryPort ? kSecondDiscoveryPort : kDiscoveryPort;
    write_config(number, proxy.starts - 1);
    proxy.process->signal(SIGHUP);
}

void Conductor::start_proxy(int number) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    const auto path = settings_.folder + "/n" + std::to_string(number);
    Command command;
    command.arguments = {settings_.proxy, "serve"};
    command.environment = settings_.environment;
    command.environment.push_back("EDGE_CONFIG=" + config_path(number, proxy.starts));
    command.log_path = path + ".log";
    if (proxy.listening_fd >= 0) {
        command.channel_fd = proxy.listening_fd;
        command.environment.emplace_back("EDGE_PASSED_SOCKET=3");
        command.environment.push_back("TMPDIR=" + settings_.folder);
    }
    proxy.process->start(command);
    ++proxy.starts;
    proxy.exit_expected = proxy.killed = proxy.ready = proxy.stopped = false;
    proxy.restart_at = 0;
    if (!proxy.predecessor) record_process(number, "started");
    static const emulator::Edge clear;
    proxy.readiness =
        std::make_unique<emulator::Readiness>(emulator::Line::Host{loop_, deadlines_, random_}, clear,
                                              proxy_address(run_.block, number), [this, number] {
                                                  proxies_[static_cast<std::size_t>(number)]->ready = true;
                                                  record_process(number, "ready");
                                              });
}

void Conductor::reap() {
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
        if (const auto status = proxies_[i]->process->poll_exit_status())
            proxy_ended(static_cast<int>(i), *status);
        auto& predecessor = proxies_[i]->predecessor;
        if (const auto status = predecessor ? predecessor->poll_exit_status() : std::nullopt)
            predecessor_ended(static_cast<int>(i), *status);
    }
    for (auto& part : parts_)
        if (part->process.poll_exit_status() && !shutting_down_)
            failure_ = part->name + " exited early; see parts.log";
}

void Conductor::proxy_ended(int number, int status) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    proxy.readiness.reset();
    proxy.kill_deadline.clear();
    proxy.ready = false;
    const bool in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!proxy.killed) record_process(number, proxy.exit_expected && in_order ? "ended" : "crashed");
    if (proxy.restart_at == 0 || shutting_down_) return;
    write_config(number, proxy.starts);
    proxy.restart_deadline.set(deadlines_, std::max(proxy.restart_at, deadlines_.now()),
                               [this, number] { start_proxy(number); });
}

// The clients' listening socket, which the processes of a hot restart share.
void Conductor::open_listening_socket(int number) {
    const auto address = proxy_address(run_.block, number);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, SOMAXCONN) != 0)
        throw std::runtime_error("cannot listen on the address of proxy " + std::to_string(number));
    proxies_[static_cast<std::size_t>(number)]->listening_fd = fd;
}

// Starts a second process of the proxy beside the first one.
void Conductor::begin_hot_restart(int number, const FaultStep& step) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    if (proxy.predecessor || proxy.exit_expected || proxy.stopped || !proxy.ready) return;
    write_config(number, proxy.starts);
    proxy.predecessor = std::exchange(proxy.process, std::make_unique<Process>());
    proxy.hot_restart = &step;
    record_process(number, "upgraded");
    start_proxy(number);
}

// The first process gets SIGTERM, and SIGKILL at the earliest time that the operators allow.
void Conductor::end_hot_restart(int number, const FaultStep& step) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    if (!proxy.predecessor || proxy.hot_restart != &step) return;
    proxy.predecessor->signal(SIGTERM);
    proxy.predecessor_kill_deadline.set(deadlines_, deadlines_.now() + run_.plan.scenario.kill_timeout_us(),
                                        [&proxy] { proxy.predecessor->signal(SIGKILL); });
}

void Conductor::predecessor_ended(int number, int status) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    proxy.predecessor_kill_deadline.clear();
    proxy.predecessor.reset();
    record_process(number, WIFEXITED(status) && WEXITSTATUS(status) == 0 ? "handed over" : "crashed");
}

void Conductor::begin(const FaultStep& step) {
    record_fault("begins: " + step.text());
    for (const int p : step.what <= FaultKind::stop ? step.proxies : std::vector<int>{}) {
        auto& proxy = *proxies_[static_cast<std::size_t>(p)];
        if (!proxy.process->is_running()) {
            // The proxy is down already; a later end of this fault delays its restart.
            if (step.what != FaultKind::stop && proxy.restart_at &&
                run_.start_time + step.end_us > proxy.restart_at) {
                proxy.restart_at = run_.start_time + step.end_us;
                proxy.restart_deadline.set(deadlines_, proxy.restart_at, [this, p] { start_proxy(p); });
            }
            continue;
        }
        if (step.what == FaultKind::hup) {
            proxy.process->signal(SIGHUP);
            continue;
        }
        if (step.what == FaultKind::move) {
            move_discovery(p);
            continue;
        }
        if (step.what == FaultKind::upgrade) {
            begin_hot_restart(p, step);
            continue;
        }
        if (step.what == FaultKind::stop) {
            stop_proxy(p);
            continue;
        }
        continue_proxy(p);  // a stopped process would not handle the signal
        proxy.exit_expected = true;
        proxy.restart_at = run_.start_time + step.end_us;
        proxy.readiness.reset();
        if (step.what == FaultKind::kill) {
            proxy.killed = true;
            record_process(p, "killed");
        } else {
            record_process(p, "terminating");
            if (run_.plan.scenario.kill_after_term && !proxy.kill_deadline.is_set())
                proxy.kill_deadline.set(deadlines_, deadlines_.now() + run_.plan.scenario.kill_timeout_us(),
                                        [&proxy] { proxy.process->signal(SIGKILL); });
        }
        proxy.process->signal(step.what == FaultKind::kill ? SIGKILL : SIGTERM);
    }
}

void Conductor::end(const FaultStep& step) {
    record_fault("ends: " + step.text());
    if (step.what == FaultKind::upgrade)
        for (const int p : step.proxies) end_hot_restart(p, step);
    if (step.what != FaultKind::stop) return;
    for (const int p : step.proxies) continue_proxy(p);
}

// A process that is terminating is not stopped: its time until SIGKILL goes on.
void Conductor::stop_proxy(int number) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    if (proxy.exit_expected) return;
    proxy.stopped = true;
    record_process(number, "stopped");
    proxy.process->signal(SIGSTOP);
}

void Conductor::continue_proxy(int number) {
    auto& proxy = *proxies_[static_cast<std::size_t>(number)];
    if (!proxy.stopped) return;
    proxy.stopped = false;
    proxy.process->signal(SIGCONT);
    record_process(number, "continued");
}

void Conductor::schedule() {
    for (const auto& step : run_.plan.steps) {
        deadlines_.add(run_.start_time + step.at_us, [this, &step] { begin(step); });
        deadlines_.add(run_.start_time + step.end_us, [this, &step] { end(step); });
    }
}

void Conductor::run() {
    start_parts();
    run_until("a part did not become ready; see parts.log", kStartTimeoutUs,
              [&] { return std::all_of(parts_.begin(), parts_.end(), [](auto& p) { return p->ready; }); });
    for (std::size_t i = 0; i < proxies_.size(); ++i) write_config(static_cast<int>(i), 0);
    for (std::size_t i = 0; i < proxies_.size(); ++i) start_proxy(static_cast<int>(i));
    run_until("a proxy did not become ready; see its log", kStartTimeoutUs, [&] {
        return std::all_of(proxies_.begin(), proxies_.end(), [](auto& p) { return p->ready; });
    });
    run_.start_time = deadlines_.now() + kStartDelayUs;
    write_run(settings_.folder, run_);
    for (auto& part : parts_) part->channel->send_line("go " + std::to_string(run_.start_time));
    schedule();
    const auto length = run_.plan.scenario.length_us;
    run_until("the clients did not finish after the end of the scenario", length + kStartTimeoutUs, [&] {
        const bool over =
            std::all_of(parts_.begin(), parts_.end(), [](auto& p) { return p->over || !p->is_client; });
        return over && deadlines_.now() > run_.start_time + length;
    });
    // Waits for proxies that are still down, so that all proxies are in service when they are stopped.
    run_until("a proxy did not become ready again; see its log", kStartTimeoutUs, [&] {
        return std::all_of(proxies_.begin(), proxies_.end(),
                           [](auto& p) { return p->ready && !p->exit_expected; });
    });
    shutting_down_ = true;
    for (auto& proxy : proxies_) {
        proxy->exit_expected = true;
        proxy->process->signal(SIGTERM);
    }
    run_until("a proxy did not exit on SIGTERM; see its log", kStopTimeoutUs, [&] {
        return std::none_of(proxies_.begin(), proxies_.end(),
                            [](auto& p) { return p->process->is_running() || p->predecessor; });
    });
    for (auto& part : parts_) part->channel->close();
    run_until("a part did not exit; see parts.log", kStopTimeoutUs, [&] {
        reap();
        return std::none_of(parts_.begin(), parts_.end(), [](auto& p) { return p->process.is_running(); });
    });
    recorder_.close();
}

}  // namespace fault_harness
