#include "tds/token.h"

#include <algorithm>

namespace sloestack::tds {
namespace {

namespace token_type {
constexpr std::uint8_t kReturnStatus = 0x79, kColMetadata = 0x81, kOrder = 0xa9, kError = 0xaa, kInfo = 0xab,
                       kLoginAck = 0xad, kFeatureExtAck = 0xae, kRow = 0xd1, kNbcRow = 0xd2,
                       kEnvChange = 0xe3, kDone = 0xfd, kDoneProc = 0xfe, kDoneInProc = 0xff;
}
constexpr std::uint16_t kNoMetadata = 0xffff;
constexpr std::size_t kMaxMessageUnits = 4000;  // UTF-16 code units, since the token's length has 16 bits
constexpr std::uint8_t kTsqlInterface = 1;      // of LOGINACK

// `type` is that of an ENVCHANGE.
bool has_text_values(std::uint8_t type) { return type >= 1 && type <= 6; }

ErrorOrInfo read_error_or_info(FieldReader in) {
    ErrorOrInfo out;
    out.number = static_cast<std::int32_t>(in.u32());
    out.state = in.u8();
    out.severity = in.u8();
    out.text = in.us_varchar();
    out.server = in.b_varchar();
    out.procedure = in.b_varchar();
    out.line = in.u32();
    if (!in.empty()) throw ProtocolError("a token whose length is greater than that of its fields");
    return out;
}

EnvChange read_env_change(FieldReader in) {
    EnvChange out;
    out.type = in.u8();
    if (has_text_values(out.type)) {
        out.new_value = in.b_varchar();
        out.old_value = in.b_varchar();
    } else if (out.type == EnvChange::collation) {
        out.new_value = in.bytes(in.u8());
        out.old_value = in.bytes(in.u8());
    } else {
        in.bytes(in.rest().size());  // the values of other types are not parsed
    }
    if (!in.empty()) throw ProtocolError("a token whose length is greater than that of its fields");
    return out;
}

LoginAck read_login_ack(FieldReader in) {
    LoginAck out;
    in.u8();
    // The version is big-endian, unlike the other integers of the stream.
    for (int i = 0; i < 4; ++i) out.version = out.version << 8 | in.u8();
    out.program = in.b_varchar();
    for (int i = 0; i < 4; ++i) out.program_version = out.program_version << 8 | in.u8();
    if (!in.empty()) throw ProtocolError("a token whose length is greater than that of its fields");
    return out;
}

}  // namespace

void TokenReader::read(std::string_view payload) {
    // Complete tokens are parsed in place; only the beginning of an incomplete one is buffered.
    std::string joined;
    if (!buffer_.empty()) {
        joined.swap(buffer_);
        joined.append(payload);
        payload = joined;
    }
    while (!payload.empty()) {
        std::size_t used = 0;
        try {
            used = read_step(payload);
        } catch (const IncompleteInput&) {
        }
        if (used == 0) break;
        payload.remove_prefix(used);
    }
    if (payload.size() > kMaxBufferedTokenBytes)
        throw ProtocolError("a token of more than " + std::to_string(kMaxBufferedTokenBytes) + " bytes");
    buffer_ = std::string(payload);
}

std::size_t TokenReader::read_step(std::string_view bytes) {
    switch (state_) {
        case State::token:
            return read_token(bytes);
        case State::values:
            return read_column_value(bytes);
        case State::chunk_length: {
            FieldReader in(bytes, false);
            const auto size = in.u32();
            if (size == 0) {
                if (value_size_ && *value_size_ != value_bytes_read_)
                    throw ProtocolError("a value whose chunks do not add up to its total length");
                events_.end_value();
                next_column();
            } else {
                if (value_size_ && size > *value_size_ - value_bytes_read_)
                    throw ProtocolError("a value whose chunks exceed its total length");
                chunk_left_ = size;
                state_ = State::chunk;
            }
            return 4;
        }
        case State::chunk: {
            const auto part =
                bytes.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(chunk_left_, bytes.size())));
            events_.value_chunk(part);
            value_bytes_read_ += part.size();
            chunk_left_ -= part.size();
            if (chunk_left_ == 0) state_ = State::chunk_length;
            return part.size();
        }
    }
    return 0;
}

std::size_t TokenReader::read_token(std::string_view bytes) {
    FieldReader in(bytes, false);
    const auto type = in.u8();
    const auto body = [&] { return FieldReader(in.bytes(in.u16())); };
    switch (type) {
        case token_type::kColMetadata:
            read_columns(in);
            break;
        case token_type::kRow:
        case token_type::kNbcRow:
            if (!has_columns_) throw ProtocolError("a row before any column metadata");
            null_bitmap_ =
                type == token_type::kRow ? std::string() : std::string(in.bytes((columns_.size() + 7) / 8));
            events_.row();
            column_ = static_cast<std::size_t>(-1);
            state_ = State::values;
            next_column();
            break;
        case token_type::kError:
            events_.error(read_error_or_info(body()));
            break;
        case token_type::kInfo:
            events_.info(read_error_or_info(body()));
            break;
        case token_type::kEnvChange:
            events_.env_change(read_env_change(body()));
            break;
        case token_type::kLoginAck:
            events_.login_ack(read_login_ack(body()));
            break;
        case token_type::kOrder:
            body();
            break;
        case token_type::kReturnStatus:
            events_.return_status(static_cast<std::int32_t>(in.u32()));
            break;
        case token_type::kFeatureExtAck:
            for (auto feature = in.u8(); feature != 0xff; feature = in.u8()) {
                const auto size = in.u32();
                if (size > kMaxBufferedTokenBytes)
                    throw ProtocolError("an acknowledged feature of " + std::to_string(size) +
                                        " bytes, above the limit of 128 KiB");
                in.bytes(size);
            }
            break;
        case token_type::kDone:
        case token_type::kDoneProc:
        case token_type::kDoneInProc: {
            Done out;
            out.kind = static_cast<Done::Kind>(type);
            out.status = in.u16();
            out.command = in.u16();
            out.rows = in.u64();
            events_.done(out);
            break;
        }
        default:
            throw ProtocolError("unsupported token " + std::to_string(type));
    }
    return in.bytes_read();
}

