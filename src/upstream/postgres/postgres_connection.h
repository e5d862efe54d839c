// A connection to an endpoint in version 3 of PostgreSQL's protocol.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "connection_pool/upstream_connection.h"
#include "postgres/partial_query.h"
#include "postgres/response_parser.h"
#include "transport/connection.h"
#include "transport/delivery_estimator.h"
#include "transport/descriptor_quota.h"

namespace sloestack::postgres {

class PostgresConnection final : public upstream::UpstreamConnection, public net::ConnectionEvents {
public:
    struct Credentials {
        std::string user;
        std::string database;
    };
    // Starts to connect. `slot` counts the connection's descriptor; `events` outlives the connection.
    PostgresConnection(net::Loop& loop, const sockaddr_in& address, net::DescriptorSlot slot,
                       const Credentials& credentials, upstream::UpstreamConnectionEvents& events);

    bool is_open() const override { return connection_ != nullptr; }
    bool is_established() const override { return state_ == State::idle || state_ == State::busy; }
    bool has_responded_before() const override { return has_responded_; }
    bool is_reusable() const override {
        return state_ == State::idle && !partial_query_ && connection_->unread_bytes() == 0 &&
               connection_->has_nothing_to_read();
    }
    bool has_sent_long_query() const override { return has_sent_long_query_; }
    void send_query(std::shared_ptr<const traffic::Statement> statement, Time now, Micros time_left) override;
    bool is_query_incomplete() const override { return partial_query_.has_value(); }
    bool is_query_transmitted() const override;
    std::optional<Time> estimate_read_by(Time now) override;
    void complete_query(Micros time_left) override;
    bool is_query_delivered() const override;
    void send_health_check() override;
    bool is_paused() const override { return is_paused_; }
    bool is_receiving_long_response() const override;
    void set_paused(bool paused) override;
    bool may_have_executed() const override {
        return state_ == State::busy && !partial_query_ && connection_->unwritten_bytes() == 0;
    }
    void fail_invalid_response() override;
    void close() override;

    void connected() override;
    void received() override;
    void drained() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { connecting, starting, idle, busy, broken };

    // Prepares for the response to a new query. Returns false if a query is already in flight; callers must
    // not do that.
    bool begin_query();
    void send_text(const std::string& statement);
    void send_partially(std::shared_ptr<const traffic::Statement> statement, Time now, Micros time_left);
    void report_if_sent();
    // Returns the maximum size in bytes, including the length field, of a message of this type that may
    // arrive now; 0 if none may.
    std::size_t max_size_of(char type) const;
    // Each returns true if more input may be read now.
    bool read_next();
    bool read_message(std::size_t size);
    bool begin_stream(std::size_t row_size);
    bool read_value_chunk();
    void handle_startup_message(const pgwire::Message& message);
    void handle_response_message(const pgwire::Message& message);
    void fail();

    Credentials credentials_;
    upstream::UpstreamConnectionEvents& events_;
    net::DescriptorSlot slot_;
    State state_ = State::connecting;
    std::optional<PartialQuery> partial_query_;  // set until the query is complete
    std::optional<net::DeliveryEstimator> delivery_estimator_;
    bool has_sent_long_query_ = false;
    ResponseParser parser_;
    bool response_has_started_ = false;
    bool has_responded_ = false;
    std::size_t value_bytes_left_ = 0;  // of a streamed value
    bool is_streaming_ = false;
    bool is_paused_ = false;
    std::string startup_error_;  // SQLSTATE
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::postgres
