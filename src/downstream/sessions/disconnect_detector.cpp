#include "sessions/disconnect_detector.h"

#include "sessions/response_messages.h"

namespace sloestack::downstream {
namespace {

constexpr Micros kFirstCheckDelayUs = 2'000;  // a round trip
constexpr Micros kCheckIntervalUs = 10'000;   // a reset may come at any time

}  // namespace

void DisconnectDetector::input_ended() { schedule_check(kFirstCheckDelayUs); }

void DisconnectDetector::input_paused() {
    if (!check_.is_set()) schedule_check(kCheckIntervalUs);
}

bool DisconnectDetector::client_disconnected() {
    if (connection_->is_error_free()) return false;
    // The caller may be in the midst of work for this session.
    check_.set(deadlines_, deadlines_.now(), [this] { owner_.on_client_disconnected(); });
    return true;
}

void DisconnectDetector::schedule_check(Micros delay) {
    if (owner_.is_streaming_response()) return;
    if (!notice_sent_ && (owner_.input_has_ended() || connection_->peer_has_closed())) {
        notice_sent_ = true;
        connection_->write(input_ended_notice());
    }
    check_.set(deadlines_, deadlines_.now() + delay, [this] { check(); });
}

void DisconnectDetector::check() {
    if (!connection_->is_error_free()) return owner_.on_client_disconnected();
    const bool input_matters = owner_.input_has_ended() || owner_.input_is_paused();
    if (owner_.waits_for_response() && input_matters) schedule_check(kCheckIntervalUs);
}

}  // namespace sloestack::downstream
