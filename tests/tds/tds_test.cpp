// TDS codec: packets, login, requests and tokens, whole, split at any byte and with random bytes.
#include <gtest/gtest.h>

#include "emulator/values.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"

namespace {

using namespace sloestack::tds;

std::string packet(std::uint8_t type, std::uint8_t status, std::string_view payload) {
    const auto size = payload.size() + kPacketHeaderBytes;
    std::string out = {static_cast<char>(type),
                       static_cast<char>(status),
                       static_cast<char>(size >> 8),
                       static_cast<char>(size),
                       0,
                       0,
                       1,
                       0};
    return out.append(payload);
}

// ---- Packets ----
TEST(TdsPacket, SplitsAndReassemblesMessages) {
    for (const std::size_t size : {0u, 1u, 503u, 504u, 505u, 1008u, 5000u}) {
        std::string out;
        PacketWriter writer(out);
        writer.set_packet_size(512);
        const std::string payload(size, 'p');
        writer.message(PacketType::batch, payload);
        PacketReader reader;
        std::string_view left = out;
        std::string read;
        int packets = 0;
        bool last = false;
        while (const auto packet = reader.next(left)) {
            read += packet->payload;
            left.remove_prefix(packet->size);
            EXPECT_EQ(packet->type, PacketType::batch);
            EXPECT_FALSE(last);
            last = packet->is_last;
            ++packets;
        }
        EXPECT_EQ(read, payload);
        EXPECT_TRUE(last);
        EXPECT_TRUE(left.empty());
        EXPECT_EQ(packets, size == 0 ? 1 : static_cast<int>((size + 503) / 504));
    }
}

TEST(TdsPacket, RejectsInvalidPacketByItsHeader) {
    const auto expect_error = [](std::string_view bytes) {
        PacketReader reader;
        EXPECT_THROW(reader.next(bytes), ProtocolError);
    };
    expect_error(std::string_view("\x01\x01\x00\x00", 4));    // size 0
    expect_error(std::string_view("\x01\x01\x00\x07", 4));    // shorter than the header
    expect_error(std::string_view("\x01\x01\x10\x01", 4));    // larger than the packet size before the login
    expect_error(std::string_view("\x07", 1));                // bulk load
    expect_error(std::string_view("\x16\x03\x01", 3));        // TLS
    expect_error(packet(0x01, status::ignore, "x"));          // ignored, but not the last
    expect_error(packet(0x06, status::end_of_message, "x"));  // an attention with a payload
    PacketReader reader;
    EXPECT_FALSE(reader.next(std::string_view("\x01\x01\x00", 3)));
    EXPECT_FALSE(reader.next(packet(0x01, 1, "abc").substr(0, 10)));
    reader.set_max_packet_size(32767);
    EXPECT_FALSE(reader.next(std::string_view("\x01\x01\x10\x01", 4)));
}

TEST(TdsPacket, AcceptsOnlyAttentionInsideAMessage) {
    PacketReader reader;
    ASSERT_TRUE(reader.next(packet(0x01, 0, "ab")));
    EXPECT_TRUE(reader.is_inside_message());
    const auto attention = reader.next(packet(0x06, status::end_of_message, ""));
    ASSERT_TRUE(attention);
    EXPECT_EQ(attention->type, PacketType::attention);
    EXPECT_TRUE(reader.is_inside_message());
    EXPECT_THROW(reader.next(packet(0x03, 1, "x")), ProtocolError);
    const auto last = reader.next(packet(0x01, status::end_of_message | status::ignore, ""));
    ASSERT_TRUE(last);
    EXPECT_TRUE(last->is_ignored);
    EXPECT_FALSE(reader.is_inside_message());
}

// ---- Text ----
TEST(TdsText, ConvertsExactlyOrThrows) {
    for (const std::string text : {"", "plain", "\xc3\xa4\xe2\x82\xac", "\xf0\x9f\x8d\x92"})
        EXPECT_EQ(from_utf16(to_utf16(text)), text);
    EXPECT_THROW(from_utf16("abc"), ProtocolError);
    EXPECT_THROW(from_utf16(std::string_view("\x00\xd8", 2)), ProtocolError);
    EXPECT_THROW(from_utf16(std::string_view("\x00\xdc\x00\xd8", 4)), ProtocolError);
    EXPECT_THROW(to_utf16("\xff"), ProtocolError);
}

// ---- Login ----
Login example_login() {
    Login login;
    login.user = "portal";
    login.password =
        "s\xc3\xa4"
        "cret";
    login.database = "crm";
    login.host = "app-1";
    login.app = "roster";
    login.packet_size = 8192;
    login.features[4] = "x";
    return login;
}

TEST(TdsLogin, ReadsWhatBuildWrites) {
    for (const auto version : {kVersion72, kVersion73a, kVersion73b, kVersion74}) {
        auto login = example_login();
        login.version = version;
        const auto read = read_login(build_login(login));
        EXPECT_EQ(read.version, version);
        EXPECT_EQ(read.user, login.user);
        EXPECT_EQ(read.password, login.password);
        EXPECT_EQ(read.database, login.database);
        EXPECT_EQ(read.packet_size, 8192u);
        EXPECT_EQ(read.features, login.features);
    }
    // The password is not readable on the wire.
    EXPECT_EQ(build_login(example_login())
                  .find(to_utf16("s\xc3\xa4"
                                 "cret")),
              std::string::npos);
}

TEST(TdsLogin, RejectsFieldsThatOverlapOrLieOutsideTheVariablePart) {
    const auto good = build_login(example_login());
    const auto with = [&](std::size_t at, std::initializer_list<int> bytes) {
        auto out = good;
        for (const auto b : bytes) out[at++] = static_cast<char>(b);
        return out;
    };
    EXPECT_THROW(read_login(good.substr(0, 93)), ProtocolError);
    EXPECT_THROW(read_login(good.substr(0, good.size() - 1)), ProtocolError);
    EXPECT_THROW(read_login(good + "x"), ProtocolError);
    EXPECT_THROW(read_login(with(40, {0, 0})), ProtocolError);        // the user name in the fixed part
    EXPECT_THROW(read_login(with(40, {0xff, 0xff})), ProtocolError);  // outside
    EXPECT_THROW(read_login(with(42, {0x7f, 0})), ProtocolError);     // longer than the rest of the message
    EXPECT_THROW(read_login(with(42, {0xff, 0xff})), ProtocolError);  // longer than a name may be
    EXPECT_THROW(read_login(with(44, {good[40], good[41]})),
                 ProtocolError);                                        // the password overlaps the user name
    EXPECT_THROW(read_login(with(4, {0, 0, 0, 0x71})), ProtocolError);  // version 7.1
    EXPECT_THROW(read_login(with(56, {0xff, 0x7f, 4, 0})), ProtocolError);
    // Random bytes cause at most a ProtocolError, whose message does not contain the password.
    emulator::Random random(4);
    for (int round = 0; round < 20'000; ++round) {
        auto bytes = good;
        for (int change = 0; change < 3; ++change)
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
        try {
            read_login(bytes);
        } catch (const ProtocolError& error) {
            EXPECT_EQ(std::string(error.what()).find("cret"), std::string::npos);
        }
    }
}

TEST(TdsLogin, ReadsPreloginThatBuildWritesAndRejectsInvalidOnes) {
    Prelogin prelogin;
    prelogin.version = 0x10000001;
    prelogin.encryption = Encryption::not_supported;
    prelogin.instance = "i";
    prelogin.mars = true;
    const auto bytes = build_prelogin(prelogin);
    const auto read = read_prelogin(bytes);
    EXPECT_EQ(read.version, prelogin.version);
    EXPECT_EQ(read.encryption, Encryption::not_supported);
    EXPECT_EQ(read.instance, "i");
    EXPECT_TRUE(read.mars);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_THROW(read_prelogin(bytes.substr(0, size)), ProtocolError) << size;
    EXPECT_THROW(read_prelogin(std::string_view("\x16\x03\x01\x00\x05\xff", 6)), ProtocolError);
    auto changed = bytes;
    changed[21 + 6] = 9;  // an unknown value of ENCRYPTION
    EXPECT_THROW(read_prelogin(changed), ProtocolError);
}

// ---- Requests ----
TEST(TdsRequest, ReadsBatchAndRpcThatBuildWrites) {
    const std::string statement = "SELECT data FROM facts WHERE code = N'\xc3\xa4' /* id=1 */";
    EXPECT_EQ(read_batch(build_batch(statement)).statement, statement);
    Request request;
    request.statement = statement;
    Parameter parameter;
    parameter.name = "@a";
    parameter.type.id = TypeId::intn;
    parameter.type.size = 4;
    parameter.value = std::string("\1\0\0\0", 4);
    request.parameters.push_back(parameter);
    parameter.value.reset();
    request.parameters.push_back(parameter);
    const auto read = read_rpc(build_rpc(request));
    EXPECT_EQ(read.statement, statement);
    ASSERT_EQ(read.parameters.size(), 2u);
    EXPECT_EQ(*read.parameters[0].value, std::string("\1\0\0\0", 4));
    EXPECT_FALSE(read.parameters[1].value);
    request.statement = std::string(100'000, 'x');  // longer than nvarchar(4000): in chunks
    EXPECT_EQ(read_rpc(build_rpc(request)).statement, request.statement);
}

TEST(TdsRequest, RejectsInvalidHeadersAndRpcRequests) {
    const auto good = build_batch("SELECT 1");
    const auto with = [&](std::size_t at, int byte) {
        auto out = good;
        out[at] = static_cast<char>(byte);
        return out;
    };
    EXPECT_THROW(read_batch(""), ProtocolError);
    EXPECT_THROW(read_batch(with(0, 3)), ProtocolError);     // headers shorter than their own length
    EXPECT_THROW(read_batch(with(0, 0xff)), ProtocolError);  // longer than the message
    EXPECT_THROW(read_batch(with(4, 5)), ProtocolError);     // a header shorter than its length and type
    EXPECT_THROW(read_batch(with(4, 19)), ProtocolError);    // a header that runs past ALL_HEADERS
    EXPECT_THROW(read_batch(with(8, 9)), ProtocolError);     // a header of an unknown type
    EXPECT_THROW(read_batch(with(8, 1)), ProtocolError);     // no transaction descriptor header
    EXPECT_THROW(read_batch(with(18, 2)), ProtocolError);    // two requests outstanding
    EXPECT_THROW(read_batch(good + "x"), ProtocolError);     // half a character
    auto other_procedure = build_rpc({"SELECT 1", 0, {}});
    other_procedure[24] = 11;
    EXPECT_THROW(read_rpc(other_procedure), ProtocolError);
    const auto rpc = build_rpc({"SELECT 1", 0, {}});
    for (std::size_t size = 0; size < rpc.size(); ++size)
        EXPECT_THROW(read_rpc(rpc.substr(0, size)), ProtocolError) << size;
    EXPECT_THROW(read_rpc(rpc + "\xff"), ProtocolError);
}

// ---- Values and tokens ----
// Logs each event as a line of text.
struct EventLog final : TokenEvents {
    std::vector<std::string> lines;
    std::string chunks;
    std::vector<Column> last_columns;
    void columns(const std::vector<Column>& columns) override {
        last_columns = columns;
        lines.push_back("columns " + std::to_string(columns.size()));
    }
    void row() override { lines.push_back("row"); }
    void value(std::size_t column, std::optional<std::string_view> bytes) override {
        lines.push_back("value " + std::to_string(column) + " " + (bytes ? std::string(*bytes) : "NULL"));
    }
    void begin_value(std::size_t column, std::optional<std::uint64_t> size) override {
        lines.push_back("begins " + std::to_string(column) + " " + (size ? std::to_string(*size) : "?"));
        chunks.clear();
    }
    void value_chunk(std::string_view bytes) override { chunks += bytes; }
    void end_value() override { lines.push_back("ends " + std::to_string(chunks.size())); }
    void error(const ErrorOrInfo& error) override {
        lines.push_back("error " + std::to_string(error.number) + " " + error.text);
    }
    void info(const ErrorOrInfo& info) override {
        lines.push_back("info " + std::to_string(info.number) + " " + info.text);
    }
    void env_change(const EnvChange& change) override {
        lines.push_back("env change " + std::to_string(change.type) + " " + change.new_value);
    }
    void login_ack(const LoginAck& login_ack) override {
        lines.push_back("login ack " + std::to_string(login_ack.version) + " " + login_ack.program);
    }
    void return_status(std::int32_t status) override {
        lines.push_back("return status " + std::to_string(status));
    }
    void done(const Done& done) override {
        lines.push_back("done " + std::to_string(done.status) + " " + std::to_string(done.rows));
    }
};

ColumnType type_of(TypeId id, std::uint32_t size = 0, std::uint8_t scale = 0, std::uint8_t precision = 0) {
    ColumnType type;
    type.id = id;
    type.size = size;
    type.scale = scale;
    type.precision = precision;
    type.max = size == kMaxLength;
    return type;
}

// Each supported type with the bytes of one value.
const std::vector<std::pair<ColumnType, std::string>> kTypes = {
    {type_of(TypeId::int1), "1"},
    {type_of(TypeId::bit), "1"},
    {type_of(TypeId::int2), "12"},
    {type_of(TypeId::int4), "1234"},
    {type_of(TypeId::int8), "12345678"},
    {type_of(TypeId::float4), "1234"},
    {type_of(TypeId::float8), "12345678"},
    {type_of(TypeId::datetime4), "1234"},
    {type_of(TypeId::datetime), "12345678"},
    {type_of(TypeId::intn, 8), "12345678"},
    {type_of(TypeId::bitn, 1), "1"},
    {type_of(TypeId::floatn, 8), "12345678"},
    {type_of(TypeId::datetimen, 8), "12345678"},
    {type_of(TypeId::decimaln, 9, 2, 18), "123456789"},
    {type_of(TypeId::numericn, 5, 0, 9), "12345"},
    {type_of(TypeId::daten), "123"},
    {type_of(TypeId::timen, 5, 7), "12345"},
    {type_of(TypeId::datetime2n, 6, 0), "123456"},
    {type_of(TypeId::datetimeoffsetn, 9, 3), "123456789"},
    {type_of(TypeId::varbinary, 8000), "bytes"},
    {type_of(TypeId::binary, 5), "bytes"},
    {type_of(TypeId::varchar, 100), "text"},
    {type_of(TypeId::character, 4), "text"},
    {type_of(TypeId::nvarchar, 100), "t.e."},
    {type_of(TypeId::nchar, 4), "t.e."},
    {type_of(TypeId::varbinary, kMaxLength), "large"},
    {type_of(TypeId::varchar, kMaxLength), "large"},
    {type_of(TypeId::nvarchar, kMaxLength), "la"},
};

// Returns a response with a value of every type, and fills `expected` with its events.
std::string whole_response(std::vector<std::string>& expected) {
    std::string out;
    TokenBuilder build(out);
    build.login_ack({kVersion74, "sloestack", 1}).env_change({EnvChange::packet_size, "8192", "4096"});
    build.info({5701, 2, 0, "changed database", "s", "p", 7});
    std::vector<Column> columns;
    for (const auto& [type, value] : kTypes)
        columns.push_back({"c" + std::to_string(columns.size()), type, 0, 8});
    build.columns(columns).row();
    expected = {"login ack " + std::to_string(kVersion74) + " sloestack", "env change 4 8192",
                "info 5701 changed database", "columns " + std::to_string(kTypes.size()), "row"};
    std::vector<bool> nulls;
    for (std::size_t index = 0; index < kTypes.size(); ++index) {
        const auto& [type, value] = kTypes[index];
        const auto number = std::to_string(index);
        if (type.max) {
            put_chunks(out, value);
            expected.push_back("begins " + number + " " + std::to_string(value.size()));
            expected.push_back("ends " + std::to_string(value.size()));
        } else {
            put_value(out, type, value);
            expected.push_back("value " + number + " " + value);
        }
        nulls.push_back(!type.fixed());
    }
    build.row_with_nulls(nulls);
    expected.push_back("row");
    for (std::size_t index = 0; index < kTypes.size(); ++index) {
        if (!nulls[index]) put_value(out, kTypes[index].first, kTypes[index].second);
        expected.push_back("value " + std::to_string(index) + " " +
                           (nulls[index] ? "NULL" : kTypes[index].second));
    }
    build.return_status(-3)
        .error({50001, 1, 16, "not now", "", "", 1})
        .done({Done::Kind::batch, done::error | done::count, 0, 2});
    expected.insert(expected.end(), {"return status -3", "error 50001 not now", "done 18 2"});
    return out;
}

TEST(TdsToken, ReportsTheSameEventsHoweverTheResponseIsSplit) {
    std::vector<std::string> expected;
    const auto bytes = whole_response(expected);
    for (const std::size_t step :
         {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{17}, bytes.size()}) {
        EventLog events;
        TokenReader reader(events);
        for (std::size_t at = 0; at < bytes.size(); at += step)
            reader.read(std::string_view(bytes).substr(at, step));
        EXPECT_EQ(events.lines, expected) << "step " << step;
        EXPECT_FALSE(reader.is_inside_token());
    }
    // A response without its last bytes is incomplete: it ends inside a token, or the last token is missing.
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EventLog events;
        TokenReader reader(events);
        reader.read(std::string_view(bytes).substr(0, size));
        EXPECT_TRUE(reader.is_inside_token() || events.lines.empty() ||
                    events.lines.back() != expected.back());
    }
}

TEST(TdsToken, PassesLargeValueWithoutBufferingIt) {
    std::string out;
    TokenBuilder(out).columns({{"data", type_of(TypeId::varbinary, kMaxLength), 0, 0}}).row();
    FieldWriter(out).u64(kUnknownLength);
    std::string value;
    for (int index = 0; index < 500; ++index) {
        const std::string chunk(8000 + static_cast<std::size_t>(index), static_cast<char>(index));
        FieldWriter(out).u32(chunk.size()).bytes(chunk);
        value += chunk;
    }
    FieldWriter(out).u32(0);
    TokenBuilder(out).done({});
    EventLog events;
    TokenReader reader(events);
    for (std::size_t at = 0; at < out.size(); at += 4088) {
        reader.read(std::string_view(out).substr(at, 4088));
        ASSERT_LT(reader.buffered_bytes(), 100u);
    }
    EXPECT_EQ(events.chunks, value);
    EXPECT_EQ(events.lines.back(), "done 0 0");
}

TEST(TdsToken, RejectsInvalidTokens) {
    const auto expect_error = [](const std::string& bytes) {
        EventLog events;
        TokenReader reader(events);
        EXPECT_THROW(reader.read(bytes), ProtocolError);
    };
    expect_error("\x01");                  // an unknown token
    expect_error(std::string("\xd1", 1));  // a row before its columns
    std::string one_column("\x81\1\0\0\0\0\0\0\0", 9);
    expect_error(one_column + '\x22');             // image
    expect_error(one_column + "\x26\3");           // an integer of three bytes
    expect_error(one_column + "\x6a\x05\x27\1");   // a decimal of precision 39
    expect_error(one_column + "\x29\x08");         // a time of scale 8
    expect_error(one_column + "\xa5\x41\x1f");     // varbinary(8001)
    expect_error(std::string("\x81\x01\x10", 3));  // 4,097 columns
    const auto row_of = [](const ColumnType& type) {
        std::string out;
        TokenBuilder(out).columns({{"c", type, 0, 0}}).row();
        return out;
    };
    expect_error(row_of(type_of(TypeId::intn, 4)) + "\x08");  // longer than its column
    expect_error(row_of(type_of(TypeId::nvarchar, 10)) + std::string("\3\0abc", 5));
    const auto large = row_of(type_of(TypeId::varbinary, kMaxLength));
    std::string too_large_chunk;
    FieldWriter(too_large_chunk).u64(3).u32(0xc0000000);  // a chunk of 3 GB in a value of three bytes
    expect_error(large + too_large_chunk);
    std::string too_few_bytes;
    FieldWriter(too_few_bytes).u64(3).u32(1).bytes("x").u32(0);
    expect_error(large + too_few_bytes);
    std::string feature("\xae\1", 2);
    FieldWriter(feature).u32(0xc0000000);
    expect_error(feature);
    std::string error;
    TokenBuilder(error).error({1, 1, 16, "text", "", "", 1});
    error[9] = 99;  // the length of the text, beyond that of the token
    expect_error(error);
    // A chunk that never ends is not buffered, and the response stays incomplete.
    std::string endless;
    FieldWriter(endless).u64(kUnknownLength).u32(0xffffffff);
    EventLog events;
    TokenReader reader(events);
    reader.read(large + endless);
    for (int packet_count = 0; packet_count < 1000; ++packet_count) reader.read(std::string(4088, 'x'));
    EXPECT_TRUE(reader.is_inside_token());
    EXPECT_EQ(reader.buffered_bytes(), 0u);
    EXPECT_THROW(
        {
            FieldReader in(endless);
            read_chunks(in, 1000);
        },
        ProtocolError);
}

TEST(TdsToken, ThrowsOnlyProtocolErrorForRandomBytes) {
    std::vector<std::string> expected;
    const auto good = whole_response(expected);
    emulator::Random random(9);
    for (int round = 0; round < 20'000; ++round) {
        auto bytes = good;
        for (auto changes = random.between(1, 4); changes > 0; --changes)
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
        EventLog events;
        TokenReader reader(events);
        try {
            const auto step = static_cast<std::size_t>(random.between(1, 200));
            for (std::size_t at = 0; at < bytes.size(); at += step) {
                reader.read(std::string_view(bytes).substr(at, step));
                ASSERT_LE(reader.buffered_bytes(), kMaxBufferedTokenBytes + step);
            }
        } catch (const ProtocolError&) {
        }
    }
}

TEST(TdsToken, TruncatesLongErrorTextAfterAWholeCharacter) {
    std::string out, text;
    for (int count = 0; count < 5000; ++count) text += "\xf0\x9f\x8d\x92";
    TokenBuilder(out).error({1, 1, 16, "x" + text, "", "", 1});
    EventLog events;
    TokenReader reader(events);
    reader.read(out);
    ASSERT_EQ(events.lines.size(), 1u);
    EXPECT_EQ(events.lines[0].size(), std::string("error 1 x").size() + 1999 * 4);
}

}  // namespace
