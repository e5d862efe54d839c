// Splits a client's input into messages and determines when the last byte of each arrived. Statements larger
// than kMaxBufferedMessageBytes are collected outside the connection's buffer, within a memory budget that
// all clients share.
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

// A message up to this size is buffered whole before it is parsed. Hundreds of clients may send such messages
// at the same time.
constexpr std::size_t kMaxBufferedMessageBytes = std::size_t{8} * 1024;

// Limits of a connection's unread input: before the start-up packet is read; between requests, for one whole
// message or a part of a large one; and while a request is open.
constexpr std::size_t kMaxUnreadStartupBytes = pgwire::kMaxStartupPacketBytes + 1024;
constexpr std::size_t kMaxUnreadBytes = kMaxBufferedMessageBytes + 1024;
constexpr std::size_t kMaxUnreadBehindRequestBytes = std::size_t{8} * 1024;

struct LargeStatement {
    std::string text;              // as sent, including the terminating zero byte
    std::shared_ptr<void> memory;  // its reservation of the memory budget
    bool is_skipped = false;       // its bytes were discarded, and `text` is empty
};

// Functions that parse the input throw pgwire::ProtocolError if it is not a message that a client may send.
class ClientFramer {
public:
    // `connection` is null if it could not be opened; then only the destructor may be called. The destructor
    // does not access the connection, which may be closed before. `budget` outlives the framer.
    ClientFramer(net::Connection* connection, net::MemoryBudget& budget)
        : connection_(connection), budget_(budget) {}
    ~ClientFramer() { stop(); }
    ClientFramer(const ClientFramer&) = delete;
    ClientFramer& operator=(const ClientFramer&) = delete;

    // Must be called whenever bytes have been received; the newest of them arrived `age` ago.
    void on_bytes_received(Time now, Micros age);
    Time last_read_at() const { return last_read_at_; }

    // Returns the first message, or std::nullopt if it is incomplete. Its body refers to the connection's
    // buffer and is valid until the message is consumed.
    std::optional<pgwire::Message> next_startup();
    std::optional<pgwire::Message> next_message();
    void consume(const pgwire::Message& message) { connection_->consume(message.size); }
    // Returns the arrival time of the last byte of `message`, which must be the first message of the input.
    Time arrival_of(const pgwire::Message& message);
    // Returns the text of the next message if it is a complete query of at most `max_size` bytes.
    std::optional<std::string_view> peek_query(std::size_t max_size) const;

    // Returns the arrival time of the next message's header.
    Time next_message_arrival();
    // Returns the size in bytes of the next message if it is a large statement.
    std::optional<std::size_t> large_statement_size() const;
    // Reserves memory for a large statement of `size` bytes. Returns false if the budget has none left; the
    // caller must try again later. Reservations are granted in the order of the first attempts.
    bool reserve_large_statement(std::size_t size);
    bool waits_for_memory() const { return waits_for_memory_; }
    // Starts to collect the statement for which memory has been reserved.
    void begin_large_statement(std::size_t size);
    // Starts to discard a large statement of `size` bytes, for which no memory is needed.
    void skip_large_statement(std::size_t size);
    bool in_large_statement() const { return partial_statement_.has_value(); }
    // Returns the size in bytes of the large statement that is being collected or discarded, 0 if none is.
    std::size_t partial_statement_size() const { return partial_statement_ ? partial_statement_->size : 0; }
    // Consumes the part of the statement that has arrived. Returns the statement when it is complete.
    std::optional<LargeStatement> read_large_statement();
    // Returns when the last byte of the large statement read last arrived.
    Time large_statement_arrival();

    // Returns true if unconsumed input is buffered or a large statement is being collected.
    bool has_partial_message() const { return connection_->unread_bytes() > 0 || in_large_statement(); }
    // Stops waiting for memory, and discards a partly collected statement with its memory.
    void stop();

private:
    struct PartialStatement {
        LargeStatement statement;
        std::size_t size;
        std::size_t missing_bytes;
    };

    void stop_waiting_for_memory();

    net::Connection* connection_;
    net::MemoryBudget& budget_;
    ArrivalTimes arrivals_;
    Time last_read_at_ = 0;
    Time last_arrival_at_ = 0;
    std::shared_ptr<void> reservation_;  // until begin_large_statement()
    std::optional<PartialStatement> partial_statement_;
    bool waits_for_memory_ = false;
};

}  // namespace sloestack::downstream
