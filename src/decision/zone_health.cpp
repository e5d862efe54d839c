#include "zone_health.h"

#include <algorithm>
#include <cmath>

namespace sloestack::decision {
namespace {

constexpr double kEvidence = 10;         // expected latencies without any answer: e^-10 by chance
constexpr double kLongest = 4;           // x expected: one attempt has waited that long ...
constexpr Micros kMinSilence = 120'000;  // us; ... and this: shorter silences happen by chance
constexpr double kAges = 4e6;            // us; what was lost before counts less and less
constexpr Micros kTrialEvery = 3'000;    // us; for all routers together, in one zone ...
constexpr Micros kTrialLeast = 250'000;  // us; ... and for each of a few
constexpr Micros kElsewhere = 500'000;   // us; others answer: else it is the router that hears nothing

}  // namespace

void ZoneHealth::Zone::add(EndpointId server, double evidence) {
    if (lost == 0) first = server, several = false;
    several = several || server != first;
    lost += evidence;
}
bool ZoneHealth::on_answer(Time now, int zone) {
    auto& z = zones_[zone];
    const bool was_silent = z.silent_since >= 0;
    z = Zone{};
    z.answered_at = now;
    return was_silent;
}
void ZoneHealth::on_timeout(Time now, int zone, EndpointId server, double waited_us, double expected_us) {
    auto& z = zones_[zone];
    z.lost *= std::exp(-static_cast<double>(now - z.lost_at) / kAges);
    z.lost_at = now;
    z.add(server, std::min(waited_us, static_cast<double>(now - z.answered_at)) / expected_us);
}
// One member may be hung: only where several wait in vain is it the zone. One that answers slowly is never
// silent.
std::vector<int> ZoneHealth::find_newly_silent(Time now, const std::vector<PendingAttempt>& out) {
    // Nobody waits: nothing has been long enough. Every tick of every router comes through here.
    if (out.empty()) return {};
    auto seen = zones_;
    std::map<int, bool> long_enough;
    for (const auto& w : out) {
        auto& z = seen[w.zone];
        const auto waited = static_cast<double>(now - std::max(w.sent_at, z.answered_at));
        z.add(w.endpoint, waited / w.expected_us);
        if (waited > std::max<double>(kMinSilence, kLongest * w.expected_us)) long_enough[w.zone] = true;
    }
    std::vector<int> fallen;
    for (const auto& [id, z] : seen) {
        const auto others = [&, zone = id](const auto& o) {
            return o.first != zone && o.second.silent_since < 0 && now - o.second.answered_at < kElsewhere;
        };
        if (z.silent_since >= 0 || z.lost < kEvidence || !z.several) continue;
        if (!long_enough[id]) continue;
        if (std::none_of(zones_.begin(), zones_.end(), others)) continue;
        zones_[id].silent_since = zones_[id].trial_at = now;
        fallen.push_back(id);
    }
    return fallen;
}
bool ZoneHealth::is_silent(int zone) const {
    const auto z = zones_.find(zone);
    return z != zones_.end() && z->second.silent_since >= 0;
}
std::vector<int> ZoneHealth::due_health_checks(Time now, int routers, double draw) {
    std::vector<int> due;
    const Micros every = std::max(kTrialLeast, routers * kTrialEvery);
    for (auto& [id, z] : zones_) {
        if (z.silent_since < 0 || now < z.trial_at) continue;
        if (z.trial_at > z.silent_since) due.push_back(id);
        z.trial_at = now + static_cast<Micros>((0.5 + draw) * static_cast<double>(every));
    }
    return due;
}

}  // namespace sloestack::decision
