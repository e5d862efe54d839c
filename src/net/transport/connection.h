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

enum class ConnectionEnd { end_of_input, error };

class ConnectionEvents {
public:
    virtual void connected() {}
    virtual void received() = 0;
    virtual void drained() {}  // all that was written is with the kernel
    // After `error` nothing more comes or goes; after `end_of_input` the peer may still be reading.
    virtual void ended(ConnectionEnd how) = 0;

protected:
    ~ConnectionEvents() = default;
};

// The owner may destroy it at any time, also from its own callbacks; that closes the socket.
class Connection {
public:
    static std::unique_ptr<Connection> from_socket(Loop& loop, evutil_socket_t fd,
                                                   std::size_t max_unread_bytes, ConnectionEvents& events,
                                                   ByteAccount* account = nullptr);
    // Nothing where no socket was to be had.
    static std::unique_ptr<Connection> open(Loop& loop, const sockaddr_in& to, std::size_t max_unread_bytes,
                                            ConnectionEvents& events);

    ~Connection();
    // The first bytes that have come, `max_bytes` of them or all there are.
    std::string_view peek(std::size_t max_bytes =
                              static_cast<std::size_t>(-1));  // good until the next call that takes or reads
    void consume(std::size_t bytes);
    void set_max_unread_bytes(std::size_t max_bytes);  // reading rests while that much is held
    void write(std::string_view bytes);
    // Without a copy: the bytes stay their keeper's until the kernel has them.
    void write(std::string_view bytes, std::shared_ptr<const void> keeper);
    // Moves the first bytes received to the end of `to`.
    void move_to(std::string& to, std::size_t bytes);
    void set_reading_paused(bool is_paused);  // stops or goes on reading
    std::uint64_t sent_bytes() const {
        return written_bytes_ - unwritten_bytes();
    }  // bytes the kernel has taken
    std::size_t unwritten_bytes() const;
    std::size_t unread_bytes() const;                                 // bytes received and not consumed
    std::uint64_t consumed_bytes() const { return consumed_bytes_; }  // bytes consumed or moved, in all
    // No more will be written; the peer sees an end once it has read all. Input still comes.
    void shutdown_write();
    sockaddr_in local_address() const;  // this end's address, all zero where there is none yet
    // Whether the socket is free of errors; looks at the kernel's side, so also at what no callback told yet.
    bool is_error_free() const;
    // Whether nothing waits in the kernel: no bytes unread, no end, no error.
    bool has_nothing_to_read() const;
    // Whether the peer has ended its writing or all of the connection, be it behind bytes that are unread
    // yet.
    bool peer_has_closed() const;

private:
    struct Free {
        void operator()(bufferevent* b) const { bufferevent_free(b); }
    };
    Connection(bufferevent* bev, std::size_t max_unread_bytes, ConnectionEvents& events,
               ByteAccount* account);

    void read();
    void update_reading();

    std::unique_ptr<bufferevent, Free> bev_;
    ConnectionEvents& events_;
    ByteAccount* account_;
    std::uint64_t written_bytes_ = 0, consumed_bytes_ = 0;
    std::size_t max_unread_bytes_;
    bool is_reading_paused_ = false, is_reading_ = true;
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
    void accept_pending();
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