void TokenReader::read_columns(FieldReader& in) {
    const auto count = in.u16();
    std::vector<Column> new_columns;
    if (count != kNoMetadata) {
        if (count > kMaxColumns)
            throw ProtocolError("a response of " + std::to_string(count) + " columns, above the limit");
        for (std::size_t index = 0; index < count; ++index) {
            Column column;
            column.user_type = in.u32();
            column.flags = in.u16();
            column.type = read_type(in);
            column.name = in.b_varchar();
            new_columns.push_back(std::move(column));
        }
        columns_ = std::move(new_columns);
        has_columns_ = true;
    }
    events_.columns(columns_);
}

// Moves to the next value that is not NULL and reports the NULLs of an NBCROW on the way.
void TokenReader::next_column() {
    state_ = State::values;
    while (++column_ < columns_.size()) {
        if (null_bitmap_.empty() ||
            !(static_cast<unsigned char>(null_bitmap_[column_ / 8]) >> (column_ % 8) & 1))
            return;
        events_.value(column_, std::nullopt);
    }
    state_ = State::token;
}

std::size_t TokenReader::read_column_value(std::string_view bytes) {
    FieldReader in(bytes, false);
    const auto& type = columns_[column_].type;
    if (!type.max) {
        const auto value = read_value(in, type);
        events_.value(column_, value ? std::optional<std::string_view>(*value) : std::nullopt);
        next_column();
        return in.bytes_read();
    }
    const auto total = in.u64();
    if (total == kNullChunks) {
        events_.value(column_, std::nullopt);
        next_column();
        return in.bytes_read();
    }
    value_size_.reset();
    if (total != kUnknownLength) value_size_ = total;
    value_bytes_read_ = 0;
    events_.begin_value(column_, value_size_);
    state_ = State::chunk_length;
    return in.bytes_read();
}

// ---- building ----
TokenBuilder& TokenBuilder::sized_token(std::uint8_t token, std::string_view body) {
    FieldWriter(out_).u8(token).u16(body.size()).bytes(body);
    return *this;
}

TokenBuilder& TokenBuilder::columns(const std::vector<Column>& columns) {
    FieldWriter(out_).u8(token_type::kColMetadata).u16(columns.size());
    for (const auto& column : columns) {
        FieldWriter(out_).u32(column.user_type).u16(column.flags);
        put_type(out_, column.type);
        FieldWriter(out_).b_varchar(column.name);
    }
    return *this;
}

TokenBuilder& TokenBuilder::row() {
    FieldWriter(out_).u8(token_type::kRow);
    return *this;
}

TokenBuilder& TokenBuilder::row_with_nulls(const std::vector<bool>& nulls) {
    std::string bits((nulls.size() + 7) / 8, '\0');
    for (std::size_t column = 0; column < nulls.size(); ++column)
        if (nulls[column]) bits[column / 8] = static_cast<char>(bits[column / 8] | 1 << (column % 8));
    FieldWriter(out_).u8(token_type::kNbcRow).bytes(bits);
    return *this;
}

TokenBuilder& TokenBuilder::error_or_info(std::uint8_t token, const ErrorOrInfo& fields) {
    std::string body;
    FieldWriter(body).u32(static_cast<std::uint32_t>(fields.number)).u8(fields.state).u8(fields.severity);
    FieldWriter(body)
        .us_varchar(fields.text, kMaxMessageUnits)
        .b_varchar(fields.server)
        .b_varchar(fields.procedure)
        .u32(fields.line);
    return sized_token(token, body);
}

TokenBuilder& TokenBuilder::env_change(const EnvChange& change) {
    std::string body;
    FieldWriter(body).u8(change.type);
    if (has_text_values(change.type))
        FieldWriter(body).b_varchar(change.new_value).b_varchar(change.old_value);
    else
        FieldWriter(body)
            .u8(change.new_value.size())
            .bytes(change.new_value)
            .u8(change.old_value.size())
            .bytes(change.old_value);
    return sized_token(token_type::kEnvChange, body);
}

TokenBuilder& TokenBuilder::login_ack(const LoginAck& login_ack) {
    std::string body;
    FieldWriter fields(body);
    fields.u8(kTsqlInterface);
    for (int i = 3; i >= 0; --i) fields.u8(login_ack.version >> (8 * i) & 0xff);
    fields.b_varchar(login_ack.program);
    for (int i = 3; i >= 0; --i) fields.u8(login_ack.program_version >> (8 * i) & 0xff);
    return sized_token(token_type::kLoginAck, body);
}

TokenBuilder& TokenBuilder::return_status(std::int32_t value) {
    FieldWriter(out_).u8(token_type::kReturnStatus).u32(static_cast<std::uint32_t>(value));
    return *this;
}

TokenBuilder& TokenBuilder::done(const Done& done) {
    FieldWriter(out_)
        .u8(static_cast<std::uint8_t>(done.kind))
        .u16(done.status)
        .u16(done.command)
        .u64(done.rows);
    return *this;
}

}  // namespace sloestack::tds
