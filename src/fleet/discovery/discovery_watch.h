// Follows discovery's endpoint list by HTTP long polling: starts the next poll as soon as one has succeeded.
// decision::PollTimeouts determines how long discovery may hold a poll and when the poll times out. After a
// failed poll the watch stops, and the listener decides when to start it again.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "deadlines/deadlines.h"
#include "discovery/endpoint_list_parser.h"
#include "discovery_poll_schedule.h"
#include "http/response.h"
#include "traffic/endpoint_list.h"
#include "transport/connection.h"

namespace sloestack::discovery {

class DiscoveryWatch final : public net::ConnectionEvents {
public:
    // `host` is sent in the Host header. `revision` is that of the list that the listener already has, if
    // any. All referenced objects must outlive the watch.
    DiscoveryWatch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address, std::string host,
                   EndpointListParser& parser, std::optional<std::int64_t> revision,
                   traffic::EndpointListListener& listener, const decision::PollTimeouts& timeouts);

    // Starts polling; does nothing if the watch is polling already.
    // A failed poll stops it and is reported to the listener.
    void start();
    // Polls discovery at another address from now on. Requests the complete list at once, because revisions
    // of the old address have no meaning at the new one.
    void change_address(const sockaddr_in& address, std::string host);
    // Returns whether any poll has succeeded or failed so far.
    bool has_completed_poll() const { return has_completed_poll_; }

    void connected() override;
    void received() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State {
        stopped,
        connecting,
        awaiting_response,
        delivering_list,  // to the listener; the next poll starts when the listener returns
    };
    enum class PollFailure {
        no_response,  // no complete response with a valid list
        rejected,     // an HTTP status other than 200: discovery is reachable
    };

    void poll();
    void connect();
    void send_request();
    void on_response();
    void on_poll_timeout();
    void on_poll_failed(const std::string& reason, PollFailure failure = PollFailure::no_response);
    void drop_connection();
    bool is_poll_pending() const { return state_ == State::connecting || state_ == State::awaiting_response; }
    bool is_long_poll() const { return revision_ && current_poll_.hold_us > 0; }

    net::Loop& loop_;
    Deadlines& deadlines_;
    sockaddr_in address_;
    std::string host_;
    EndpointListParser& parser_;
    std::optional<std::int64_t> revision_;
    traffic::EndpointListListener& listener_;
    State state_ = State::stopped;
    std::unique_ptr<net::Connection> connection_;  // kept between polls
    bool connection_reused_ = false;               // whether the current poll uses an older connection
    http::ResponseParser response_;
    decision::PollTimeouts timeouts_;
    decision::PollTimeouts::NextPoll current_poll_ = {};  // of the last poll while none is pending
    Time poll_started_at_ = 0;                            // before the connection attempt
    Deadline poll_timeout_;
    bool has_completed_poll_ = false;
};

}  // namespace sloestack::discovery
