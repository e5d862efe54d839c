// Evidence, summed over the endpoints of a zone, that none of them answers any more. Time comes in; nothing
// is drawn here.
#pragma once

#include <map>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

class ZoneHealth {
public:
    // An attempt that has not ended.
    struct PendingAttempt {
        int zone = 0;
        EndpointId endpoint = 0;
        Time sent_at = 0;
        double expected_us = 0;  // over 0
    };
    // An endpoint of the zone has answered, whatever it said; true if the zone was silent till now.
    bool on_answer(Time now, int zone);
    // An attempt ended after `waited_us` without an answer.
    void on_timeout(Time now, int zone, EndpointId endpoint, double waited_us, double expected_us);
    // The zones that are silent from now on. One endpoint may hang, and a slow one still answers: a zone is
    // silent only where several endpoints are waited for in vain while another zone answers.
    std::vector<int> find_newly_silent(Time now, const std::vector<PendingAttempt>& pending);
    bool is_silent(int zone) const;
    // The silent zones of which one endpoint is to be checked now. All routers together check a zone every 3
    // ms, each at a pace that is drawn by `draw`, in [0, 1).
    std::vector<int> due_health_checks(Time now, int router_count, double draw);

private:
    struct Zone {
        Time answered_at = -1;
        Time evidence_at = -1;  // when evidence was last added
        Time silent_since = -1;
        Time next_check_at = 0;
        double evidence = 0;  // expected latencies waited for in vain since the last answer
        EndpointId first_endpoint = 0;
        bool several_endpoints = false;

        bool is_silent() const { return silent_since >= 0; }
        void add_evidence(EndpointId endpoint, double amount);
    };
    bool another_zone_answers(Time now, int zone) const;

    std::map<int, Zone> zones_;
};

}  // namespace sloestack::decision
