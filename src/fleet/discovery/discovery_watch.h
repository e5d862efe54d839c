// Follows discovery's endpoint list by HTTP long polling: starts the next poll as soon as one has succeeded.
// decision::PollTimeouts determines how long discovery may hold a poll and when the poll times out. After a
// failed poll the watch stops, and the listener decides when to start it again.
//
// A poll that has timed out may still wait in discovery's queue. Its connection stays open until a list is
// received, so that its place in the queue is not lost, and the first list of any poll is used.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "deadlines/deadlines.h"
#include "discovery/endpoint_list_parser.h"
#include "discovery/poll_connection.h"
#include "discovery_poll_schedule.h"
#include "traffic/endpoint_list.h"

namespace sloestack::discovery {

class DiscoveryWatch final : public PollConnectionEvents {
public:
    // `host` is sent in the Host header. `revision` is that of the list that the listener already has, if
    // any. All referenced objects must outlive the watch.
    DiscoveryWatch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address, std::string host,
                   EndpointListParser& parser, std::optional<std::int64_t> revision,
                   traffic::EndpointListListener& listener, const decision::PollTimeouts& timeouts);

    // Starts polling; does nothing if the watch is polling already.
    // A failed poll stops it and is reported to the listener.
    void start();
    // Moves to another address of discovery and requests the complete list there, because revisions of the
    // old address have no meaning at the new one. All routers are told to move at once; so that those of a
    // large fleet do not all poll at once, one that has a poll open at the old address stays there for a
    // moment.
    void change_address(const sockaddr_in& address, std::string host);
    // Returns whether any poll has succeeded or failed so far.
    bool has_completed_poll() const { return has_completed_poll_; }

    void on_poll_connected(PollConnection& connection) override;
    void on_poll_response(PollConnection& connection, const http::ResponseParser& response) override;
    void on_poll_broken(PollConnection& connection, PollFailure failure, const std::string& reason) override;

private:
    struct OverduePoll {
        std::unique_ptr<PollConnection> connection;
        bool is_long_poll;
    };

    void poll();
    void poll_again();
    void move();
    void connect();
    void send_request(PollConnection& connection);
    // Applies the response's list. Returns false, with the reason logged, if it has none that is valid.
    bool apply_list(const http::ResponseParser& response, bool was_long_poll, Micros delay);
    Micros response_delay() const;
    void on_poll_timeout();
    void on_poll_failed(PollFailure failure);
    void on_overdue_response(PollConnection& connection, const http::ResponseParser& response);
    void on_overdue_broken(PollConnection& connection, PollFailure failure);
    bool shows_overload() const;
    bool is_current(const PollConnection& connection) const { return &connection == connection_.get(); }
    void keep_overdue();
    std::optional<OverduePoll> take_overdue(const PollConnection& connection);
    void drop_overdue_polls();
    void drop_connection();
    void log_failure(const std::string& reason) const;
    bool is_long_poll() const { return revision_ && current_poll_.hold_us > 0; }

    net::Loop& loop_;
    Deadlines& deadlines_;
    sockaddr_in address_;
    std::string host_;
    sockaddr_in next_address_;  // the same as `address_` unless a move waits
    std::string next_host_;
    EndpointListParser& parser_;
    std::optional<std::int64_t> revision_;
    traffic::EndpointListListener& listener_;
    bool is_polling_ = false;
    std::unique_ptr<PollConnection> connection_;  // kept between polls
    std::list<OverduePoll> overdue_polls_;        // oldest first
    decision::PollTimeouts timeouts_;
    decision::PollTimeouts::NextPoll current_poll_ = {};  // of the last poll while none is pending
    Time poll_started_at_ = 0;                            // before the connection attempt
    Deadline poll_timeout_;
    Deadline move_timer_;  // set while the poll at the old address is kept
    bool has_completed_poll_ = false;
};

}  // namespace sloestack::discovery
