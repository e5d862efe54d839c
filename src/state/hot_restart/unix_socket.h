// Non-blocking Unix stream sockets at a path in the file system.
#pragma once

#include <event2/util.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace sloestack::hot_restart {

struct SocketError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A socket connected to whoever listens at `path`; nothing where nobody does. The caller owns it.
std::optional<evutil_socket_t> connect_unix_socket(const std::string& path);

// A socket that listens at `path`, in place of whatever was there before. The caller owns it. Throws
// SocketError.
evutil_socket_t listen_on_unix_socket(const std::string& path);

}  // namespace sloestack::hot_restart
