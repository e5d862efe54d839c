// How far the bytes that were written to a TCP socket have got, as the kernel tells it.
#pragma once

#include <cstddef>
#include <optional>

namespace sloestack::net {

struct SendProgress {
    std::size_t unacknowledged_bytes = 0;  // that the kernel has taken and the peer's kernel has not
    std::size_t unsent_bytes = 0;          // of those, the ones that have not been transmitted yet
    std::size_t peer_window = 0;           // bytes that the peer's last acknowledgement has room for
};

// Returns std::nullopt if the kernel does not tell, as on emulated sockets.
std::optional<SendProgress> read_send_progress(int socket);

}  // namespace sloestack::net
