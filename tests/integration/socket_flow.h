// What has passed through one end of a TCP connection, as the kernel counts it. The proxy under test runs in
// the test's own process, so both its ends and the test's can be looked at.
#pragma once

#include <cstdint>

struct SocketFlow {
    std::uint64_t read = 0;     // bytes the process has taken from the kernel
    std::uint64_t unread = 0;   // bytes that wait in the kernel for the process to take them
    std::uint64_t written = 0;  // bytes the process has given to the kernel
};

// Exact while nothing moves. Amid movement `read` may be too low and `written` too high, never the reverse.
// Either may count the handshake as one byte.
SocketFlow flow_at(int fd);

// This process's descriptor of the other end of a connection within the process; -1 where it has none.
int other_end(int fd);
