#include "fault_harness/part.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "emulator/crowd.h"
#include "fault_harness/channel.h"
#include "fault_harness/folder.h"
#include "fault_harness/record.h"

namespace fault_harness {
namespace {

namespace net = sloestack::net;
using sloestack::Deadline;
constexpr int kChannelFd = 3;  // file descriptor on which the conductor passes the channel
constexpr Micros kMaxIterationUs = 100'000;

nlohmann::json to_json(const emulator::Listed& l) {
    return {{"member", l.member}, {"group", l.group}, {"name", l.name},         {"zone", l.zone},
            {"phase", l.phase},   {"port", l.port},   {"up_since", l.up_since}, {"primary", l.primary}};
}
emulator::Listed listed_from(const nlohmann::json& json) {
    emulator::Listed l;
    l.member = json.at("member").get<int>();
    l.group = json.at("group").get<int>();
    l.name = json.at("name").get<std::string>();
    l.zone = json.at("zone").get<std::string>();
    l.phase = json.at("phase").get<std::string>();
    l.port = json.at("port").get<std::uint16_t>();
    l.up_since = json.at("up_since").get<Time>();
    l.primary = json.at("primary").get<bool>();
    return l;
}

// Base of the processes: event loop, record, channel to the conductor, and the timing of the fault steps.
class Part {
public:
    Part(const std::string& folder, const std::string& name)
        : run_(read_run(folder)),
          recorder_(folder + "/" + name + ".jsonl"),
          channel_(
              loop_, kChannelFd, [this](const std::string& line) { handle_line(line); },
              [this] { closed_ = true; }) {}
    virtual ~Part() = default;

    void serve() {
        channel_.send_line("ready");
        while (!closed_) {
            Micros max_wait = kMaxIterationUs;
            const auto next = deadlines_.next();
            if (next) max_wait = std::min(max_wait, *next - deadlines_.now());
            loop_.run_once(max_wait);
            if (next) max_timer_delay_ = std::max(max_timer_delay_, deadlines_.now() - *next);
            deadlines_.run_due();
            record_timer_delay();
            loop_.end_iteration();
            after_iteration();
        }
        recorder_.close();
    }

protected:
    virtual void on_run_start() {}                         // at the start time of the run
    virtual void handle_other_line(const std::string&) {}  // for other lines than the start time
    virtual void after_iteration() {}                      // after each event-loop iteration
    virtual void on_step(const FaultStep&, bool) {}        // at the start (true) and end (false) of a step

    // Sets the condition of one edge of `of` at the start of a step and clears it at the end. `name`
    // identifies the edge to `of`.
    template <class Owner, class... Name>
    static void apply(Owner& of, const FaultStep& step, bool on, Name... name) {
        if (step.what == FaultKind::reset) {
            if (on) of.reset(name...);
            return;
        }
        auto& edge = of.edge(name...);
        if (step.in) edge.in = on ? step.condition : emulator::Condition{};
        if (step.out) edge.out = on ? step.condition : emulator::Condition{};
        of.edge_changed(name...);
    }
    static bool affects_edge(const FaultStep& step, EdgePeer peer) {
        return step.what >= FaultKind::cut && step.what <= FaultKind::lose && step.edge == peer;
    }

