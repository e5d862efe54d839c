// Detects zones in which no endpoint responds any more, by evidence summed over the zone's endpoints (see
// silence_criteria.h). Reads no clock; random draws are arguments.
#pragma once

#include <map>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

class ZoneHealth {
public:
    // An attempt in flight.
    struct PendingAttempt {
        int zone = 0;
        EndpointId endpoint = 0;
        Time sent_at = 0;
        double expected_us = 0;  // expected latency; over 0
    };
    // Records a response of any kind from an endpoint of the zone. Returns whether the zone was silent.
    bool on_response(Time now, int zone);
    // Records an attempt that ended after `waited_us` without a response. `expected_us` is over 0.
    void on_timeout(Time now, int zone, EndpointId endpoint, double waited_us, double expected_us);
    // Returns the zones that have become silent. That takes missing responses of several endpoints, since a
    // single one may hang, while another zone responds, since otherwise this router may be cut off.
    std::vector<int> find_newly_silent(Time now, const std::vector<PendingAttempt>& pending);
    bool is_silent(int zone) const;
    // Returns the silent zones in which the health of one endpoint is to be checked now. Each router checks a
    // zone every 250 ms, or every 3 ms times the router count if that is longer, with jitter by `draw`, which
    // is uniform in [0, 1).
    std::vector<int> due_health_checks(Time now, int router_count, double draw);

private:
    struct Zone {
        Time last_response_at = -1;
        Time evidence_updated_at = -1;  // when `evidence` was last decayed
        Time silent_since = -1;
        Time next_check_at = 0;
        double evidence = 0;  // sum of expected latencies without a response since the last response
        EndpointId first_endpoint = 0;
        bool has_several_endpoints = false;

        bool is_silent() const { return silent_since >= 0; }
        void add_evidence(EndpointId endpoint, double amount);
    };
    bool another_zone_responds(Time now, int zone) const;

    std::map<int, Zone> zones_;
};

}  // namespace sloestack::decision
