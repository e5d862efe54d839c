#include "hot_restart/acknowledgement_tracker.h"

#include <utility>

namespace sloestack::hot_restart {
namespace {

constexpr Micros kAcknowledgementTimeoutUs = 300'000;

}  // namespace

void AcknowledgementTracker::expect(std::uint64_t sequence, Peers peers, std::function<void()> done) {
    if (peers.empty()) return done();
    auto& update = pending_[sequence];
    update.unacknowledged = std::move(peers);
    update.done = std::move(done);
    update.timeout.set(deadlines_, deadlines_.now() + kAcknowledgementTimeoutUs, [this, sequence] {
        const auto timed_out = pending_.extract(sequence);
        timed_out.mapped().done();
    });
}

void AcknowledgementTracker::on_acknowledged(const PeerConnection& peer, std::uint64_t sequence) {
    const auto found = pending_.find(sequence);
    if (found == pending_.end()) return;
    found->second.unacknowledged.erase(&peer);
    if (!found->second.unacknowledged.empty()) return;
    const auto completed = pending_.extract(found);
    completed.mapped().done();
}

void AcknowledgementTracker::on_peer_lost(const PeerConnection& peer) {
    for (auto it = pending_.begin(); it != pending_.end();) {
        const auto sequence = it->first;
        ++it;  // on_acknowledged may remove the entry
        on_acknowledged(peer, sequence);
    }
}

}  // namespace sloestack::hot_restart
