#include "transport/listener.h"

#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <stdexcept>
#include <string>

namespace sloestack::net {
namespace {

constexpr int kListenBacklog = 1024;

// Returns whether accept() failed for the next connection only, or was interrupted, so that it may be called
// again at once. See "Error handling" in accept(2).
bool concerns_one_connection(int error) {
    constexpr int kErrors[] = {EINTR,     ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT,
                               EHOSTDOWN, ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
    return std::find(std::begin(kErrors), std::end(kErrors), error) != std::end(kErrors);
}

}  // namespace

Listener::Listener(Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted,
                   std::function<void()> failed)
    : accepted_(std::move(accepted)), failed_(std::move(failed)) {
    listener_.reset(evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<Listener*>(self)->accepted_(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, kListenBacklog,
        reinterpret_cast<const sockaddr*>(&at), sizeof at));
    if (!listener_) throw std::runtime_error(std::string("cannot listen: ") + std::strerror(errno));
    watch_errors();
}

Listener::Listener(Loop& loop, evutil_socket_t listening, std::function<void(evutil_socket_t)> accepted,
                   std::function<void()> failed)
    : accepted_(std::move(accepted)), failed_(std::move(failed)) {
    int is_listening = 0;
    socklen_t size = sizeof is_listening;
    if (getsockopt(listening, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 || !is_listening)
        throw std::runtime_error("cannot listen: descriptor " + std::to_string(listening) +
                                 " is not a listening socket");
    evutil_make_socket_nonblocking(listening);
    evutil_make_socket_closeonexec(listening);
    listener_.reset(evconnlistener_new(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<Listener*>(self)->accepted_(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, listening));
    if (!listener_)
        throw std::runtime_error("cannot listen: libevent could not register the listening socket");
    watch_errors();
}

void Listener::watch_errors() {
    evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* arg) {
        auto& self = *static_cast<Listener*>(arg);
        self.pause();
        self.failed_();
    });
}

void Listener::pause() {
    is_paused_ = true;
    evconnlistener_disable(listener_.get());
}

bool Listener::resume() {
    is_paused_ = false;
    evconnlistener_enable(listener_.get());
    const auto result = accept_while([this] { return !is_paused_; });
    if (result == AcceptResult::failed) {
        pause();
        failed_();
    }
    return result == AcceptResult::queue_empty;
}

bool Listener::accept_pending() {
    auto result = AcceptResult::failed;
    bool has_accepted = true;
    while (result == AcceptResult::failed && has_accepted) {
        has_accepted = false;
        result = accept_while([] { return true; }, &has_accepted);
    }
    return result == AcceptResult::queue_empty;
}

template <class Condition>
Listener::AcceptResult Listener::accept_while(Condition condition, bool* has_accepted) {
    const auto listening = evconnlistener_get_fd(listener_.get());
    while (condition()) {
        const auto fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            if (has_accepted) *has_accepted = true;
            accepted_(fd);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK)
            return AcceptResult::queue_empty;
        else if (!concerns_one_connection(errno))
            return AcceptResult::failed;
    }
    return AcceptResult::stopped;
}

std::uint16_t Listener::port() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

}  // namespace sloestack::net
