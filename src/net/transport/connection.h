// One TCP connection as an object with callbacks, and the listener that takes them in.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/byte_account.h"
#include "transport/loop.h"

namespace sloestack::net {

// "10.0.0.4:5433"; nothing where it is no address with a port.
std::optional<sockaddr_in> parse_address(const std::string& text);

enum class Ending { end_of_input, broken };

class ConnectionEvents {
public:
    virtual void connected() {}
    virtual void received() = 0;
    virtual void drained() {}  // all that was written is with the kernel
    // After `broken` nothing more comes or goes; after `end_of_input` the peer may still be reading.
    virtual void ended(Ending how) = 0;

protected:
    ~ConnectionEvents() = default;
};

// The owner may destroy it at any time, also from its own callbacks; that closes the socket.
class Connection {
public:
    static std::unique_ptr<Connection> accepted(Loop& loop, evutil_socket_t fd, std::size_t most_unread,
                                                ConnectionEvents& events, ByteAccount* account = nullptr);
    // Nothing where no socket was to be had.
    static std::unique_ptr<Connection> open(Loop& loop, const sockaddr_in& to, std::size_t most_unread,
                                            ConnectionEvents& events);

    ~Connection();
    // The first bytes that have come, `most` of them or all there are.
    std::string_view unread(
        std::size_t most = static_cast<std::size_t>(-1));  // good until the next call that takes or reads
    void consume(std::size_t bytes);
    void bound_unread(std::size_t most);  // reading rests while that much is held
    void write(std::string_view bytes);
    // Without a copy: the bytes stay their keeper's until the kernel has them.
    void write(std::string_view bytes, std::shared_ptr<const void> keeper);
    // Moves the first bytes received to the end of `to`.
    void move_to(std::string& to, std::size_t bytes);
    void hold(bool on);                                            // stops or goes on reading
    std::uint64_t sent() const { return written_ - unwritten(); }  // bytes the kernel has taken
    std::size_t unwritten() const;
    std::size_t held() const;                       // bytes received and not consumed
    std::uint64_t taken() const { return taken_; }  // bytes consumed or moved, in all
    // No more will be written; the peer sees an end once it has read all. Input still comes.
    void end_writing();
    sockaddr_in local() const;  // this end's address, all zero where there is none yet
    // Whether the socket is free of errors; looks at the kernel's side, so also at what no callback told yet.
    bool healthy() const;
    // Whether nothing waits in the kernel: no bytes unread, no end, no error.
    bool quiet() const;
    // Whether the peer has ended its writing or all of the connection, be it behind bytes that are unread
    // yet.
    bool peer_has_ended() const;

private:
    struct Free {
        void operator()(bufferevent* b) const { bufferevent_free(b); }
    };
    Connection(bufferevent* bev, std::size_t most_unread, ConnectionEvents& events, ByteAccount* account);

    void read();
    void read_or_rest();

    std::unique_ptr<bufferevent, Free> bev_;
    ConnectionEvents& events_;
    ByteAccount* account_;
    std::uint64_t written_ = 0, taken_ = 0;
    std::size_t most_unread_;
    bool held_back_ = false, reads_ = true;
    bool* destroyed_ = nullptr;  // while a callback about input runs: whether that has destroyed this
};

class Listener {
public:
    // Throws std::runtime_error where the address cannot be listened on. `failed` is told when accepting does
    // not work (no descriptors); the listener then pauses until resumed, so that it does not spin.
    Listener(Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted,
             std::function<void()> failed);
    // The same on a socket that listens already. Other processes may accept from it too: it is never bound
    // anew nor shut down here, only closed.
    Listener(Loop& loop, evutil_socket_t listening, std::function<void(evutil_socket_t)> accepted,
             std::function<void()> failed);
    void pause();
    void resume();
    // Takes what the kernel has accepted already: what it still holds when the listener goes is reset.
    void take_all();
    std::uint16_t port() const;

private:
    struct Free {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };
    void watch_errors();

    std::function<void(evutil_socket_t)> accepted_;
    std::function<void()> failed_;
    std::unique_ptr<evconnlistener, Free> listener_;
};

}  // namespace sloestack::net
