// One connection to a member. It carries one query at a time and is never used again while an answer to an
// earlier one may still come: whoever gives a query up destroys the link.
#pragma once

#include <memory>
#include <string>

#include "deadlines/deadlines.h"
#include "members/reply.h"
#include "net/connection.h"
#include "net/quota.h"

namespace sloestack::members {

class Link;

class LinkEvents {
public:
    virtual void link_ready(Link& link) = 0;  // up, and idle for the first time
    virtual void link_sent(Link& link) = 0;   // its query's last byte has been written
    // A value too large to be gathered: `size` bytes follow in pieces. False where nobody wants it; the link
    // is closed then.
    virtual bool link_value_begins(Link& link, const traffic::Value& head, std::size_t size) = 0;
    virtual void link_piece(Link& link, std::string_view bytes) = 0;
    virtual void link_answering(Link& link) = 0;               // a part of an answer has come
    virtual void link_answered(Link& link, Reply& reply) = 0;  // idle again
    // The link is of no more use. `sqlstate` is what a member said that would not let it come up. Where the
    // query had an outcome before the break, `reply` holds it; it is empty where what came was spoilt.
    virtual void link_broken(Link& link, Reply& reply, const std::string& sqlstate) = 0;

protected:
    ~LinkEvents() = default;
};

class Link final : public net::ConnectionEvents, public traffic::Source {
public:
    struct User {
        std::string name, database;
    };
    Link(net::Loop& loop, const sockaddr_in& to, net::Slot slot, const User& user, LinkEvents& events);

    bool opened() const { return connection_ != nullptr; }  // false: no socket was to be had
    bool is_ready() const { return state_ == State::idle; }
    bool kept() const { return kept_; }  // has answered before
    bool is_up() const { return state_ == State::idle || state_ == State::busy; }
    // Idle, and nothing has come that belongs to no query: neither here nor, as yet, in the kernel.
    bool reusable() const {
        return state_ == State::idle && connection_->held() == 0 && connection_->quiet();
    }
    void query(const std::string& statement);
    void query(std::shared_ptr<const traffic::Statement> statement, Micros left);
    bool passes_on() const { return in_pieces_; }  // a value, piece by piece
    bool held() const { return held_; }
    void hold(bool on) override;
    void close();   // gives back socket and descriptor at once, though the object may still be on the stack
    void spoilt();  // what came is no answer; ends the link
    // Whether the query's last byte has been written, so that it may run.
    bool may_run() const { return state_ == State::busy && connection_->unwritten() == 0; }

    Deadline deadline;  // its owner's: connecting, resting, standing idle, or answering

    void connected() override;
    void received() override;
    void drained() override;
    void ended(net::Ending how) override;

private:
    enum class State { connecting, starting, idle, busy, broken };
    std::size_t longest(char type) const;  // of a message that may come now
    void begin_query();
    bool begin_pieces(std::size_t size);  // false where its head is not whole yet
    void pass_on();
    void start_up(const pgwire::Message& message);
    void broken();

    User user_;
    LinkEvents& events_;
    net::Slot slot_;
    State state_ = State::connecting;
    Reply reply_;
    bool begun_ = false, kept_ = false;  // its answer has begun; it has had one before
    std::size_t left_ = 0;               // bytes of the value that is passed on
    bool in_pieces_ = false;
    bool held_ = false;  // its taker has enough for now
    std::string sqlstate_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::members
