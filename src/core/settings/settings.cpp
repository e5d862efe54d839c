#include "settings.h"

#include <charconv>
#include <cmath>
#include <map>
#include <stdexcept>

namespace sloestack::settings {
namespace {

using namespace sloestack::decision;
using Table = std::map<std::string, std::string, std::less<>>;

[[noreturn]] void bad(const std::string& key, const std::string& why) {
    throw std::invalid_argument(key + ": " + why);
}

Table read_lines(std::string_view text) {
    Table table;
    while (!text.empty()) {
        const auto end = text.find('\n');
        auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        const auto eq = line.find('=');
        if (eq != std::string_view::npos) table.emplace(line.substr(0, eq), line.substr(eq + 1));
    }
    return table;
}

class Reader {
public:
    explicit Reader(const Table& table) : table_(table) {}

    const std::string* find(const std::string& key) const {
        const auto it = table_.find(key);
        return it == table_.end() || it->second.empty() ? nullptr : &it->second;
    }
    const std::string& text(const std::string& key) const {
        const auto* value = find(key);
        if (!value) bad(key, "missing");
        return *value;
    }
    double number(const std::string& key) const {
        const std::string& value = text(key);
        double out = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
        if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(out))
            bad(key, "not a number: " + value);
        return out;
    }
    double number(const std::string& key, double otherwise) const {
        return find(key) ? number(key) : otherwise;
    }
    Micros micros(const std::string& key) const { return static_cast<Micros>(number(key)); }
    Micros micros(const std::string& key, Micros otherwise) const {
        return find(key) ? micros(key) : otherwise;
    }
    bool flag(const std::string& key, bool otherwise) const {
        const auto* value = find(key);
        if (!value) return otherwise;
        if (*value == "true" || *value == "1") return true;
        if (*value == "false" || *value == "0") return false;
        bad(key, "not true or false: " + *value);
    }
    std::vector<std::string> list(const std::string& key) const {
        std::vector<std::string> out;
        const auto* value = find(key);
        if (!value) return out;
        for (std::size_t from = 0;;) {
            const auto comma = value->find(',', from);
            out.push_back(value->substr(from, comma - from));
            if (comma == std::string::npos) return out;
            from = comma + 1;
        }
    }

private:
    const Table& table_;
};

template <class T>
T word(const std::string& key, const std::string& value,
       std::initializer_list<std::pair<const char*, T>> words) {
    for (const auto& [name, meaning] : words)
        if (value == name) return meaning;
    bad(key, "unknown word " + value);
}

RequestClassSettings read_class(const Reader& in, const std::string& path) {
    RequestClassSettings out;
    out.idempotency = word<Idempotency>(path + "effect", in.text(path + "effect"),
                                        {{"read_like", Idempotency::idempotent},
                                         {"idempotency_key", Idempotency::keyed},
                                         {"non_idempotent", Idempotency::none}});
    if (out.idempotency == Idempotency::keyed) {
        out.idempotency_scope = word<IdempotencyScope>(path + "group", in.text(path + "group"),
                                                       {{"cell", IdempotencyScope::replica_group},
                                                        {"zone", IdempotencyScope::zone},
                                                        {"all", IdempotencyScope::fleet}});
        out.idempotency_window_us = in.micros(path + "memory-span-us");
    }
    out.latency_objective_us = in.micros(path + "promise-us");
    out.deadline_us = in.micros(path + "deadline-us");
    out.priority_weight = in.number(path + "worth", 1);
    out.late_weight_ratio = in.number(path + "late-worth", 0);
    return out;
}

void read_classes(const Reader& in, Settings& out) {
    const double count = in.number("classes.count");
    if (!(count >= 1 && count <= 256)) bad("classes.count", "out of range");
    const auto needs = in.list("specifics.class-read");
    const auto bounds = in.list("specifics.staleness-bound-us");
    if (needs.size() != static_cast<std::size_t>(count))
        bad("specifics.class-read", "one word a class is wanted");
    for (std::size_t i = 0; i < needs.size(); ++i) {
        auto request_class = read_class(in, "classes." + std::to_string(i) + ".");
        request_class.consistency = word<Consistency>("specifics.class-read", needs[i],
                                                      {{"mutate", Consistency::linearizable},
                                                       {"strong", Consistency::linearizable},
                                                       {"causal", Consistency::session},
                                                       {"lag_bound", Consistency::bounded_staleness},
                                                       {"eventual", Consistency::any}});
        request_class.is_write = needs[i] == "mutate";
        if (request_class.consistency == Consistency::bounded_staleness) {
            if (i >= bounds.size()) bad("specifics.staleness-bound-us", "missing for a lag_bound class");
            request_class.staleness_bound_us = std::strtoll(bounds[i].c_str(), nullptr, 10);
        }
        out.classes.push_back(request_class);
    }
}

void read_limits(const Reader& in, Settings& out) {
    out.health_checks_allowed = in.flag("limits.probes", false);
    out.cancel_allowed = in.flag("limits.cancel", false);
    out.hedging_allowed = in.flag("limits.second-copies", false);
    out.retry_after_supported = in.flag("limits.retry-after", false);
    out.max_retry_after_us = in.micros("limits.max-retry-after-us", 0);
    out.max_attempts = static_cast<int>(in.number("limits.most-tries"));
    out.removal_is_advisory = in.flag("rules.gone-is-advice", false);
    out.slow_start_min_capacity_ratio = in.number("rules.cold-from");
    out.slow_start_duration_us = in.micros("rules.warm-after-us");
    out.overload_multiple = in.number("rules.fall-multiple");
    out.overload_window_us = in.micros("rules.fall-us");
}

}  // namespace

