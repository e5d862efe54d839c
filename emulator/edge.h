// What lies between two processes: one direction's condition, the bytes that are under way in it, and a
// connection whose bytes pass through both. Edges are told apart by address, so that what is cut between one
// pair leaves all others alone, and nothing of it needs privileges or the kernel's help.
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

namespace emulator {

struct Condition {
    bool cut = false;        // nothing passes; what is under way passes once it is mended
    Micros delay = 0;        // added to each byte's way
    double bytes_per_s = 0;  // 0: no limit
    double loss = 0;         // share of the pieces written (0 to 1) that must be sent again
    bool clear() const { return !cut && delay == 0 && bytes_per_s <= 0 && loss <= 0; }
};

// Both directions between a process of the program and a stand-in.
struct Edge {
    Condition in, out;  // towards the stand-in, and away from it
    bool cut() const { return in.cut || out.cut; }
};

// The bytes under way in one direction, in order. Pure.
class Pipe {
public:
    static constexpr Micros kSentAgain = 200'000;  // TCP's least retransmission time-out (RFC 6298 has 1 s;
                                                   // kernels use 200 ms)
    void put(std::string_view bytes, Time now, const Condition& condition, Random& random);
    // When the next bytes come through; nothing where none are under way or the way is cut.
    std::optional<Time> next(const Condition& condition) const;
    std::string take(Time now, const Condition& condition);  // all that have come through by then
    bool empty() const { return pieces_.empty(); }

private:
    struct Piece {
        Time at;
        std::string bytes;
    };
    std::deque<Piece> pieces_;
    Time last_ = 0, free_ = 0;  // the newest piece's time; when the line can begin with the next
};

// A stand-in's end of a connection. Used like net::Connection; its owner may destroy it at any time.
class Line final : public sloestack::net::ConnectionEvents {
public:
    struct Host {
        sloestack::net::Loop& loop;
        sloestack::Deadlines& deadlines;
        Random& random;
    };
    Line(const Host& host, const Edge& edge, evutil_socket_t accepted, std::size_t most_unread,
         sloestack::net::ConnectionEvents& events);
    // Opened from here. While the edge is cut it never comes up.
    Line(const Host& host, const Edge& edge, const sockaddr_in& to, std::size_t most_unread,
         sloestack::net::ConnectionEvents& events);

    std::string_view unread() const { return arrived_; }
    std::size_t held() const { return arrived_.size(); }
    void consume(std::size_t bytes) { arrived_.erase(0, bytes); }
    void write(std::string_view bytes);
    void changed();  // the edge's conditions are others now

    void connected() override;
    void received() override;
    void ended(sloestack::net::ConnectionEnd how) override;

private:
    void flow();  // lets through what is due
    void plan();
    // Calls `tell`; false where that has destroyed this.
    template <class Tell>
    bool alive_after(Tell tell);

    Host host_;
    const Edge& edge_;
    sloestack::net::ConnectionEvents& events_;
    std::unique_ptr<sloestack::net::Connection> connection_;
    Pipe in_, out_;
    std::string arrived_;
    std::optional<sloestack::net::ConnectionEnd> ending_;
    bool ended_told_ = false;
    sloestack::Deadline next_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A listening socket that can stand as if its machine had gone: connections to it never come up.
class Port {
public:
    // Throws std::runtime_error where the address cannot be listened on. Port 0: any that is free.
    Port(sloestack::net::Loop& loop, const sockaddr_in& at, std::function<void(evutil_socket_t)> accepted);
    ~Port();
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;
    void cut(bool on);
    std::uint16_t port() const { return listener_->port(); }

private:
    int fd_ = -1, filler_ = -1;  // the filler takes the one place that the kernel leaves in a backlog of none
    sockaddr_in at_{};
    std::unique_ptr<sloestack::net::Listener> listener_;
};

}  // namespace emulator
