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
    check_probe();
    if (!connection_->is_error_free()) {
        // Deferred: the caller may be using this session.
        check_.set(deadlines_, deadlines_.now(), [this] { owner_.on_client_disconnected(); });
        return ClientPresence::disconnected;
    }
    if (!may_have_disconnected()) return ClientPresence::connected;
    if (last_present_at_ && deadlines_.now() - *last_present_at_ < kProbeValidityUs)
        return ClientPresence::connected;
    if (!probe_) send_probe();
    return ClientPresence::unverified;
}

bool DisconnectDetector::may_have_disconnected() const {
    return owner_.input_has_ended() || connection_->has_pending_input();
}

// A notice must not be written between the parts of a response, whose next part serves as the probe.
void DisconnectDetector::send_probe() {
    has_sent_probe_ = true;
    probe_ = Probe{connection_->sent_bytes(), deadlines_.now()};
    if (connection_->unwritten_bytes() == 0 && !owner_.is_streaming_response())
        connection_->write(input_ended_notice());
}

void DisconnectDetector::check_probe() {
    if (!probe_ || deadlines_.now() - probe_->sent_at < kFirstCheckDelayUs) return;
    if (connection_->acknowledged_bytes().value_or(connection_->sent_bytes()) <= probe_->position) return;
    last_present_at_ = probe_->sent_at;
    probe_.reset();
}

void DisconnectDetector::schedule_check(Micros delay) {
    if (owner_.is_streaming_response()) return;
    if (!has_sent_probe_ && may_have_disconnected()) send_probe();
    check_.set(deadlines_, deadlines_.now() + delay, [this] { check(); });
}

void DisconnectDetector::check() {
    if (!connection_->is_error_free()) return owner_.on_client_disconnected();
    const bool cannot_detect_by_reading = owner_.input_has_ended() || owner_.input_is_paused();
    if (owner_.waits_for_response() && cannot_detect_by_reading) schedule_check(kCheckIntervalUs);
}

}  // namespace sloestack::downstream
