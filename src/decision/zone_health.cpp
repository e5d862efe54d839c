#include "zone_health.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "conversions.h"
#include "silence_criteria.h"

namespace sloestack::decision {
namespace {

constexpr double kEvidenceDecayUs = 4e6;  // time constant
constexpr Micros kMinCheckIntervalUs = 250'000;
constexpr Micros kCheckIntervalPerRouterUs = 3'000;
// Another zone must have responded within this time; otherwise this router itself is probably cut off.
constexpr Micros kMaxOtherZoneResponseAgeUs = 500'000;

}  // namespace

void ZoneHealth::Zone::add_evidence(EndpointId endpoint, double amount) {
    if (evidence == 0) {
        first_endpoint = endpoint;
        has_several_endpoints = false;
    }
    has_several_endpoints = has_several_endpoints || endpoint != first_endpoint;
    evidence += amount;
}

bool ZoneHealth::on_response(Time now, int zone) {
    auto& state = zones_[zone];
    const bool was_silent = state.is_silent();
    state = Zone{};
    state.last_response_at = now;
    return was_silent;
}

void ZoneHealth::on_timeout(Time now, int zone, EndpointId endpoint, double waited_us, double expected_us) {
    auto& state = zones_[zone];
    state.evidence *= std::exp(-as_double(now - state.evidence_updated_at) / kEvidenceDecayUs);
    state.evidence_updated_at = now;
    state.add_evidence(endpoint, std::min(waited_us, as_double(now - state.last_response_at)) / expected_us);
}

std::vector<int> ZoneHealth::find_newly_silent(Time now, const std::vector<PendingAttempt>& pending) {
    // Called every tick. Without attempts in flight no zone can have become silent.
    if (pending.empty()) return {};
    auto with_pending = zones_;
    std::set<int> zones_with_long_wait;
    for (const auto& attempt : pending) {
        auto& state = with_pending[attempt.zone];
        const double waited_us = as_double(now - std::max(attempt.sent_at, state.last_response_at));
        state.add_evidence(attempt.endpoint, waited_us / attempt.expected_us);
        if (waited_us > std::max<double>(kMinSilenceUs, kSilenceLatencyFactor * attempt.expected_us))
            zones_with_long_wait.insert(attempt.zone);
    }
    std::vector<int> newly_silent;
    for (const auto& [zone, state] : with_pending) {
        const bool is_suspect = state.evidence >= kSilenceEvidence && state.has_several_endpoints;
        if (state.is_silent() || !is_suspect || zones_with_long_wait.count(zone) == 0) continue;
        if (!another_zone_responds(now, zone)) continue;
        zones_[zone].silent_since = now;
        zones_[zone].next_check_at = now;
        newly_silent.push_back(zone);
    }
    return newly_silent;
}

bool ZoneHealth::another_zone_responds(Time now, int zone) const {
    return std::any_of(zones_.begin(), zones_.end(), [&](const auto& entry) {
        const auto& state = entry.second;
        return entry.first != zone && !state.is_silent() &&
               now - state.last_response_at < kMaxOtherZoneResponseAgeUs;
    });
}

bool ZoneHealth::is_silent(int zone) const {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.is_silent();
}

std::vector<int> ZoneHealth::due_health_checks(Time now, int router_count, double draw) {
    std::vector<int> due;
    const Micros interval_us = std::max(kMinCheckIntervalUs, router_count * kCheckIntervalPerRouterUs);
    for (auto& [zone, state] : zones_) {
        if (!state.is_silent() || now < state.next_check_at) continue;
        if (state.next_check_at > state.silent_since) due.push_back(zone);
        state.next_check_at = now + as_micros((0.5 + draw) * as_double(interval_us));
    }
    return due;
}

}  // namespace sloestack::decision
