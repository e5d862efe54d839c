// Reads and writes the token stream of a response. The reader is incremental: it takes payloads of packets as
// they arrive, a token may be split at any byte, and values in chunks are passed on without being buffered.
// Source: MS-TDS 2.2.7.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tds/value.h"

namespace sloestack::tds {

struct Column {
    std::string name;
    ColumnType type;
    std::uint32_t user_type = 0;
    std::uint16_t flags = 0;
};
// The fields of an ERROR or an INFO token.
struct ErrorOrInfo {
    std::int32_t number = 0;
    std::uint8_t state = 0, severity = 0;
    std::string text, server, procedure;
    std::uint32_t line = 0;
};
// A DONE, DONEPROC or DONEINPROC token.
struct Done {
    enum class Kind : std::uint8_t { batch = 0xfd, procedure = 0xfe, inside_procedure = 0xff };
    Kind kind = Kind::batch;
    std::uint16_t status = 0, command = 0;
    std::uint64_t rows = 0;
};
// Bits of Done::status.
namespace done {
constexpr std::uint16_t more = 0x1, error = 0x2, in_transaction = 0x4, count = 0x10, attention = 0x20,
                        server_error = 0x100;
}
struct EnvChange {  // ENVCHANGE
    enum Type : std::uint8_t { database = 1, language = 2, packet_size = 4, collation = 7 };
    std::uint8_t type = 0;
    std::string new_value, old_value;  // UTF-8 if the values of this type are texts, else bytes
};
struct LoginAck {               // LOGINACK
    std::uint32_t version = 0;  // as in LOGIN7
    std::string program;
    std::uint32_t program_version = 0;
};

// Receives the content of a token stream; TokenReader::read() makes the calls. Views are valid during the
// call.
class TokenEvents {
public:
    virtual void columns(const std::vector<Column>& columns) = 0;
    // A row begins; one value a column follows.
    virtual void row() {}
    // Called for a value that is not sent in chunks, and with std::nullopt for every NULL.
    virtual void value(std::size_t column, std::optional<std::string_view> bytes) = 0;
    // A value in chunks begins; `size` is its total length if the stream states it. Its chunks and
    // end_value() follow.
    virtual void begin_value(std::size_t column, std::optional<std::uint64_t> size) = 0;
    virtual void value_chunk(std::string_view bytes) = 0;
    virtual void end_value() = 0;
    virtual void error(const ErrorOrInfo& error) = 0;
    virtual void info(const ErrorOrInfo&) {}
    virtual void env_change(const EnvChange&) {}
    virtual void login_ack(const LoginAck&) {}
    virtual void return_status(std::int32_t) {}
    virtual void done(const Done& done) = 0;

protected:
    ~TokenEvents() = default;
};

class TokenReader {
public:
    // `events` must outlive the reader.
    explicit TokenReader(TokenEvents& events) : events_(events) {}
    // Parses the next payload. Throws ProtocolError at a token or type that is not supported, at lengths that
    // contradict each other or exceed their limit, and at a row before its columns.
    void read(std::string_view payload);
    // Returns true if a token or row has begun and not ended: a response that ends here is incomplete.
    bool is_inside_token() const { return !buffer_.empty() || state_ != State::token; }
    // Returns the size of the token that is buffered, at most kMaxBufferedTokenBytes after read().
    std::size_t buffered_bytes() const { return buffer_.size(); }

private:
    enum class State { token, values, chunk_length, chunk };
    // Parses one token, value or part of a chunk; returns the bytes used, or 0 if more must arrive first.
    std::size_t read_step(std::string_view bytes);
    std::size_t read_token(std::string_view bytes);
    std::size_t read_column_value(std::string_view bytes);
    void read_columns(FieldReader& in);
    void next_column();

    TokenEvents& events_;
    State state_ = State::token;
    std::string buffer_;
    std::vector<Column> columns_;
    bool has_columns_ = false;
    std::string null_bitmap_;  // of an NBCROW; empty for a ROW
    std::size_t column_ = 0;
    std::uint64_t chunk_left_ = 0, value_bytes_read_ = 0;
    std::optional<std::uint64_t> value_size_;
};

constexpr std::size_t kMaxColumns = 1024, kMaxBufferedTokenBytes = 128 * 1024;

// Appends tokens to a string that must outlive the builder.
class TokenBuilder {
public:
    explicit TokenBuilder(std::string& out) : out_(out) {}
    TokenBuilder& columns(const std::vector<Column>& columns);
    // Appends the start of a ROW; the caller appends the values with put_value or put_chunks.
    TokenBuilder& row();
    // Appends the start of an NBCROW; the caller appends only the values that are not NULL.
    TokenBuilder& row_with_nulls(const std::vector<bool>& nulls);
    TokenBuilder& error(const ErrorOrInfo& error) { return error_or_info(0xaa, error); }
    TokenBuilder& info(const ErrorOrInfo& info) { return error_or_info(0xab, info); }
    TokenBuilder& env_change(const EnvChange& change);
    TokenBuilder& login_ack(const LoginAck& login_ack);
    TokenBuilder& return_status(std::int32_t value);
    TokenBuilder& done(const Done& done);

private:
    TokenBuilder& error_or_info(std::uint8_t token, const ErrorOrInfo& fields);
    // Appends a token with a 16-bit length.
    TokenBuilder& sized_token(std::uint8_t token, std::string_view body);
    std::string& out_;
};

}  // namespace sloestack::tds
