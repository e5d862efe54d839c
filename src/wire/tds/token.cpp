#include "tds/token.h"

#include <algorithm>

namespace sloestack::tds {
namespace {

namespace id {
constexpr std::uint8_t returned = 0x79, columns = 0x81, order = 0xa9, error = 0xaa, info = 0xab,
                       acknowledged = 0xad, features = 0xae, row = 0xd1, row_with_nulls = 0xd2,
                       changed = 0xe3, done = 0xfd, done_procedure = 0xfe, done_inside = 0xff;
}
constexpr std::uint16_t kNoMetadata = 0xffff;
constexpr std::size_t kLongestNotice = 4000;  // characters: the token's own length has 16 bits
constexpr std::uint8_t kTsql = 1;             // the interface that LOGINACK names

bool has_texts(std::uint8_t change) { return change >= 1 && change <= 6; }

ErrorOrInfo read_notice(FieldReader in) {
    ErrorOrInfo out;
    out.number = static_cast<std::int32_t>(in.u32());
    out.state = in.u8();
    out.severity = in.u8();
    out.text = in.us_varchar();
    out.server = in.b_varchar();
    out.procedure = in.b_varchar();
    out.line = in.u32();
    if (!in.empty()) throw ProtocolError("a token longer than its fields");
    return out;
}

EnvChange read_change(FieldReader in) {
    EnvChange out;
    out.type = in.u8();
    if (has_texts(out.type)) {
        out.new_value = in.b_varchar();
        out.old_value = in.b_varchar();
    } else if (out.type == EnvChange::collation) {
        out.new_value = in.bytes(in.u8());
        out.old_value = in.bytes(in.u8());
    } else {
        in.bytes(in.rest().size());  // of no concern here; its length is that of the token
    }
    if (!in.empty()) throw ProtocolError("a token longer than its fields");
    return out;
}

LoginAck read_acknowledged(FieldReader in) {
    LoginAck out;
    in.u8();
    // The one number of the stream that is big-endian.
    for (int i = 0; i < 4; ++i) out.version = out.version << 8 | in.u8();
    out.program = in.b_varchar();
    for (int i = 0; i < 4; ++i) out.program_version = out.program_version << 8 | in.u8();
    if (!in.empty()) throw ProtocolError("a token longer than its fields");
    return out;
}

}  // namespace

void TokenReader::read(std::string_view payload) {
    // What is whole is read where it stands; only the beginning of a token that is not is held.
    std::string gathered;
    if (!held_.empty()) {
        gathered.swap(held_);
        gathered.append(payload);
        payload = gathered;
    }
    while (!payload.empty()) {
        std::size_t taken = 0;
        try {
            taken = step(payload);
        } catch (const IncompleteInput&) {
        }
        if (taken == 0) break;
        payload.remove_prefix(taken);
    }
    if (payload.size() > kMaxBufferedTokenBytes)
        throw ProtocolError("a token of more than " + std::to_string(kMaxBufferedTokenBytes) + " bytes");
    held_ = std::string(payload);
}

std::size_t TokenReader::step(std::string_view bytes) {
    switch (state_) {
        case State::token:
            return token(bytes);
        case State::values:
            return one_value(bytes);
        case State::chunk_length: {
            FieldReader in(bytes, false);
            const auto size = in.u32();
            if (size == 0) {
                if (size_ && *size_ != told_) throw ProtocolError("a value that is not as long as it says");
                events_.end_value();
                next_column();
            } else {
                if (size_ && size > *size_ - told_) throw ProtocolError("a value longer than it says");
                chunk_left_ = size;
                state_ = State::chunk;
            }
            return 4;
        }
        case State::chunk: {
            const auto part =
                bytes.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(chunk_left_, bytes.size())));
            events_.value_chunk(part);
            told_ += part.size();
            chunk_left_ -= part.size();
            if (chunk_left_ == 0) state_ = State::chunk_length;
            return part.size();
        }
    }
    return 0;
}

std::size_t TokenReader::token(std::string_view bytes) {
    FieldReader in(bytes, false);
    const auto what = in.u8();
    const auto body = [&] { return FieldReader(in.bytes(in.u16())); };
    switch (what) {
        case id::columns:
            columns(in);
            break;
        case id::row:
        case id::row_with_nulls:
            if (!has_columns_) throw ProtocolError("a row before its columns");
            nulls_ = what == id::row ? std::string() : std::string(in.bytes((columns_.size() + 7) / 8));
            events_.row();
            column_ = static_cast<std::size_t>(-1);
            state_ = State::values;
            next_column();
            break;
        case id::error:
            events_.error(read_notice(body()));
            break;
        case id::info:
            events_.info(read_notice(body()));
            break;
        case id::changed:
            events_.env_change(read_change(body()));
            break;
        case id::acknowledged:
            events_.login_ack(read_acknowledged(body()));
            break;
        case id::order:
            body();
            break;
        case id::returned:
            events_.return_status(static_cast<std::int32_t>(in.u32()));
            break;
        case id::features:
            for (auto feature = in.u8(); feature != 0xff; feature = in.u8()) {
                const auto size = in.u32();
                if (size > kMaxBufferedTokenBytes)
                    throw ProtocolError("a feature of " + std::to_string(size) + " bytes");
                in.bytes(size);
            }
            break;
        case id::done:
        case id::done_procedure:
        case id::done_inside: {
            Done out;
            out.kind = static_cast<Done::Kind>(what);
            out.status = in.u16();
            out.command = in.u16();
            out.rows = in.u64();
            events_.done(out);
            break;
        }
        default:
            throw ProtocolError("a token that is not known here: " + std::to_string(what));
    }
    return in.taken();
}

