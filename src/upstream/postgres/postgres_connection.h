// A connection to an endpoint that speaks version 3 of PostgreSQL's protocol.
#pragma once

#include <memory>
#include <string>

#include "connection_pool/upstream_connection.h"
#include "postgres/reply_parser.h"
#include "transport/connection.h"
#include "transport/descriptor_quota.h"

namespace sloestack::postgres {

class PostgresConnection final : public upstream::UpstreamConnection, public net::ConnectionEvents {
public:
    struct Credentials {
        std::string user;
        std::string database;
    };
    // Begins to connect. `slot` is the descriptor's share of its quota; `events` outlives the connection.
    PostgresConnection(net::Loop& loop, const sockaddr_in& address, net::DescriptorSlot slot,
                       const Credentials& credentials, upstream::UpstreamConnectionEvents& events);

    bool is_open() const override { return connection_ != nullptr; }
    bool is_established() const override { return state_ == State::idle || state_ == State::busy; }
    bool has_answered_before() const override { return has_answered_; }
    bool is_reusable() const override {
        return state_ == State::idle && connection_->unread_bytes() == 0 &&
               connection_->has_nothing_to_read();
    }
    void send_query(std::shared_ptr<const traffic::Statement> statement, Micros time_left) override;
    void send_health_check() override;
    bool is_streaming() const override { return is_streaming_; }
    bool is_paused() const override { return is_paused_; }
    void set_paused(bool paused) override;
    bool may_have_executed() const override {
        return state_ == State::busy && connection_->unwritten_bytes() == 0;
    }
    void fail_invalid_response() override;
    void close() override;

    void connected() override;
    void received() override;
    void drained() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { connecting, starting, idle, busy, broken };

    // Prepares for the reply to a new query. False, for a fault of the program, where one is out already.
    bool begin_query();
    void send_text(const std::string& statement);
    void send_large_statement(const std::shared_ptr<const traffic::Statement>& statement, Micros time_left);
    std::size_t max_size_of(char type) const;
    // These return whether more input may be read now.
    bool read_next();
    bool read_message(std::size_t size);
    bool begin_stream(std::size_t row_size);
    bool read_value_chunk();
    void handle_startup_message(const pgwire::Message& message);
    void handle_reply_message(const pgwire::Message& message);
    void fail();

    Credentials credentials_;
    upstream::UpstreamConnectionEvents& events_;
    net::DescriptorSlot slot_;
    State state_ = State::connecting;
    ReplyParser reply_;
    bool reply_has_begun_ = false;
    bool has_answered_ = false;
    std::size_t value_bytes_left_ = 0;  // of the value that is streamed
    bool is_streaming_ = false;
    bool is_paused_ = false;
    std::string startup_error_;  // SQLSTATE
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::postgres
