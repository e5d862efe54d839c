// Accepts TCP connections on a Loop.
#pragma once

#include <event2/listener.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "transport/loop.h"

namespace sloestack::net {

// Accepts TCP connections. Its destruction closes the listening socket.
class Listener {
public:
    // Throws std::runtime_error if it cannot listen on the address. `accepted` takes ownership of each
    // accepted socket. If accept() fails, as when the process is out of descriptors, the listener pauses
    // until resume() so that it does not spin, and calls `failed`.
    Listener(Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted,
             std::function<void()> failed);
    // The same for a socket that is already listening. Other processes may accept from the same socket, so it
    // is never bound again or shut down here, only closed.
    Listener(Loop& loop, evutil_socket_t listening, std::function<void(evutil_socket_t)> accepted,
             std::function<void()> failed);
    void pause();
    // Accepts the connections in the kernel's accept queue, until it is empty or `accepted` has called
    // pause(). Returns true if the queue was empty at last.
    bool resume();
    // Accepts all connections in the kernel's accept queue; the kernel resets those that are left there when
    // the listening socket is closed. Goes on after a failure as long as some connection is accepted between
    // two. Returns false if some may be left.
    bool accept_pending();
    std::uint16_t port() const;

private:
    struct Free {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };
    enum class AcceptResult { queue_empty, stopped, failed };
    // Accepts connections while `condition` returns true. Sets `has_accepted`, if given, for each of them.
    template <class Condition>
    AcceptResult accept_while(Condition condition, bool* has_accepted = nullptr);
    void watch_errors();

    std::function<void(evutil_socket_t)> accepted_;
    std::function<void()> failed_;
    bool is_paused_ = false;
    std::unique_ptr<evconnlistener, Free> listener_;
};

}  // namespace sloestack::net