void TokenReader::columns(FieldReader& in) {
    const auto count = in.u16();
    std::vector<Column> fresh;
    if (count != kNoMetadata) {
        if (count > kMaxColumns) throw ProtocolError("an answer of " + std::to_string(count) + " columns");
        for (std::size_t i = 0; i < count; ++i) {
            Column c;
            c.user_type = in.u32();
            c.flags = in.u16();
            c.type = read_type(in);
            c.name = in.b_varchar();
            fresh.push_back(std::move(c));
        }
        columns_ = std::move(fresh);
        has_columns_ = true;
    }
    events_.columns(columns_);
}

// To the next value that is there; NULLs of an NBCROW are told in passing.
void TokenReader::next_column() {
    state_ = State::values;
    while (++column_ < columns_.size()) {
        if (nulls_.empty() || !(static_cast<unsigned char>(nulls_[column_ / 8]) >> (column_ % 8) & 1)) return;
        events_.value(column_, std::nullopt);
    }
    state_ = State::token;
}

std::size_t TokenReader::one_value(std::string_view bytes) {
    FieldReader in(bytes, false);
    const auto& type = columns_[column_].type;
    if (!type.max) {
        const auto value = read_value(in, type);
        events_.value(column_, value ? std::optional<std::string_view>(*value) : std::nullopt);
        next_column();
        return in.taken();
    }
    const auto total = in.u64();
    if (total == kNullChunks) {
        events_.value(column_, std::nullopt);
        next_column();
        return in.taken();
    }
    size_.reset();
    if (total != kUnknownLength) size_ = total;
    told_ = 0;
    events_.begin_value(column_, size_);
    state_ = State::chunk_length;
    return in.taken();
}

// ---- building ----
TokenBuilder& TokenBuilder::sized(std::uint8_t token, std::string_view body) {
    FieldWriter(out_).u8(token).u16(body.size()).bytes(body);
    return *this;
}

TokenBuilder& TokenBuilder::columns(const std::vector<Column>& columns) {
    FieldWriter(out_).u8(id::columns).u16(columns.size());
    for (const auto& c : columns) {
        FieldWriter(out_).u32(c.user_type).u16(c.flags);
        put_type(out_, c.type);
        FieldWriter(out_).b_varchar(c.name);
    }
    return *this;
}

TokenBuilder& TokenBuilder::row() {
    FieldWriter(out_).u8(id::row);
    return *this;
}

TokenBuilder& TokenBuilder::row_with_nulls(const std::vector<bool>& nulls) {
    std::string bits((nulls.size() + 7) / 8, '\0');
    for (std::size_t i = 0; i < nulls.size(); ++i)
        if (nulls[i]) bits[i / 8] = static_cast<char>(bits[i / 8] | 1 << (i % 8));
    FieldWriter(out_).u8(id::row_with_nulls).bytes(bits);
    return *this;
}

TokenBuilder& TokenBuilder::notice_token(std::uint8_t token, const ErrorOrInfo& n) {
    std::string body;
    FieldWriter(body).u32(static_cast<std::uint32_t>(n.number)).u8(n.state).u8(n.severity);
    FieldWriter(body)
        .us_varchar(n.text, kLongestNotice)
        .b_varchar(n.server)
        .b_varchar(n.procedure)
        .u32(n.line);
    return sized(token, body);
}

TokenBuilder& TokenBuilder::env_change(const EnvChange& c) {
    std::string body;
    FieldWriter(body).u8(c.type);
    if (has_texts(c.type))
        FieldWriter(body).b_varchar(c.new_value).b_varchar(c.old_value);
    else
        FieldWriter(body).u8(c.new_value.size()).bytes(c.new_value).u8(c.old_value.size()).bytes(c.old_value);
    return sized(id::changed, body);
}

TokenBuilder& TokenBuilder::login_ack(const LoginAck& a) {
    std::string body;
    FieldWriter put(body);
    put.u8(kTsql);
    for (int i = 3; i >= 0; --i) put.u8(a.version >> (8 * i) & 0xff);
    put.b_varchar(a.program);
    for (int i = 3; i >= 0; --i) put.u8(a.program_version >> (8 * i) & 0xff);
    return sized(id::acknowledged, body);
}

TokenBuilder& TokenBuilder::return_status(std::int32_t value) {
    FieldWriter(out_).u8(id::returned).u32(static_cast<std::uint32_t>(value));
    return *this;
}

TokenBuilder& TokenBuilder::done(const Done& d) {
    FieldWriter(out_).u8(static_cast<std::uint8_t>(d.kind)).u16(d.status).u16(d.command).u64(d.rows);
    return *this;
}

}  // namespace sloestack::tds
