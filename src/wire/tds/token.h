// The token stream of a server's answer, both ways. The reader is incremental: payloads of packets go in as
// they come, a token may be split anywhere, and values in chunks are passed on as they come, never held.
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
// Of an ERROR or an INFO.
struct ErrorOrInfo {
    std::int32_t number = 0;
    std::uint8_t state = 0, severity = 0;
    std::string text, server, procedure;
    std::uint32_t line = 0;
};
struct Done {
    enum class Kind : std::uint8_t { batch = 0xfd, procedure = 0xfe, inside_procedure = 0xff };
    Kind kind = Kind::batch;
    std::uint16_t status = 0, command = 0;
    std::uint64_t rows = 0;
};
namespace done {
constexpr std::uint16_t more = 0x1, error = 0x2, in_transaction = 0x4, count = 0x10, attention = 0x20,
                        server_error = 0x100;
}
struct EnvChange {  // ENVCHANGE
    enum Type : std::uint8_t { database = 1, language = 2, packet_size = 4, collation = 7 };
    std::uint8_t type = 0;
    std::string new_value, old_value;  // as text where the type has texts, else as bytes
};
struct LoginAck {               // LOGINACK
    std::uint32_t version = 0;  // as LOGIN7 names it
    std::string program;
    std::uint32_t program_version = 0;
};

class TokenEvents {
public:
    virtual void columns(const std::vector<Column>& columns) = 0;
    virtual void row() {}  // one begins; its values follow, one a column
    // A value that is not in chunks.
    virtual void value(std::size_t column, std::optional<std::string_view> bytes) = 0;
    // One in chunks: its size where it is told; pieces follow, and its end.
    virtual void begin_value(std::size_t column, std::optional<std::uint64_t> size) = 0;
    virtual void value_chunk(std::string_view bytes) = 0;
    virtual void end_value() = 0;
    virtual void error(const ErrorOrInfo& notice) = 0;
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
    explicit TokenReader(TokenEvents& events) : events_(events) {}
    // Throws ProtocolError at a token or type that is not known here, at lengths that contradict each other
    // or claim more than may be, and at a row before its columns.
    void read(std::string_view payload);
    // Whether a token has begun and not ended: an answer that ends here is not whole.
    bool is_inside_token() const { return !held_.empty() || state_ != State::token; }
    std::size_t buffered_bytes() const {
        return held_.size();
    }  // never more than kMaxBufferedTokenBytes and one payload

private:
    enum class State { token, values, chunk_length, chunk };
    std::size_t step(std::string_view bytes);  // bytes taken, 0 where more must come
    std::size_t token(std::string_view bytes);
    std::size_t one_value(std::string_view bytes);
    void columns(FieldReader& in);
    void next_column();

    TokenEvents& events_;
    State state_ = State::token;
    std::string held_;
    std::vector<Column> columns_;
    bool has_columns_ = false;
    std::string nulls_;  // of an NBCROW
    std::size_t column_ = 0;
    std::uint64_t chunk_left_ = 0, told_ = 0;
    std::optional<std::uint64_t> size_;
};

constexpr std::size_t kMaxColumns = 1024, kMaxBufferedTokenBytes = 128 * 1024;

// Appends tokens to a string.
class TokenBuilder {
public:
    explicit TokenBuilder(std::string& out) : out_(out) {}
    TokenBuilder& columns(const std::vector<Column>& columns);
    // The values follow by put_value or put_chunks.
    TokenBuilder& row();
    TokenBuilder& row_with_nulls(
        const std::vector<bool>& nulls);  // NBCROW: those that are NULL do not follow
    TokenBuilder& error(const ErrorOrInfo& notice) { return notice_token(0xaa, notice); }
    TokenBuilder& info(const ErrorOrInfo& notice) { return notice_token(0xab, notice); }
    TokenBuilder& env_change(const EnvChange& change);
    TokenBuilder& login_ack(const LoginAck& a);
    TokenBuilder& return_status(std::int32_t value);
    TokenBuilder& done(const Done& done);

private:
    TokenBuilder& notice_token(std::uint8_t token, const ErrorOrInfo& notice);
    TokenBuilder& sized(std::uint8_t token, std::string_view body);
    std::string& out_;
};

}  // namespace sloestack::tds
