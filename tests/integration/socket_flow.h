// Bytes that have passed through one end of a TCP connection, as the kernel counts them. The proxy runs in
// the test's process, so the sockets of both can be inspected.
#pragma once

#include <cstdint>

struct SocketFlow {
    std::uint64_t read = 0;     // bytes that the process has read
    std::uint64_t unread = 0;   // bytes in the kernel's receive buffer
    std::uint64_t written = 0;  // bytes that the process has written
};

// Returns the counts of a socket. They are exact while no bytes are in motion; otherwise `read` may be too
// low and `written` too high, never the reverse. Either may count the handshake as one byte.
SocketFlow flow_at(int fd);

// Returns this process's descriptor of the other end of a connection; -1 if the other end is in another
// process.
int other_end(int fd);