    Run run_;
    Recorder recorder_;
    sloestack::Clock clock_;
    net::Loop loop_;
    sloestack::Deadlines deadlines_{clock_};
    Channel channel_;

private:
    void handle_line(const std::string& line) {
        if (line.rfind("go ", 0) != 0) return handle_other_line(line);
        const Time start_time = std::stoll(line.substr(3));
        for (const auto& step : run_.plan.steps) {
            deadlines_.add(start_time + step.at_us, [this, &step] { on_step(step, true); });
            deadlines_.add(start_time + step.end_us, [this, &step] { on_step(step, false); });
        }
        start_.set(deadlines_, start_time, [this] { on_run_start(); });
    }
    // Records once per second the longest delay of a timer in this process: on a machine that is too busy for
    // the fault harness, the figures say little about the fleet.
    void record_timer_delay() {
        const auto now = deadlines_.now();
        if (now - delay_recorded_at_ < 1'000'000) return;
        emulator::Event e;
        e.what = emulator::What::busy;
        e.at = delay_recorded_at_ = now;
        e.value = static_cast<std::uint64_t>(std::exchange(max_timer_delay_, 0));
        recorder_.saw(e);
    }
    bool closed_ = false;
    Micros max_timer_delay_ = 0;
    Time delay_recorded_at_ = 0;
    Deadline start_;
};

class DiscoveryPart final : public Part {
public:
    explicit DiscoveryPart(const std::string& folder)
        : Part(folder, "discovery"),
          discovery_(loop_, deadlines_, discovery_settings(run_.plan.scenario, run_.block),
                     emulator::Fleet::first_list(fleet_settings(run_.plan, run_.block, 0, 1)), recorder_) {}

private:
    void handle_other_line(const std::string& line) override {
        discovery_.update(listed_from(nlohmann::json::parse(line)));
    }
    void on_step(const FaultStep& step, bool on) override {
        using State = emulator::Discovery::State;
        if (step.what == FaultKind::discovery_slow) discovery_.slow(on ? step.slow_times : 1);
        if (step.what == FaultKind::discovery_empty) discovery_.set(on ? State::empty : State::up);
        if (step.what == FaultKind::discovery_behind) discovery_.set(on ? State::behind : State::up);
        if (step.what == FaultKind::discovery_silent && on) discovery_.fall_silent();
        if (step.what == FaultKind::discovery_gone) discovery_.set(on ? State::gone : State::up);
        if (!affects_edge(step, EdgePeer::discovery)) return;
        for (const int p : step.proxies) apply(discovery_, step, on, p);
    }
    emulator::Discovery discovery_;
};

class EndpointsPart final : public Part {
public:
    EndpointsPart(const std::string& folder, int part)
        : Part(folder, "members-" + std::to_string(part)),
          fleet_(loop_, deadlines_, fleet_settings(run_.plan, run_.block, part, run_.endpoint_parts),
                 recorder_, [this](const emulator::Listed& l) { channel_.send_line(to_json(l).dump()); }),
          part_(part) {}

private:
    bool is_own(int member) const {
        return member / run_.plan.scenario.fleet.members % run_.endpoint_parts == part_;
    }
    void on_step(const FaultStep& step, bool on) override {
        const auto trouble = to_trouble(step.what);
        if (trouble)
            for (const int m : step.members) {
                emulator::Fault f;
                f.trouble = *trouble;
                f.for_us = step.end_us - step.at_us;
                f.bank = m / run_.plan.scenario.fleet.members;
                f.member = m % run_.plan.scenario.fleet.members;
                on ? fleet_.begin(f) : fleet_.end(f);
            }
        if (!affects_edge(step, EdgePeer::members)) return;
        for (const int m : step.members) {
            if (!is_own(m)) continue;
            for (const int p : step.proxies) apply(fleet_, step, on, p, m);
        }
    }
    static std::optional<emulator::Trouble> to_trouble(FaultKind what) {
        switch (what) {
            case FaultKind::member_crash:
                return emulator::Trouble::crash;
            case FaultKind::member_hang:
                return emulator::Trouble::silent;
            case FaultKind::member_replace:
                return emulator::Trouble::replace;
            case FaultKind::member_drain:
                return emulator::Trouble::drain;
            case FaultKind::member_stall:
                return emulator::Trouble::stall;
            case FaultKind::member_slow_apply:
                return emulator::Trouble::slow;
            default:
                return std::nullopt;
        }
    }
    emulator::Fleet fleet_;
    int part_;
};

class ClientsPart final : public Part {
public:
    ClientsPart(const std::string& folder, int part)
        : Part(folder, "clients-" + std::to_string(part)), part_(part) {}

private:
    void on_run_start() override {
        load_ = std::make_unique<emulator::Load>(
            loop_, deadlines_, load_settings(run_.plan, run_.block, part_, run_.client_parts), recorder_);
    }
    void after_iteration() override {
        if (!load_ || over_reported_ || !load_->over()) return;
        over_reported_ = true;
        channel_.send_line("over");
    }
    void on_step(const FaultStep& step, bool on) override {
        if (step.what == FaultKind::client_crowd && part_ == 0) return apply_crowd(step, on);
        if (!load_ || !affects_edge(step, EdgePeer::clients)) return;
        for (const int p : step.proxies) {
            // Requests in flight at the start of the fault, or sent during it, may get no response; the
            // checker must not attribute that to the proxy.
            if (step.what == FaultKind::cut || step.what == FaultKind::reset)
                record_process(p, on ? "cut off" : "reached");
            apply(*load_, step, on, p);
        }
    }
    void apply_crowd(const FaultStep& step, bool on) {
        crowds_.clear();
        if (!on) return;
        for (const int p : step.proxies)
            crowds_.push_back(std::make_unique<emulator::Crowd>(
                loop_, deadlines_, proxy_address(run_.block, p), step.crowd_size,
                emulator::mixed(run_.plan.seed, "crowd " + std::to_string(p))));
    }
    // Only the first client process records it, so that it is recorded once.
    void record_process(int proxy, const char* word) {
        if (part_ != 0) return;
        emulator::Event e;
        e.what = emulator::What::process;
        e.at = deadlines_.now();
        e.proxy = proxy;
        e.word = word;
        recorder_.saw(e);
    }
    int part_;
    std::unique_ptr<emulator::Load> load_;
    std::vector<std::unique_ptr<emulator::Crowd>> crowds_;
    bool over_reported_ = false;
};

}  // namespace

void run_part(const std::string& folder, const std::string& role, int part) {
    std::unique_ptr<Part> running;
    if (role == "discovery")
        running = std::make_unique<DiscoveryPart>(folder);
    else if (role == "members")
        running = std::make_unique<EndpointsPart>(folder, part);
    else if (role == "clients")
        running = std::make_unique<ClientsPart>(folder, part);
    else
        throw std::invalid_argument("\"" + role + "\" is not a role: must be discovery, members or clients");
    running->serve();
}

}  // namespace fault_harness
