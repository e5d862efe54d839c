#include "settings/settings.h"

#include <cstdlib>

#include "settings/setting_field.h"
#include "settings/setting_reader.h"

namespace sloestack::settings {
namespace {

using decision::Consistency;
using decision::Idempotency;
using decision::IdempotencyScope;
using decision::ListedRole;
using decision::PositionCheck;
using decision::RequestClassSettings;
using decision::Settings;

constexpr double kMaxClasses = 256;

// ---- Words that settings may hold ----

constexpr Word<Idempotency> kIdempotencyWords[] = {
    {"read_like", Idempotency::idempotent},
    {"idempotency_key", Idempotency::keyed},
    {"non_idempotent", Idempotency::none},
};
constexpr Word<IdempotencyScope> kIdempotencyScopeWords[] = {
    {"cell", IdempotencyScope::replica_group},
    {"zone", IdempotencyScope::zone},
    {"all", IdempotencyScope::fleet},
};
constexpr const char* kWriteWord = "mutate";
constexpr Word<Consistency> kConsistencyWords[] = {
    {kWriteWord, Consistency::linearizable}, {"strong", Consistency::linearizable},
    {"causal", Consistency::session},        {"lag_bound", Consistency::bounded_staleness},
    {"eventual", Consistency::any},
};
constexpr Word<bool> kDiscoveryIsPolledWords[] = {{"pushed", false}, {"on_request", true}};
constexpr Word<bool> kLastWriteAgeWords[] = {{"kept", false}, {"brought", true}};
constexpr Word<PositionCheck> kPositionCheckWords[] = {
    {"none", PositionCheck::none},
    {"bounce", PositionCheck::reject},
    {"await", PositionCheck::wait},
};
constexpr Word<ListedRole> kListedRoleWords[] = {
    {"none", ListedRole::none},
    {"static", ListedRole::initial},
    {"trailing", ListedRole::delayed},
};

// ---- Settings of one request class, prefixed with "classes.N." ----

constexpr Field<RequestClassSettings> kIdempotencyFields[] = {
    {"effect", Presence::required, store_word<&RequestClassSettings::idempotency, kIdempotencyWords>},
};
constexpr Field<RequestClassSettings> kKeyedFields[] = {
    {"group", Presence::required,
     store_word<&RequestClassSettings::idempotency_scope, kIdempotencyScopeWords>},
    {"memory-span-us", Presence::required, store<&RequestClassSettings::idempotency_window_us>},
};
constexpr Field<RequestClassSettings> kObjectiveFields[] = {
    {"promise-us", Presence::required, store<&RequestClassSettings::latency_objective_us>},
    {"deadline-us", Presence::required, store<&RequestClassSettings::deadline_us>},
    {"worth", Presence::optional, store<&RequestClassSettings::priority_weight>},
    {"late-worth", Presence::optional, store<&RequestClassSettings::late_weight_ratio>},
};

// ---- Settings of the router ----

// Checks that the value is a flag, but does not store it: each response shows whether it carries a position.
void check_flag(const SettingReader& reader, const std::string& key, Settings&) { (void)reader.flag(key); }

constexpr Field<Settings> kRouterFields[] = {
    {"limits.probes", Presence::optional, store<&Settings::health_checks_allowed>},
    {"limits.cancel", Presence::optional, store<&Settings::cancel_allowed>},
    {"limits.second-copies", Presence::optional, store<&Settings::hedging_allowed>},
    {"limits.retry-after", Presence::optional, store<&Settings::retry_after_supported>},
    {"limits.max-retry-after-us", Presence::optional, store<&Settings::max_retry_after_us>},
    {"limits.most-tries", Presence::required, store<&Settings::max_attempts>},
    {"rules.gone-is-advice", Presence::optional, store<&Settings::removal_is_advisory>},
    {"rules.cold-from", Presence::required, store<&Settings::slow_start_min_capacity_ratio>},
    {"rules.warm-after-us", Presence::required, store<&Settings::slow_start_duration_us>},
    {"rules.fall-multiple", Presence::required, store<&Settings::overload_multiple>},
    {"rules.fall-us", Presence::required, store<&Settings::overload_window_us>},
    {"balancers", Presence::optional, store<&Settings::router_count>},
    {"rank", Presence::optional, store<&Settings::router_index>},
    {"zone", Presence::optional, store<&Settings::zone>},
    {"charges.cross-zone", Presence::optional, store<&Settings::cross_zone_cost>},
    {"discovery", Presence::optional, store_word<&Settings::discovery_is_polled, kDiscoveryIsPolledWords>},
    {"specifics.write-marks", Presence::optional,
     store_word<&Settings::last_write_age_reported, kLastWriteAgeWords>},
    {"specifics.progress-told", Presence::optional, check_flag},
    {"specifics.checks", Presence::optional, store_word<&Settings::position_check, kPositionCheckWords>},
    {"specifics.patience-us", Presence::optional, store<&Settings::position_wait_us>},
    {"specifics.role-listed", Presence::optional, store_word<&Settings::listed_role, kListedRoleWords>},
};

// ---- Settings of the packages around the router ----

constexpr Field<InstanceSettings> kInstanceFields[] = {
    {"specifics.base-time-us", Presence::optional, store<&InstanceSettings::position_base>},
    {"feedback.fields", Presence::optional, store<&InstanceSettings::report_fields>},
    {"azs", Presence::optional, store<&InstanceSettings::zone_names>},
    {"limits.connect-timeout-us", Presence::optional, store<&InstanceSettings::connect_timeout_us>},
    {"limits.conn-idle-us", Presence::optional, store<&InstanceSettings::idle_limit_us>},
};

// The number of request classes, the settings that hold one value per class, separated by commas, and the
// setting that says how load reports are delivered.
constexpr const char* kClassCountKey = "classes.count";
constexpr const char* kConsistencyKey = "specifics.class-read";
constexpr const char* kStalenessBoundKey = "specifics.staleness-bound-us";
constexpr const char* kReportDeliveryKey = "feedback.how";

std::string class_prefix(std::size_t index) { return "classes." + std::to_string(index) + "."; }

RequestClassSettings read_class(const SettingReader& reader, const std::string& prefix) {
    RequestClassSettings out;
    read_fields(reader, prefix, kIdempotencyFields, out);
    if (out.idempotency == Idempotency::keyed) read_fields(reader, prefix, kKeyedFields, out);
    read_fields(reader, prefix, kObjectiveFields, out);
    return out;
}

std::vector<RequestClassSettings> read_classes(const SettingReader& reader) {
    const double count = reader.number(kClassCountKey);
    if (!(count >= 1 && count <= kMaxClasses))
        throw SettingError(kClassCountKey, "out of range, must be 1 to 256");
    const auto consistencies = reader.list(kConsistencyKey);
    const auto bounds = reader.list(kStalenessBoundKey);
    if (consistencies.size() != static_cast<std::size_t>(count))
        throw SettingError(kConsistencyKey, "must hold one value per request class");
    std::vector<RequestClassSettings> out;
    for (std::size_t i = 0; i < consistencies.size(); ++i) {
        auto& request_class = out.emplace_back(read_class(reader, class_prefix(i)));
        request_class.consistency = read_word(kConsistencyKey, consistencies[i], kConsistencyWords);
        request_class.is_write = consistencies[i] == kWriteWord;
        if (request_class.consistency != Consistency::bounded_staleness) continue;
        if (i >= bounds.size())
            throw SettingError(kStalenessBoundKey, "missing for a request class with lag_bound");
        request_class.staleness_bound_us = std::strtoll(bounds[i].c_str(), nullptr, 10);
    }
    return out;
}

std::vector<std::string> read_class_names(const SettingReader& reader, std::size_t count) {
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        const auto* name = reader.find(class_prefix(i) + "name");
        out.push_back(name ? *name : "");
    }
    return out;
}

// Returns whether load reports are delivered and hold a position or a role.
bool reports_hold_status(const SettingReader& reader, const std::vector<std::string>& report_fields) {
    const auto* delivery = reader.find(kReportDeliveryKey);
    if (!delivery || *delivery == "none") return false;
    for (const auto& name : report_fields)
        if (name == kPositionReportField || name == kRoleReportField) return true;
    return false;
}

}  // namespace

InstanceSettings parse_settings(std::string_view text) {
    const SettingReader reader(text);
    InstanceSettings out;
    out.router.classes = read_classes(reader);
    read_fields(reader, "", kRouterFields, out.router);
    read_fields(reader, "", kInstanceFields, out);
    out.class_names = read_class_names(reader, out.router.classes.size());
    out.router.health_checks_report_status = reports_hold_status(reader, out.report_fields);
    return out;
}

}  // namespace sloestack::settings
