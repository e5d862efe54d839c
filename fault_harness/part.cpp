#include "fault_harness/part.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "fault_harness/channel.h"
#include "fault_harness/folder.h"
#include "fault_harness/record.h"

namespace fault_harness {
namespace {

namespace net = sloestack::net;
using sloestack::Deadline;
constexpr int kChannel = 3;
constexpr Micros kLongestTurn = 100'000;

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

// What every part has: its loop, its record, the conductor's word, and the steps that concern it.
class Part {
public:
    Part(const std::string& folder, const std::string& name)
        : run_(read_run(folder)),
          recorder_(folder + "/" + name + ".jsonl"),
          channel_(
              loop_, kChannel, [this](const std::string& line) { heard(line); }, [this] { over_ = true; }) {}
    virtual ~Part() = default;

    void serve() {
        channel_.say("ready");
        while (!over_) {
            Micros at_most = kLongestTurn;
            const auto next = deadlines_.next();
            if (next) at_most = std::min(at_most, *next - deadlines_.now());
            loop_.run_once(at_most);
            if (next) late_ = std::max(late_, deadlines_.now() - *next);
            deadlines_.run_due();
            tell_busy();
            loop_.end_iteration();
            turned();
        }
        recorder_.close();
    }

protected:
    virtual void go() {}
    virtual void told(const std::string&) {}
    virtual void turned() {}
    virtual void change(const Step&, bool) {}  // a step begins, or ends

    // An edge of `of`, named as it names it, has its condition for the time of a step, and is clear again
    // behind it.
    template <class Owner, class... Name>
    static void apply(Owner& of, const Step& step, bool on, Name... name) {
        if (step.what == Do::reset) {
            if (on) of.reset(name...);
            return;
        }
        auto& edge = of.edge(name...);
        if (step.in) edge.in = on ? step.condition : emulator::Condition{};
        if (step.out) edge.out = on ? step.condition : emulator::Condition{};
        of.edge_changed(name...);
    }
    static bool of_edge(const Step& step, Ends ends) {
        return step.what >= Do::cut && step.what <= Do::lose && step.edge == ends;
    }

    Run run_;
    Recorder recorder_;
    sloestack::Clock clock_;
    net::Loop loop_;
    sloestack::Deadlines deadlines_{clock_};
    Channel channel_;

private:
    void heard(const std::string& line) {
        if (line.rfind("go ", 0) != 0) return told(line);
        const Time begins = std::stoll(line.substr(3));
        for (const auto& step : run_.plan.steps) {
            deadlines_.add(begins + step.at_us, [this, &step] { change(step, true); });
            deadlines_.add(begins + step.end_us, [this, &step] { change(step, false); });
        }
        start_.set(deadlines_, begins, [this] { go(); });
    }
    // A machine that is too busy for the rig says nothing of the fleet: how late its own turns come is told.
    void tell_busy() {
        const auto now = deadlines_.now();
        if (now - busy_told_ < 1'000'000) return;
        emulator::Event e;
        e.what = emulator::What::busy;
        e.at = busy_told_ = now;
        e.value = static_cast<std::uint64_t>(std::exchange(late_, 0));
        recorder_.saw(e);
    }
    bool over_ = false;
    Micros late_ = 0;
    Time busy_told_ = 0;
    Deadline start_;
};

class DiscoveryPart final : public Part {
public:
    explicit DiscoveryPart(const std::string& folder)
        : Part(folder, "discovery"),
          discovery_(loop_, deadlines_, discovery_settings(run_.plan.scenario, run_.block),
                     emulator::Fleet::first_list(fleet_settings(run_.plan, run_.block, 0, 1)), recorder_) {}

private:
    void told(const std::string& line) override {
        discovery_.update(listed_from(nlohmann::json::parse(line)));
    }
    void change(const Step& step, bool on) override {
        using State = emulator::Discovery::State;
        if (step.what == Do::discovery_slow) discovery_.slow(on ? step.slow_times : 1);
        if (step.what == Do::discovery_empty) discovery_.set(on ? State::empty : State::up);
        if (step.what == Do::discovery_behind) discovery_.set(on ? State::behind : State::up);
        if (step.what == Do::discovery_silent && on) discovery_.fall_silent();
        if (step.what == Do::discovery_gone) discovery_.set(on ? State::gone : State::up);
        if (!of_edge(step, Ends::discovery)) return;
        for (const int p : step.proxies) apply(discovery_, step, on, p);
    }
    emulator::Discovery discovery_;
};

class MembersPart final : public Part {
public:
    MembersPart(const std::string& folder, int part)
        : Part(folder, "members-" + std::to_string(part)),
          fleet_(loop_, deadlines_, fleet_settings(run_.plan, run_.block, part, run_.member_parts), recorder_,
                 [this](const emulator::Listed& l) { channel_.say(to_json(l).dump()); }),
          part_(part) {}

private:
    bool mine(int member) const {
        return member / run_.plan.scenario.fleet.members % run_.member_parts == part_;
    }
    void change(const Step& step, bool on) override {
        const auto trouble = trouble_of(step.what);
        if (trouble)
            for (const int m : step.members) {
                emulator::Fault f;
                f.trouble = *trouble;
                f.for_us = step.end_us - step.at_us;
                f.bank = m / run_.plan.scenario.fleet.members;
                f.member = m % run_.plan.scenario.fleet.members;
                on ? fleet_.begin(f) : fleet_.end(f);
            }
        if (!of_edge(step, Ends::members)) return;
        for (const int m : step.members) {
            if (!mine(m)) continue;
            for (const int p : step.proxies) apply(fleet_, step, on, p, m);
        }
    }
    static std::optional<emulator::Trouble> trouble_of(Do what) {
        switch (what) {
            case Do::member_crash:
                return emulator::Trouble::crash;
            case Do::member_hang:
                return emulator::Trouble::silent;
            case Do::member_replace:
                return emulator::Trouble::replace;
            case Do::member_drain:
                return emulator::Trouble::drain;
            case Do::member_stall:
                return emulator::Trouble::stall;
            case Do::member_slow_apply:
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
    void go() override {
        load_ = std::make_unique<emulator::Load>(
            loop_, deadlines_, load_settings(run_.plan, run_.block, part_, run_.client_parts), recorder_);
    }
    void turned() override {
        if (!load_ || told_over_ || !load_->over()) return;
        told_over_ = true;
        channel_.say("over");
    }
    void change(const Step& step, bool on) override {
        if (!load_ || !of_edge(step, Ends::clients)) return;
        for (const int p : step.proxies) {
            // What was out when it began, or comes while it lasts, may never be answered: the proxy's no
            // more.
            if (step.what == Do::cut || step.what == Do::reset) tell(p, on ? "cut off" : "reached");
            apply(*load_, step, on, p);
        }
    }
    // One part alone tells it.
    void tell(int proxy, const char* word) {
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
    bool told_over_ = false;
};

}  // namespace

void run_part(const std::string& folder, const std::string& role, int part) {
    std::unique_ptr<Part> running;
    if (role == "discovery")
        running = std::make_unique<DiscoveryPart>(folder);
    else if (role == "members")
        running = std::make_unique<MembersPart>(folder, part);
    else if (role == "clients")
        running = std::make_unique<ClientsPart>(folder, part);
    else
        throw std::invalid_argument("\"" + role + "\" is no part: discovery, members or clients");
    running->serve();
}

}  // namespace fault_harness
