// Estimates when the peer's application will have read a long message, from the pace at which its kernel has
// taken the message. An acknowledged byte may still be unread: it waits in the peer's receive buffer, whose
// size the sender does not know. Of a message that fits into that buffer as a whole, the pace is not known.
#pragma once

#include <cstddef>
#include <optional>

#include "deadlines/clock.h"
#include "transport/send_progress.h"

namespace sloestack::net {

class DeliveryEstimator {
public:
    // A message begins to be sent on a connection whose peer has read all earlier bytes.
    DeliveryEstimator(Time begun_at, std::size_t peer_window)
        : begun_at_(begun_at), first_window_(peer_window), largest_window_(peer_window) {}

    // `sent_bytes` of the message have been written to the socket. To be called often: the estimate counts a
    // delay between two calls as time that the peer needed.
    void update(Time now, std::size_t sent_bytes, const SendProgress& progress);
    // Returns the time by which the peer will have read the bytes sent, if it does not become slower than it
    // has been; std::nullopt if that is not known yet. The time may be over.
    std::optional<Time> read_by() const { return read_by_; }
    // Returns true if the estimate would profit from a newer window, which each further byte brings.
    bool needs_newer_window() const { return is_acknowledged_ && !is_window_open_; }

private:
    std::size_t max_unread_bytes(std::size_t window) const;
    void lower_estimate(Time now, std::size_t sent_bytes, std::size_t read_bytes);

    Time begun_at_;
    std::size_t first_window_;
    std::size_t largest_window_;
    bool is_acknowledged_ = false;
    bool is_window_open_ = false;  // the window is as large as it has been, or larger
    std::optional<Time> read_by_;
};

}  // namespace sloestack::net
