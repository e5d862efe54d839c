// Non-blocking Unix stream sockets at a path in the file system.
#pragma once

#include <event2/util.h>
#include <sys/types.h>

#include <stdexcept>
#include <string>
#include <variant>

namespace sloestack::hot_restart {

struct SocketError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class ConnectFailure {
    no_socket,    // there is no socket at the path
    no_listener,  // its process has ended
    temporary     // a system call failed for the moment, or the listener's queue is full
};
using ConnectResult = std::variant<evutil_socket_t, ConnectFailure>;

// Returns a socket connected to the listener at `path`. The caller owns the descriptor.
ConnectResult connect_unix_socket(const std::string& path);

struct FileId {
    dev_t device = 0;
    ino_t inode = 0;
};

struct UnixListener {
    evutil_socket_t socket = -1;  // owned by the caller
    FileId file;                  // at the path, until another process replaces it
};

// Returns a socket that listens at `path`, and replaces the file there, if any, in one step. Throws
// SocketError.
UnixListener listen_on_unix_socket(const std::string& path);

// Returns true if the file at `path` is missing or not `file`; false if that cannot be determined.
bool is_file_replaced(const std::string& path, const FileId& file);

}  // namespace sloestack::hot_restart
