// A TCP connection with callbacks, which runs on a Loop.
#pragma once

#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/byte_account.h"
#include "transport/loop.h"
#include "transport/send_progress.h"

namespace sloestack::net {

// Parses an IPv4 address with a port, such as "10.0.0.4:5433"; std::nullopt if `text` is not one.
std::optional<sockaddr_in> parse_address(const std::string& text);

enum class ConnectionEnd { end_of_input, error };

// Callbacks of a connection; each runs on the event loop.
class ConnectionEvents {
public:
    virtual void connected() {}
    // More bytes have been received.
    virtual void received() = 0;
    // The kernel has taken all written bytes.
    virtual void drained() {}
    // `end_of_input`: the peer has sent a FIN and may still be reading. `error`: the connection can neither
    // be read nor written any more.
    virtual void ended(ConnectionEnd how) = 0;

protected:
    ~ConnectionEvents() = default;
};

// The owner may destroy it at any time, including from its own callbacks; destruction closes the socket.
class Connection {
public:
    // Takes ownership of the connected socket `fd`. Reading pauses while `max_unread_bytes` received bytes
    // are not consumed. `events` and `account` (optional) outlive the connection. Returns null, with the
    // socket closed, if libevent cannot allocate its buffers.
    static std::unique_ptr<Connection> from_socket(Loop& loop, evutil_socket_t fd,
                                                   std::size_t max_unread_bytes, ConnectionEvents& events,
                                                   ByteAccount* account = nullptr);
    // Begins to connect to `to`. Returns null if no socket could be opened or connect() failed at once; a
    // connection that the peer refuses is reported by ended().
    static std::unique_ptr<Connection> open(Loop& loop, const sockaddr_in& to, std::size_t max_unread_bytes,
                                            ConnectionEvents& events);

    ~Connection();
    // Returns the first `max_bytes` of the bytes received and not consumed, or all of them if there are
    // fewer. Valid until the next call of peek(), consume() or move_to(), and no longer than until control
    // returns to the event loop.
    std::string_view peek(std::size_t max_bytes = static_cast<std::size_t>(-1));
    void consume(std::size_t bytes);
    // Changes the number of received bytes at which reading pauses until some of them are consumed.
    void set_max_unread_bytes(std::size_t max_bytes);
    void write(std::string_view bytes);
    // The same, but hands the kernel at once what it takes now, without waiting for the event loop.
    void write_now(std::string_view bytes);
    // Writes without copying: `owner` keeps `bytes` alive until the kernel has taken them.
    void write(std::string_view bytes, std::shared_ptr<const void> owner);
    // Both: hands the kernel at once what it takes now, and does not copy the rest.
    void write_now(std::string_view bytes, std::shared_ptr<const void> owner);
    // Receives what has arrived in the kernel by now, without waiting for the event loop, and calls
    // received() if that is anything. The end of the input is left to the event loop.
    void receive_now();
    // Appends the first `bytes` received bytes, or all if there are fewer, to `to` and consumes them.
    void move_to(std::string& to, std::size_t bytes);
    void set_reading_paused(bool is_paused);
    // Bytes that the kernel has taken since the connection was opened.
    std::uint64_t sent_bytes() const { return written_bytes_ - unwritten_bytes(); }
    // Bytes written that the kernel has not taken yet.
    std::size_t unwritten_bytes() const;
    // Bytes received and not consumed.
    std::size_t unread_bytes() const;
    // Bytes consumed or moved since the connection was opened.
    std::uint64_t consumed_bytes() const { return consumed_bytes_; }
    // Half-closes the connection: sends a FIN after all data in the kernel. Input is still received.
    void shutdown_write();
    // The socket's own address; all zero if it has none yet.
    sockaddr_in local_address() const;
    // Returns false if the kernel has an error pending on the socket, such as a RST that no callback has
    // reported yet. Reading the error clears it.
    bool is_error_free() const;
    // Returns true if a read from the socket would block: neither data nor a FIN nor an error is pending in
    // the kernel.
    bool has_nothing_to_read() const;
    // Returns how long ago the kernel received the newest data of this connection, whether or not it has been
    // read; 0 if that is within the resolution of the kernel's clock, std::nullopt if the kernel does not
    // tell.
    std::optional<Micros> input_age() const;
    // Returns how many of the written bytes the peer's kernel has acknowledged, which it does only while the
    // socket is open there; std::nullopt if the kernel does not tell.
    std::optional<std::uint64_t> acknowledged_bytes() const;
    // Returns how far the written bytes that the kernel has taken have got; std::nullopt if it does not tell.
    std::optional<SendProgress> send_progress() const;
    // Has the destructor reset the connection: the kernel discards the bytes that the peer has not
    // acknowledged, which it would otherwise go on to deliver.
    void reset_on_close();
    // Has the kernel acknowledge the bytes received so far at once. It would delay that by up to 40 ms,
    // during which the kernel of a peer without TCP_NODELAY holds back the next small write.
    void acknowledge_now();
    // Returns true if anything is pending on the socket: data, a FIN or an error. While data is pending, the
    // peer may have closed the connection: if the receive buffer is full, a FIN cannot arrive behind it.
    bool has_pending_input() const;

private:
    // Returns how many of the bytes the kernel has taken; 0 if earlier ones still wait.
    std::size_t send_now(std::string_view bytes);

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
    // Set while events_.received() runs: the destructor sets the flag it points to.
    bool* destroyed_ = nullptr;
};

}  // namespace sloestack::net
