// Evidence summed over the members of a zone: that none of them is heard any more. Pure: time comes in.
#pragma once

#include <map>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

class ZoneHealth {
public:
    struct PendingAttempt {  // an attempt that is out
        int zone = 0;
        EndpointId endpoint = 0;
        Time sent_at = 0;
        double expected_us = 0;  // over 0
    };
    // A member of the zone has answered, whatever it said; true if the zone was taken for silent till now.
    bool on_answer(Time now, int zone);
    // An attempt ended after `waited_us` without an answer.
    void on_timeout(Time now, int zone, EndpointId server, double waited_us, double expected_us);
    // The zones that are taken for silent from now on.
    std::vector<int> find_newly_silent(Time now, const std::vector<PendingAttempt>& out);
    bool is_silent(int zone) const;
    // Of the silent zones, one at a time, that may be asked whether it is back: by all routers together one
    // every kTrialEvery, by each so much more seldom, from a moment drawn by its seed (`draw`, 0 to 1).
    std::vector<int> due_health_checks(Time now, int routers, double draw);

private:
    struct Zone {
        Time answered_at = -1, lost_at = -1, silent_since = -1, trial_at = 0;
        double lost = 0;  // expected latencies waited for nothing since the last answer
        EndpointId first = 0;
        bool several = false;  // members, that is
        void add(EndpointId server, double evidence);
    };
    std::map<int, Zone> zones_;
};

}  // namespace sloestack::decision
