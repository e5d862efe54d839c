// Cuts a client's input into messages and dates each by the arrival of its last byte. Statements larger than
// pgwire::kMaxBufferedMessageBytes are gathered apart from the connection's buffer, under a budget shared by
// all clients.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "pgwire/frame.h"
#include "sessions/arrival_times.h"
#include "transport/connection.h"
#include "transport/memory_budget.h"

namespace sloestack::downstream {

// What a client may have sent and not had read: its start-up packet; one whole message or a part of a large
// one; a little behind an open request.
constexpr std::size_t kMaxUnreadStartupBytes = pgwire::kMaxStartupPacketBytes + 1024;
constexpr std::size_t kMaxUnreadBytes = pgwire::kMaxBufferedMessageBytes + 1024;
constexpr std::size_t kMaxUnreadBehindRequestBytes = std::size_t{8} * 1024;

struct LargeStatement {
    std::string text;              // as on the wire, with its terminating zero byte
    std::shared_ptr<void> memory;  // its share of the budget; released with the object
};

// Functions that look at the input throw pgwire::ProtocolError where it is no message a client may send.
class ClientFramer {
public:
    // `connection` may be null where it could not be opened; then nothing but the destructor may be called.
    // The framer makes no call on it unless asked to. `budget` outlives the framer.
    ClientFramer(net::Connection* connection, net::MemoryBudget& budget)
        : connection_(connection), budget_(budget) {}
    ~ClientFramer() { stop(); }
    ClientFramer(const ClientFramer&) = delete;
    ClientFramer& operator=(const ClientFramer&) = delete;

    // To be called whenever bytes have been received.
    void bytes_received(Time now);
    Time last_read_at() const { return last_read_at_; }

    // The first message; nothing where it is not whole yet. It stands in the connection's buffer until
    // consumed.
    std::optional<pgwire::Message> next_startup();
    std::optional<pgwire::Message> next_message();
    void consume(const pgwire::Message& message) { connection_->consume(message.size); }
    // When the last byte of the message arrived that begins the input now.
    Time arrival_of(const pgwire::Message& message);
    // The text of the next query where that comes whole and within `max_size` bytes.
    std::optional<std::string_view> peek_query(std::size_t max_size) const;

    // The size of the next message where that is a large statement.
    std::optional<std::size_t> large_statement_size() const;
    // Reserves memory; false where there is none yet: to be asked again later, requests are granted in order.
    bool reserve_large_statement(std::size_t size);
    bool waits_for_memory() const { return waits_for_memory_; }
    // Begins to gather the statement that memory has been reserved for.
    void begin_large_statement(std::size_t size);
    bool in_large_statement() const { return large_.has_value(); }
    // Takes what has arrived of it; the statement once it is whole.
    std::optional<LargeStatement> read_large_statement();
    // When the last byte arrived of the large statement read last.
    Time large_statement_arrival();

    // Whether part of a message has arrived.
    bool has_partial_message() const { return connection_->unread_bytes() > 0 || in_large_statement(); }
    // Drops a statement in progress and gives its memory back.
    void stop();

private:
    struct PartialStatement {
        LargeStatement statement;
        std::size_t missing_bytes;
    };

    net::Connection* connection_;
    net::MemoryBudget& budget_;
    ArrivalTimes arrivals_;
    Time last_read_at_ = 0;
    std::shared_ptr<void> reserved_;
    std::optional<PartialStatement> large_;
    bool waits_for_memory_ = false;
};

}  // namespace sloestack::downstream