InstanceSettings parse_settings(std::string_view text) {
    const Table table = read_lines(text);
    const Reader in(table);
    InstanceSettings out;
    Settings& r = out.router;
    read_classes(in, r);
    read_limits(in, r);
    r.router_count = static_cast<int>(in.number("balancers", 1));
    r.router_index = static_cast<int>(in.number("rank", -1));
    r.zone = static_cast<int>(in.number("zone", 0));
    r.cross_zone_cost = in.number("charges.cross-zone", 0);
    if (in.find("discovery"))
        r.discovery_is_polled =
            word<bool>("discovery", in.text("discovery"), {{"pushed", false}, {"on_request", true}});
    if (in.find("specifics.write-marks"))
        r.last_write_age_reported = word<bool>("specifics.write-marks", in.text("specifics.write-marks"),
                                               {{"kept", false}, {"brought", true}});
    in.flag("specifics.progress-told", false);  // only checked: answers show whether they carry positions
    if (in.find("specifics.checks"))
        r.position_check = word<PositionCheck>("specifics.checks", in.text("specifics.checks"),
                                               {{"none", PositionCheck::none},
                                                {"bounce", PositionCheck::reject},
                                                {"await", PositionCheck::wait}});
    r.position_wait_us = in.micros("specifics.patience-us", 0);
    if (in.find("specifics.role-listed"))
        r.listed_role = word<ListedRole>(
            "specifics.role-listed", in.text("specifics.role-listed"),
            {{"none", ListedRole::none}, {"static", ListedRole::initial}, {"trailing", ListedRole::delayed}});
    out.position_base = in.micros("specifics.base-time-us", 0);
    out.report_fields = in.list("feedback.fields");
    for (std::size_t i = 0; i < r.classes.size(); ++i) {
        const auto* name = in.find("classes." + std::to_string(i) + ".name");
        out.class_names.push_back(name ? *name : "");
    }
    out.zone_names = in.list("azs");
    out.connect_timeout_us = in.micros("limits.connect-timeout-us", 0);
    out.idle_limit_us = in.micros("limits.conn-idle-us", 0);
    const auto* how = in.find("feedback.how");
    for (const auto& field : out.report_fields)
        if (how && *how != "none" && (field == "x0" || field == "x1")) r.health_checks_report_status = true;
    return out;
}

}  // namespace sloestack::settings
