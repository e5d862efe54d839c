#include "fault_harness/scenario.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "fault_harness/schema.h"

namespace fault_harness {
namespace {

using nlohmann::json;
// How long clients wait after a request's deadline: longer than the rules allow, so that the record shows how
// late a response was and the rules, not the clients, decide.
constexpr Micros kResponseGraceUs = 2'000'000;
constexpr const char* kZoneNames[] = {"walu-bay", "laucala", "nasinu"};

const std::pair<const char*, FaultKind> kFaultNames[] = {
    {"kill", FaultKind::kill},
    {"term", FaultKind::term},
    {"hup", FaultKind::hup},
    {"move", FaultKind::move},
    {"upgrade", FaultKind::upgrade},
    {"stop", FaultKind::stop},
    {"cut", FaultKind::cut},
    {"reset", FaultKind::reset},
    {"delay", FaultKind::delay},
    {"slow", FaultKind::slow},
    {"lose", FaultKind::lose},
    {"discovery_slow", FaultKind::discovery_slow},
    {"discovery_empty", FaultKind::discovery_empty},
    {"discovery_behind", FaultKind::discovery_behind},
    {"discovery_gone", FaultKind::discovery_gone},
    {"discovery_silent", FaultKind::discovery_silent},
    {"client_crowd", FaultKind::client_crowd},
    {"member_crash", FaultKind::member_crash},
    {"member_hang", FaultKind::member_hang},
    {"member_replace", FaultKind::member_replace},
    {"member_drain", FaultKind::member_drain},
    {"member_stall", FaultKind::member_stall},
    {"member_slow_apply", FaultKind::member_slow_apply},
};

Micros from_s(const json& in, const char* key, double default_value) {
    return static_cast<Micros>(in.value(key, default_value) * 1e6);
}
Micros from_ms(const json& in, const char* key, double default_value) {
    return static_cast<Micros>(in.value(key, default_value) * 1e3);
}

void validate_schema(const json& file) {
    static const json text = json::parse(kScenarioSchema);
    valijson::Schema schema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(text), schema);
    valijson::ValidationResults results;
    if (valijson::Validator().validate(schema, valijson::adapters::NlohmannJsonAdapter(file), &results))
        return;
    valijson::ValidationResults::Error error;
    std::string where, why;
    // The innermost error, with the longest path, is the most specific.
    while (results.popError(error)) {
        std::string path;
        for (const auto& part : error.context) path += part;
        if (why.empty() || path.size() > where.size()) where = path, why = error.description;
    }
    throw std::invalid_argument("scenario " + where + ": " + why);
}

bool affects_processes(FaultKind what) { return what <= FaultKind::stop; }
bool affects_edges(FaultKind what) { return what >= FaultKind::cut && what <= FaultKind::lose; }
bool affects_endpoints(FaultKind what) { return what >= FaultKind::member_crash; }

// Returns the sorted indices below `all` that a fault affects: those listed or in the zone, and then a random
// share of them. Throws std::invalid_argument if a listed index is out of range.
template <class ZoneOf>
std::vector<int> select_targets(const json& fault, const char* list, const char* zone, const char* share,
                                int all, ZoneOf zone_of_one, emulator::Random& random) {
    std::vector<int> out;
    if (fault.contains(list)) {
        out = fault[list].get<std::vector<int>>();
        for (const int index : out)
            if (index >= all)
                throw std::invalid_argument("scenario: " + std::string(list) + " names " +
                                            std::to_string(index) + " of " + std::to_string(all));
    } else {
        for (int i = 0; i < all; ++i)
            if (!fault.contains(zone) || zone_of_one(i) == fault[zone].get<int>()) out.push_back(i);
    }
    if (fault.contains(share)) {
        for (std::size_t i = out.size(); i > 1; --i)
            std::swap(out[i - 1],
                      out[static_cast<std::size_t>(random.between(0, static_cast<std::int64_t>(i) - 1))]);
        const auto count = std::lround(fault[share].get<double>() * static_cast<double>(out.size()));
        out.resize(static_cast<std::size_t>(std::max(1L, count)));
    }
    std::sort(out.begin(), out.end());
    return out;
}

// Appends the steps of one fault: one for each wave or repetition, and with spread_s one for each proxy, with
// an end of its own.
void draw(const Scenario& s, const json& fault, emulator::Random& random, std::vector<FaultStep>& out) {
    FaultStep step;
    const auto name = fault.at("do").get<std::string>();
    step.what = std::find_if(std::begin(kFaultNames), std::end(kFaultNames), [&](auto& n) {
                    return name == n.first;
                })->second;
    step.at_us = from_s(fault, "at_s", 0);
    const auto duration = from_s(fault, "for_s", 1), spread = from_s(fault, "spread_s", 0);
    step.end_us = step.at_us + duration;
    step.crowd_size = fault.value("clients", 300);
    if (affects_processes(step.what) || affects_edges(step.what) || step.what == FaultKind::client_crowd)
        step.proxies = select_targets(
            fault, "proxies", "zone", "share", s.proxies, [&](int p) { return zone_of(s, p); }, random);
    const auto edge = fault.value("edge", "members");
    step.edge = edge == "members"     ? EdgePeer::members
                : edge == "discovery" ? EdgePeer::discovery
                                      : EdgePeer::clients;
    const auto way = fault.value("way", "both");
    step.in = way != "out";
    step.out = way != "in";
    if (affects_endpoints(step.what) || (affects_edges(step.what) && step.edge == EdgePeer::members)) {
        auto selection = fault;
        // At the start of the run the first endpoint of each replica group is its primary.
        if (fault.value("primaries", false)) {
            std::vector<int> first;
            for (int b = 0; b < s.fleet.banks; ++b) first.push_back(b * s.fleet.members);
            selection["member_list"] = first;
        }
        step.members = select_targets(
            selection, "member_list", "member_zone", "member_share", s.fleet.banks * s.fleet.members,
            [&](int m) { return emulator::Fleet::zone_of(s.fleet, m); }, random);
    }
    auto& c = step.condition;
    c.cut = step.what == FaultKind::cut;
    if (step.what == FaultKind::delay) c.delay = from_ms(fault, "delay_ms", 50);
    if (step.what == FaultKind::slow) c.bytes_per_s = fault.value("bytes_per_s", 10'000.0);
    if (step.what == FaultKind::lose) c.loss = fault.value("loss", 0.05);
    step.slow_times = fault.value("slow_times", 10.0);

    const int waves = fault.value("waves", 1), times = fault.value("times", 1);
    const auto every = from_s(fault, "every_s", 1);
    auto order = step.proxies;
    if (waves > 1)
        for (std::size_t i = order.size(); i > 1; --i)
            std::swap(order[i - 1],
                      order[static_cast<std::size_t>(random.between(0, static_cast<std::int64_t>(i) - 1))]);
    for (int k = 0; k < std::max(waves, times); ++k) {
        auto repetition = step;
        repetition.at_us += k * every;
        repetition.end_us += k * every;
        if (waves > 1) {
            const auto size = order.size(), w = static_cast<std::size_t>(waves),
                       i = static_cast<std::size_t>(k);
            repetition.proxies.assign(order.begin() + static_cast<std::ptrdiff_t>(size * i / w),
                                      order.begin() + static_cast<std::ptrdiff_t>(size * (i + 1) / w));
            std::sort(repetition.proxies.begin(), repetition.proxies.end());
            if (repetition.proxies.empty()) continue;
        }
        if (spread == 0) {
            out.push_back(repetition);
            continue;
        }
        for (const int p : repetition.proxies) {
            auto single = repetition;
            single.proxies = {p};
            single.end_us += random.between(0, spread);
            out.push_back(single);
        }
    }
}

sockaddr_in loopback_address(int block, int proxy, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    inet_pton(AF_INET, host_of(block, proxy).c_str(), &out.sin_addr);
    out.sin_port = htons(port);
    return out;
}

}  // namespace

std::string FaultStep::text() const {
    std::string words = std::find_if(std::begin(kFaultNames), std::end(kFaultNames), [&](auto& n) {
                            return n.second == what;
                        })->first;
    if (affects_edges(what))
        words += edge == EdgePeer::members     ? " members"
                 : edge == EdgePeer::discovery ? " discovery"
                                               : " clients";
    if (!proxies.empty()) words += ", " + std::to_string(proxies.size()) + " proxies";
    if (!members.empty()) words += ", " + std::to_string(members.size()) + " members";
    return words;
}

int zone_of(const Scenario& s, int proxy) { return proxy % s.zones; }

std::string host_of(int block, int proxy) {
    return "127." + std::to_string(block) + "." + std::to_string(proxy / 200) + "." +
           std::to_string(proxy % 200 + 10);
}

Scenario Scenario::read(const std::string& text, int proxies) {
    const auto file = json::parse(text, nullptr, false, true);
    if (file.is_discarded()) throw std::invalid_argument("scenario: not valid JSON");
    validate_schema(file);
    Scenario s;
    s.text = text;
    s.proxies = proxies > 0 ? proxies : file["proxies"].get<int>();
    s.zones = file.value("zones", 1);
    s.rate_per_s = file.value("rate_per_s", 10.0);
    s.uneven = file.value("uneven", 1.0);
    s.steady_from_us = from_s(file, "steady_from_s", 0);
    s.length_us = from_s(file, "length_s", 0);
    s.notice_us = from_ms(file, "notice_ms", 1000);
    auto& f = s.fleet;
    f.banks = file["banks"].get<int>();
    if (proxies > 0)
        f.banks = std::max(1, static_cast<int>(std::lround(static_cast<double>(f.banks) * proxies /
                                                           file["proxies"].get<double>())));
    f.members = file["members"].get<int>();
    if (f.banks * f.members >= emulator::kGeneration)
        throw std::invalid_argument("scenario: more than " + std::to_string(emulator::kGeneration) +
                                    " endpoints");
    f.zones.assign(std::begin(kZoneNames), std::begin(kZoneNames) + s.zones);
    const auto member = file.value("member", json::object());
    f.cores = member.value("cores", 2);
    f.queue = member.value("queue", std::size_t{64});
    f.connections = member.value("connections", std::size_t{400});
    f.connect_work = from_ms(member, "connect_ms", 1);
    f.least_work = from_ms(member, "least_work_ms", 42);
    f.most_work = from_ms(member, "most_work_ms", 73);
    if (f.most_work < f.least_work)
        throw std::invalid_argument("scenario: member.most_work_ms is less than least_work_ms");
    f.checks = member.value("checks", true);  // as the operators' endpoints do
    f.cold.from = member.value("cold_from", 0.29);
    f.cold.warm_after = from_s(member, "warm_after_s", 18);
    s.leave = file.value("leave", 0.0);
    s.deadline_ratio = file.value("deadline_ratio", 1.0);
    s.sockets = file.value("sockets", 1024);
    s.kill_after_term = file.value("kill_after_term", false);
    const auto sessions = file.value("sessions", json::object());
    s.sessions.share = sessions.value("share", 0.0);
    s.sessions.writes = sessions.value("writes", 0.3);
    s.sessions.each = sessions.value("each", 20);
    s.sessions.brought = sessions.value("marks", "kept") == "brought";
    const auto discovery = file.value("discovery", json::object());
    s.poll_work_us = from_ms(discovery, "call_ms", 2);
    s.entry_work_us = static_cast<Micros>(discovery.value("entry_us", 20.0));
    s.max_queue_us = from_ms(discovery, "longest_queue_ms", 500);
    if (discovery.value("overload", "reject") == "close") s.overload = emulator::Overload::close;
    s.closed_poll_cost = discovery.value("closed_call_cost", 1.0);
    f.list_late = from_ms(discovery, "list_late_ms", 900);
    f.role_late = from_ms(discovery, "role_late_ms", 3000);
    draw(s, 1);  // checks what the schema cannot express; throws std::invalid_argument
    return s;
}

Micros Scenario::kill_timeout_us() const {
    constexpr Micros kMaxLongestDeadlineUs = 3'000'000, kGraceUs = 700'000;
    Micros longest_us = 0;
    for (const auto& request_class : emulator::kClasses)
        longest_us = std::max(longest_us, request_class.timeout_us);
    const auto scaled_us = static_cast<Micros>(static_cast<double>(longest_us) * deadline_ratio);
    return std::min(scaled_us, kMaxLongestDeadlineUs) + kGraceUs;
}

Plan draw(const Scenario& scenario, std::uint64_t seed) {
    Plan plan;
    plan.scenario = scenario;
    plan.seed = seed;
    emulator::Random random(emulator::mixed(seed, "faults"));
    const auto file = json::parse(scenario.text, nullptr, false, true);
    for (const auto& fault : file.value("faults", json::array())) draw(scenario, fault, random, plan.steps);
    for (const auto& step : plan.steps)
        if (step.end_us > scenario.length_us)
            throw std::invalid_argument("scenario: a fault, " + step.text() + ", ends after length_s");
    std::stable_sort(plan.steps.begin(), plan.steps.end(),
                     [](auto& a, auto& b) { return a.at_us < b.at_us; });
    return plan;
}

Micros Plan::first_fault_us() const { return steps.empty() ? scenario.length_us : steps.front().at_us; }

sockaddr_in proxy_address(int block, int proxy) { return loopback_address(block, proxy, kProxyPort); }

emulator::DiscoverySettings discovery_settings(const Scenario& s, int block) {
    emulator::DiscoverySettings out;
    for (int p = 0; p < s.proxies; ++p) {
        out.at.push_back(loopback_address(block, p, kDiscoveryPort));
        out.hosts.push_back(host_of(block, p));
    }
    out.call = s.poll_work_us;
    out.entry = s.entry_work_us;
    out.longest_queue = s.max_queue_us;
    out.overload = s.overload;
    out.closed_poll_cost = s.closed_poll_cost;
    out.second_port = kSecondDiscoveryPort;
    return out;
}

emulator::FleetSettings fleet_settings(const Plan& plan, int block, int part, int parts) {
    auto out = plan.scenario.fleet;
    out.part = part;
    out.parts = parts;
    out.seed = emulator::mixed(plan.seed, "members");
    out.first_port = kFirstMemberPort;
    out.hosts.clear();
    for (int p = 0; p < plan.scenario.proxies; ++p) out.hosts.push_back(host_of(block, p));
    return out;
}

emulator::LoadSettings load_settings(const Plan& plan, int block, int part, int parts) {
    const auto& s = plan.scenario;
    emulator::LoadSettings out;
    out.rate = s.rate_per_s;
    out.uneven = s.uneven;
    out.length_us = s.length_us;
    out.groups = s.fleet.banks;
    out.sessions = s.sessions;
    out.notice = s.notice_us;
    out.leave = s.leave;
    out.deadline_ratio = s.deadline_ratio;
    out.grace = kResponseGraceUs;
    out.seed = emulator::mixed(plan.seed, "load");
    for (int p = 0; p < s.proxies; ++p) {
        out.proxies.push_back(proxy_address(block, p));
        if (p % parts == part) out.homes.push_back(p);
    }
    return out;
}

}  // namespace fault_harness
