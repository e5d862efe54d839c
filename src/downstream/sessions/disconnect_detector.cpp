#include "sessions/disconnect_detector.h"

#include "sessions/response_messages.h"

namespace sloestack::downstream {
namespace {

constexpr Micros kFirstCheckDelayUs = 2'000;  // for a round trip: the notice and a RST in response
constexpr Micros kCheckIntervalUs = 10'000;   // a RST may arrive at any time
// A client counts as connected for this long after a probe that it has acknowledged was sent.
constexpr Micros kProbeValidityUs = 50'000;

}  // namespace

void DisconnectDetector::on_input_ended() { schedule_check(kFirstCheckDelayUs); }

void DisconnectDetector::on_input_paused() {
    if (!check_.is_set()) schedule_check(kCheckIntervalUs);
}

traffic::ClientPresence DisconnectDetector::client_presence() {
    using traffic::ClientPresence;
    if (!connection_->is_error_free()) {
        // Deferred: the caller may be using this session.
        check_.set(deadlines_, deadlines_.now(), [this] { owner_.on_client_disconnected(); });
        return ClientPresence::disconnected;
    }
    if (!has_fin()) return ClientPresence::connected;
    if (probe_is_acknowledged()) {
        probe_is_outstanding_ = false;
        last_present_at_ = probe_sent_at_;
    }
    if (last_present_at_ && deadlines_.now() - *last_present_at_ < kProbeValidityUs)
        return ClientPresence::connected;
    if (!probe_is_outstanding_) send_probe();
    return ClientPresence::unverified;
}

bool DisconnectDetector::has_fin() const {
    return owner_.input_has_ended() || connection_->peer_has_closed();
}

// A notice must not be written between the parts of a response.
void DisconnectDetector::send_probe() {
    if (owner_.is_streaming_response()) return;
    probe_is_outstanding_ = true;
    probe_sent_at_ = deadlines_.now();
    connection_->write(input_ended_notice());
}

bool DisconnectDetector::probe_is_acknowledged() const {
    if (!probe_is_outstanding_ || deadlines_.now() - probe_sent_at_ < kFirstCheckDelayUs) return false;
    return connection_->is_output_acknowledged().value_or(true);
}

void DisconnectDetector::schedule_check(Micros delay) {
    if (owner_.is_streaming_response()) return;
    if (probe_sent_at_ == 0 && has_fin()) send_probe();
    check_.set(deadlines_, deadlines_.now() + delay, [this] { check(); });
}

void DisconnectDetector::check() {
    if (!connection_->is_error_free()) return owner_.on_client_disconnected();
    const bool cannot_detect_by_reading = owner_.input_has_ended() || owner_.input_is_paused();
    if (owner_.waits_for_response() && cannot_detect_by_reading) schedule_check(kCheckIntervalUs);
}

}  // namespace sloestack::downstream
