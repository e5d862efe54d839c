// Model of one replica group: which endpoint is the primary, up to which position each has applied the log,
// and which writes are dropped as duplicates. Does no I/O; callers pass the time, which must not decrease.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/event.h"

namespace emulator {

struct ReplicaGroupModelSettings {
    int members = 3;                      // endpoints; the first is the primary at the start
    Micros lag = 8'000;                   // of a replica that keeps up: the delay of the log
    Micros duplicate_window = 5'000'000;  // how long a duplicate key is recognized
    Micros detection_delay = 1'500'000;   // until a lost primary is detected
    Micros failover_delay = 2'200'000;    // from the detection until a replica is the primary
    Micros handover_delay = 500'000;      // from the drain of a primary until a replica is the primary
};

class ReplicaGroupModel {
public:
    ReplicaGroupModel(const ReplicaGroupModelSettings& settings, Time now);

    // Returns the index of the primary, -1 while the replica group accepts no writes.
    int primary(Time now);
    // Returns the time up to which the endpoint has applied all commits; never decreases for an endpoint.
    Time position(int member, Time now);
    // Makes the replica apply the log `factor` times more slowly until `until`.
    void slow_apply(int member, double factor, Time until, Time now);
    void mark_down(int member, Time now);  // crashed or unreachable
    void mark_up(int member, Time now);
    void drain(int member, Time now);
    void end_drain(int member);
    // Replaces the endpoint with a new one that starts from a copy of the data as of `copied_at`.
    void replace(int member, Time copied_at, Time now);
    bool is_up(int member) const { return members_.at(static_cast<std::size_t>(member)).up; }

    struct Write {
        bool ran = false;  // false: a duplicate; `value` and `commit` are those of the first write
        std::string value;
        Time commit = 0;
    };
    // Executes a write with an idempotency key at the primary.
    Write write(const std::string& key, const std::string& value, Time now);

private:
    struct Member {
        bool up = true, draining = false;
        Time applied = 0, updated_at = 0;  // `applied` is the position at `updated_at`
        double slow_factor = 1;
        Time slow_until = 0;
    };
    void elect_primary(Time now);

    ReplicaGroupModelSettings settings_;
    std::vector<Member> members_;
    int primary_ = 0;
    Time lost_at_ = 0;  // when the primary was lost; 0 while there is one
    Micros election_delay_ = 0;
    struct CommittedWrite {
        std::string value;
        Time at = 0;
    };
    std::unordered_map<std::string, CommittedWrite> writes_by_key_;
    std::deque<std::pair<Time, std::string>> keys_by_age_;
};

}  // namespace emulator
