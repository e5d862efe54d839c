// Exclusion updates that have been sent to other processes and are not yet acknowledged by all of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "deadlines/deadlines.h"

namespace sloestack::hot_restart {

class PeerConnection;

class AcknowledgementTracker {
public:
    using Peers = std::set<const PeerConnection*>;  // compared only, never followed

    explicit AcknowledgementTracker(Deadlines& deadlines) : deadlines_(deadlines) {}

    // Calls `done` once all peers have acknowledged the update, are lost, or have taken too long; at once
    // where there are none. `sequence` is unique.
    void expect(std::uint64_t sequence, Peers peers, std::function<void()> done);
    // Acknowledgements that nobody waits for are ignored.
    void on_acknowledged(const PeerConnection& peer, std::uint64_t sequence);
    // No acknowledgement is expected of this peer any more.
    void on_peer_lost(const PeerConnection& peer);

private:
    struct PendingUpdate {
        Peers missing;
        std::function<void()> done;
        Deadline timeout;
    };

    Deadlines& deadlines_;
    std::map<std::uint64_t, PendingUpdate> pending_;
};

}  // namespace sloestack::hot_restart
