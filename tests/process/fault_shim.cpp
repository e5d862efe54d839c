// Makes system calls of a process fail in ways that Linux documents. Loaded with LD_PRELOAD; environment
// variables select the faults:
//   SHIM_ACCEPT_ERRORS=N       every N-th accept fails: ECONNABORTED, ENFILE, ENOBUFS and EINTR in turn
//   SHIM_SOCKET_ERRORS=N       every N-th socket() fails: ENFILE, ENOBUFS in turn
//   SHIM_CONNECT_ERRORS=N      every N-th connect() fails: EADDRNOTAVAIL, ENETUNREACH in turn
//   SHIM_WAIT_INTERRUPTS=N     every N-th epoll_wait returns EINTR
//   SHIM_SHORT_IO=N            reads and writes move at most N bytes; every second one returns EINTR
//   SHIM_NO_TCP_INFO=1         TCP_INFO is all zeros, as on emulated sockets
//   SHIM_WALL_CLOCK_STEP=S     the wall clock is S seconds off from the second after the start on
#include <dlfcn.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace {

long setting(const char* name) {
    const char* text = std::getenv(name);
    return text ? std::atol(text) : 0;
}

template <class Function>
Function next(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// Fails every `interval`-th call, with the errors in turn.
template <std::size_t kCount>
class FailingCall {
public:
    FailingCall(const char* name, std::array<int, kCount> errors)
        : interval_(setting(name)), errors_(errors) {}
    bool fails() {
        if (interval_ <= 0 || ++calls_ % interval_ != 0) return false;
        errno = errors_[static_cast<std::size_t>(calls_ / interval_) % kCount];
        return true;
    }

private:
    long interval_;
    long calls_ = 0;
    std::array<int, kCount> errors_;
};

bool is_stream_socket(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

// Returns the vector, shortened to the limit of bytes.
std::pair<iovec, bool> shortened(const iovec* vector, int count) {
    static const auto limit = static_cast<std::size_t>(setting("SHIM_SHORT_IO"));
    if (limit == 0 || count == 0) return {{}, false};
    return {{vector[0].iov_base, std::min(vector[0].iov_len, limit)}, true};
}

bool interrupts_io() {
    static long calls = 0;
    if (++calls % 2 != 0) return false;
    errno = EINTR;
    return true;
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    static FailingCall<4> call("SHIM_ACCEPT_ERRORS", {ECONNABORTED, ENFILE, ENOBUFS, EINTR});
    static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    return call.fails() ? -1 : real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    static FailingCall<2> call("SHIM_SOCKET_ERRORS", {ENFILE, ENOBUFS});
    static const auto real = next<int (*)(int, int, int)>("socket");
    return call.fails() ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static FailingCall<2> call("SHIM_CONNECT_ERRORS", {EADDRNOTAVAIL, ENETUNREACH});
    static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
    return call.fails() ? -1 : real(fd, address, size);
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* size) {
    static const auto real = next<int (*)(int, int, int, void*, socklen_t*)>("getsockopt");
    static const bool hides_tcp_info = setting("SHIM_NO_TCP_INFO") != 0;
    const int result = real(fd, level, option, value, size);
    if (result == 0 && hides_tcp_info && level == IPPROTO_TCP && option == TCP_INFO)
        std::memset(value, 0, *size);
    return result;
}

int epoll_wait(int fd, epoll_event* events, int count, int timeout) {
    static FailingCall<1> call("SHIM_WAIT_INTERRUPTS", {EINTR});
    static const auto real = next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
    return call.fails() ? -1 : real(fd, events, count, timeout);
}

ssize_t readv(int fd, const iovec* vector, int count) {
    static const auto real = next<ssize_t (*)(int, const iovec*, int)>("readv");
    const auto [piece, is_short] = shortened(vector, count);
    if (!is_short || !is_stream_socket(fd)) return real(fd, vector, count);
    return interrupts_io() ? -1 : real(fd, &piece, 1);
}

ssize_t writev(int fd, const iovec* vector, int count) {
    static const auto real = next<ssize_t (*)(int, const iovec*, int)>("writev");
    const auto [piece, is_short] = shortened(vector, count);
    if (!is_short || !is_stream_socket(fd)) return real(fd, vector, count);
    return interrupts_io() ? -1 : real(fd, &piece, 1);
}

int clock_gettime(clockid_t clock, timespec* now) {
    static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
    static const long step_s = setting("SHIM_WALL_CLOCK_STEP");
    const int result = real(clock, now);
    if (result != 0 || clock != CLOCK_REALTIME || step_s == 0) return result;
    static const time_t first_second = now->tv_sec;
    if (now->tv_sec > first_second) now->tv_sec += step_s;
    return result;
}

}  // extern "C"
