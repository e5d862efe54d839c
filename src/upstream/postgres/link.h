// A link to a member that speaks version 3 of PostgreSQL's protocol.
#pragma once

#include <memory>
#include <string>

#include "connection_pool/link.h"
#include "postgres/reply.h"
#include "transport/connection.h"
#include "transport/quota.h"

namespace sloestack::postgres {

class Link final : public upstream::Link, public net::ConnectionEvents {
public:
    struct User {
        std::string name, database;
    };
    Link(net::Loop& loop, const sockaddr_in& to, net::Slot slot, const User& user,
         upstream::LinkEvents& events);

    bool opened() const override { return connection_ != nullptr; }
    bool kept() const override { return kept_; }
    bool is_up() const override { return state_ == State::idle || state_ == State::busy; }
    bool reusable() const override {
        return state_ == State::idle && connection_->held() == 0 && connection_->quiet();
    }
    void query(std::shared_ptr<const traffic::Statement> statement, Micros left) override;
    void probe() override;
    bool passes_on() const override { return in_pieces_; }
    bool held() const override { return held_; }
    void set_paused(bool paused) override;
    void close() override;
    void spoilt() override;
    bool may_run() const override { return state_ == State::busy && connection_->unwritten() == 0; }

    void connected() override;
    void received() override;
    void drained() override;
    void ended(net::Ending how) override;

private:
    enum class State { connecting, starting, idle, busy, broken };
    void query(const std::string& statement);
    std::size_t longest(char type) const;  // of a message that may come now
    void begin_query();
    bool begin_pieces(std::size_t size);  // false where its head is not whole yet
    void pass_on();
    void start_up(const pgwire::Message& message);
    void broken();

    User user_;
    upstream::LinkEvents& events_;
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

}  // namespace sloestack::postgres
