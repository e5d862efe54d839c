// Emulates the network between two processes: the condition of each direction, the bytes in flight, and a
// connection that passes its bytes through both directions. Each pair of processes has its own address, so a
// fault between one pair does not affect others and needs no privileges or support of the kernel.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "deadlines/deadlines.h"
#include "emulator/event.h"
#include "emulator/values.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace emulator {

// The condition of one direction.
struct Condition {
    bool cut = false;        // no bytes pass; those in flight pass after the cut ends
    Micros delay = 0;        // added latency
    double bytes_per_s = 0;  // 0: no limit
    double loss = 0;         // share of the writes (0 to 1) that are retransmitted
    bool clear() const { return !cut && delay == 0 && bytes_per_s <= 0 && loss <= 0; }
};

// Both directions between a process under test and an emulator.
struct Edge {
    Condition in, out;  // towards the emulator, and away from it
    bool cut() const { return in.cut || out.cut; }
};

// The bytes in flight in one direction, in order. Does no I/O.
class Pipe {
public:
    static constexpr Micros kRetransmissionTimeout = 200'000;  // TCP's minimum retransmission time-out (RFC
                                                               // 6298 has 1 s; kernels use 200 ms)
    void put(std::string_view bytes, Time now, const Condition& condition, Random& random);
    // Returns when the next bytes arrive; std::nullopt if none are in flight or the direction is cut.
    std::optional<Time> next(const Condition& condition) const;
    // Removes and returns the bytes that have arrived by `now`.
    std::string take(Time now, const Condition& condition);
    bool empty() const { return pieces_.empty(); }

private:
    struct Piece {
        Time at;
        std::string bytes;
    };
    std::deque<Piece> pieces_;
    Time newest_at_ = 0, free_at_ = 0;  // arrival of the newest piece; when the bandwidth limit admits
                                        // the next
};

// The emulator's end of a connection. Has the interface of net::Connection; its owner may destroy it at any
// time, also from a callback. `edge` and `events` must outlive it.
class Line final : public sloestack::net::ConnectionEvents {
public:
    struct Host {
        sloestack::net::Loop& loop;
        sloestack::Deadlines& deadlines;
        Random& random;
    };
    Line(const Host& host, const Edge& edge, evutil_socket_t accepted, std::size_t max_unread_bytes,
         sloestack::net::ConnectionEvents& events);
    // Connects to `to`. If the edge is cut, the connection is never established.
    Line(const Host& host, const Edge& edge, const sockaddr_in& to, std::size_t max_unread_bytes,
         sloestack::net::ConnectionEvents& events);

    std::string_view unread() const { return unread_; }
    std::size_t unread_bytes() const { return unread_.size(); }
    void consume(std::size_t bytes) { unread_.erase(0, bytes); }
    void write(std::string_view bytes);
    void on_edge_changed();  // call it after a change of the edge's conditions

    void connected() override;
    void received() override;
    void ended(sloestack::net::ConnectionEnd how) override;

private:
    void deliver_due();  // passes on the bytes that have arrived in both directions
    void schedule_delivery();
    // Calls `callback`. Returns false if it destroyed this object.
    template <class Callback>
    bool alive_after(Callback callback);

    Host host_;
    const Edge& edge_;
    sloestack::net::ConnectionEvents& events_;
    std::unique_ptr<sloestack::net::Connection> connection_;
    Pipe in_, out_;
    std::string unread_;
    std::optional<sloestack::net::ConnectionEnd> pending_end_;
    bool end_reported_ = false;
    sloestack::Deadline next_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A listening socket that can emulate an unreachable machine: connections to it are then never established.
class Port {
public:
    // Throws std::runtime_error if it cannot listen on the address. Port 0: any free port.
    Port(sloestack::net::Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted);
    ~Port();
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;
    void cut(bool on);
    std::uint16_t port() const { return listener_->port(); }

private:
    int fd_ = -1, blocker_ = -1;  // `blocker_` fills the one place that a backlog of 0 leaves
    sockaddr_in at_{};
    std::unique_ptr<sloestack::net::Listener> listener_;
};

}  // namespace emulator
