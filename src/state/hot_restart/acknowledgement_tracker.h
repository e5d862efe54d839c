// Tracks the exclusion updates that have been sent to other
// processes and not yet acknowledged by all of them.
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
    using Peers = std::set<const PeerConnection*>;  // compared only, never dereferenced

    explicit AcknowledgementTracker(Deadlines& deadlines) : deadlines_(deadlines) {}

    // Calls `done` once each peer has acknowledged the update or is lost,
    // at the latest when the acknowledgement time-out expires. If `peers`
    // is empty, `done` runs before this returns. `sequence` must be unique.
    void expect(std::uint64_t sequence, Peers peers, std::function<void()> done);
    // Ignores acknowledgements of updates that are not tracked.
    void on_acknowledged(const PeerConnection& peer, std::uint64_t sequence);
    // Stops waiting for acknowledgements from this peer.
    void on_peer_lost(const PeerConnection& peer);

private:
    struct PendingUpdate {
        Peers unacknowledged;
        std::function<void()> done;
        Deadline timeout;
    };

    Deadlines& deadlines_;
    std::map<std::uint64_t, PendingUpdate> pending_;
};

}  // namespace sloestack::hot_restart
