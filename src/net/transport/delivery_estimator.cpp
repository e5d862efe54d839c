#include "transport/delivery_estimator.h"

#include <algorithm>

namespace sloestack::net {
namespace {

// Estimates begin when this share of the message, or less, is unacknowledged.
constexpr std::size_t kMaxUnacknowledgedShare = 16;

}  // namespace

void DeliveryEstimator::update(Time now, std::size_t sent_bytes, const SendProgress& progress) {
    largest_window_ = std::max(largest_window_, progress.peer_window);
    if (is_window_open_ || progress.unacknowledged_bytes > sent_bytes / kMaxUnacknowledgedShare) return;
    const auto acknowledged_bytes = sent_bytes - progress.unacknowledged_bytes;
    const auto max_unread = max_unread_bytes(progress.peer_window);
    // With less than half of the message read, an error in the size of the buffer would count too much.
    if (acknowledged_bytes >= max_unread + sent_bytes / 2)
        lower_estimate(now, sent_bytes, acknowledged_bytes - max_unread);
    is_acknowledged_ = progress.unacknowledged_bytes == 0;
    if (!is_acknowledged_ || progress.peer_window < largest_window_) return;
    is_window_open_ = true;
    lower_estimate(now, sent_bytes, sent_bytes / 2);
}

// A kernel advertises half of its receive buffer at first, and up to two thirds later.
std::size_t DeliveryEstimator::max_unread_bytes(std::size_t window) const {
    return std::max(2 * first_window_, largest_window_ + largest_window_ / 2) - window;
}

// The peer has read at least `read_bytes` since the message began, and goes on at that pace.
void DeliveryEstimator::lower_estimate(Time now, std::size_t sent_bytes, std::size_t read_bytes) {
    if (read_bytes == 0) return;
    const double bytes_ratio = static_cast<double>(sent_bytes) / static_cast<double>(read_bytes);
    const Time estimate = begun_at_ + static_cast<Micros>(static_cast<double>(now - begun_at_) * bytes_ratio);
    read_by_ = read_by_ ? std::min(*read_by_, estimate) : estimate;
}

}  // namespace sloestack::net
