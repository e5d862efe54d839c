// The codec of TDS: split anywhere, of any size, of any bytes.
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

// ---- packets ----
TEST(TdsPacket, MessagesAreSplitAndPutTogether) {
    for (const std::size_t size : {0u, 1u, 503u, 504u, 505u, 1008u, 5000u}) {
        std::string out;
        PacketWriter writer(out);
        writer.set_packet_size(512);
        const std::string payload(size, 'p');
        writer.message(PacketType::batch, payload);
        PacketReader reader;
        std::string_view left = out;
        std::string got;
        int parts = 0;
        bool last = false;
        while (const auto part = reader.next(left)) {
            got += part->payload;
            left.remove_prefix(part->size);
            EXPECT_EQ(part->type, PacketType::batch);
            EXPECT_FALSE(last);
            last = part->is_last;
            ++parts;
        }
        EXPECT_EQ(got, payload);
        EXPECT_TRUE(last);
        EXPECT_TRUE(left.empty());
        EXPECT_EQ(parts, size == 0 ? 1 : static_cast<int>((size + 503) / 504));
    }
}

TEST(TdsPacket, WhatIsNoneIsTurnedAwayAtItsHeader) {
    const auto bad = [](std::string_view bytes) {
        PacketReader p;
        EXPECT_THROW(p.next(bytes), ProtocolError);
    };
    bad(std::string_view("\x01\x01\x00\x00", 4));    // size 0
    bad(std::string_view("\x01\x01\x00\x07", 4));    // shorter than the header
    bad(std::string_view("\x01\x01\x10\x01", 4));    // longer than what holds before the login
    bad(std::string_view("\x07", 1));                // bulk load
    bad(std::string_view("\x16\x03\x01", 3));        // TLS
    bad(packet(0x01, status::ignore, "x"));          // called off, but not the last
    bad(packet(0x06, status::end_of_message, "x"));  // an attention with a payload
    PacketReader p;
    EXPECT_FALSE(p.next(std::string_view("\x01\x01\x00", 3)));
    EXPECT_FALSE(p.next(packet(0x01, 1, "abc").substr(0, 10)));
    p.set_max_packet_size(32767);
    EXPECT_FALSE(p.next(std::string_view("\x01\x01\x10\x01", 4)));
}

TEST(TdsPacket, OnlyAnAttentionMayComeAmidAMessage) {
    PacketReader p;
    ASSERT_TRUE(p.next(packet(0x01, 0, "ab")));
    EXPECT_TRUE(p.is_inside_message());
    const auto attention = p.next(packet(0x06, status::end_of_message, ""));
    ASSERT_TRUE(attention);
    EXPECT_EQ(attention->type, PacketType::attention);
    EXPECT_TRUE(p.is_inside_message());
    EXPECT_THROW(p.next(packet(0x03, 1, "x")), ProtocolError);
    const auto last = p.next(packet(0x01, status::end_of_message | status::ignore, ""));
    ASSERT_TRUE(last);
    EXPECT_TRUE(last->is_ignored);
    EXPECT_FALSE(p.is_inside_message());
}

// ---- text ----
TEST(TdsText, IsExactOrRefused) {
    for (const std::string text : {"", "plain", "\xc3\xa4\xe2\x82\xac", "\xf0\x9f\x8d\x92"})
        EXPECT_EQ(from_utf16(to_utf16(text)), text);
    EXPECT_THROW(from_utf16("abc"), ProtocolError);
    EXPECT_THROW(from_utf16(std::string_view("\x00\xd8", 2)), ProtocolError);
    EXPECT_THROW(from_utf16(std::string_view("\x00\xdc\x00\xd8", 4)), ProtocolError);
    EXPECT_THROW(to_utf16("\xff"), ProtocolError);
}

// ---- login ----
Login sample() {
    Login l;
    l.user = "portal";
    l.password =
        "s\xc3\xa4"
        "cret";
    l.database = "crm";
    l.host = "app-1";
    l.app = "roster";
    l.packet_size = 8192;
    l.features[4] = "x";
    return l;
}

TEST(TdsLogin, ComesBackAsItWas) {
    for (const auto version : {kVersion72, kVersion73a, kVersion73b, kVersion74}) {
        auto l = sample();
        l.version = version;
        const auto got = read_login(build_login(l));
        EXPECT_EQ(got.version, version);
        EXPECT_EQ(got.user, l.user);
        EXPECT_EQ(got.password, l.password);
        EXPECT_EQ(got.database, l.database);
        EXPECT_EQ(got.packet_size, 8192u);
        EXPECT_EQ(got.features, l.features);
    }
    // Not in clear on the wire, and never in what an error says.
    EXPECT_EQ(build_login(sample()).find(to_utf16("s\xc3\xa4"
                                                  "cret")),
              std::string::npos);
}

TEST(TdsLogin, FieldsOutsideOverlappingOrInTheFixedPartAreRefused) {
    const auto good = build_login(sample());
    const auto with = [&](std::size_t at, std::initializer_list<int> bytes) {
        auto out = good;
        for (const auto b : bytes) out[at++] = static_cast<char>(b);
        return out;
    };
    EXPECT_THROW(read_login(good.substr(0, 93)), ProtocolError);
    EXPECT_THROW(read_login(good.substr(0, good.size() - 1)), ProtocolError);
    EXPECT_THROW(read_login(good + "x"), ProtocolError);
    EXPECT_THROW(read_login(with(40, {0, 0})), ProtocolError);        // the user's name in the fixed part
    EXPECT_THROW(read_login(with(40, {0xff, 0xff})), ProtocolError);  // outside
    EXPECT_THROW(read_login(with(42, {0x7f, 0})), ProtocolError);     // longer than what is left
    EXPECT_THROW(read_login(with(42, {0xff, 0xff})), ProtocolError);  // longer than a name may be
    EXPECT_THROW(read_login(with(44, {good[40], good[41]})),
                 ProtocolError);                                        // the password in the user's name
    EXPECT_THROW(read_login(with(4, {0, 0, 0, 0x71})), ProtocolError);  // version 7.1
    EXPECT_THROW(read_login(with(56, {0xff, 0x7f, 4, 0})), ProtocolError);
    // No byte of it may be more than an error, whatever it is.
    emulator::Random random(4);
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = good;
        for (int k = 0; k < 3; ++k) bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
        try {
            read_login(bytes);
        } catch (const ProtocolError& error) {
            EXPECT_EQ(std::string(error.what()).find("cret"), std::string::npos);
        }
    }
}

TEST(TdsLogin, Prelogin) {
    Prelogin p;
    p.version = 0x10000001;
    p.encryption = Encryption::not_supported;
    p.instance = "i";
    p.mars = true;
    const auto bytes = build_prelogin(p);
    const auto got = read_prelogin(bytes);
    EXPECT_EQ(got.version, p.version);
    EXPECT_EQ(got.encryption, Encryption::not_supported);
    EXPECT_EQ(got.instance, "i");
    EXPECT_TRUE(got.mars);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_THROW(read_prelogin(bytes.substr(0, n)), ProtocolError) << n;
    EXPECT_THROW(read_prelogin(std::string_view("\x16\x03\x01\x00\x05\xff", 6)), ProtocolError);
    auto bad = bytes;
    bad[21 + 6] = 9;  // a word on encryption that is none
    EXPECT_THROW(read_prelogin(bad), ProtocolError);
}

// ---- requests ----
TEST(TdsRequest, BatchAndCallCarryTheirStatement) {
    const std::string statement = "SELECT data FROM facts WHERE code = N'\xc3\xa4' /* id=1 */";
    EXPECT_EQ(read_batch(build_batch(statement)).statement, statement);
    Request call;
    call.statement = statement;
    Parameter p;
    p.name = "@a";
    p.type.id = TypeId::intn;
    p.type.size = 4;
    p.value = std::string("\1\0\0\0", 4);
    call.parameters.push_back(p);
    p.value.reset();
    call.parameters.push_back(p);
    const auto got = read_rpc(build_rpc(call));
    EXPECT_EQ(got.statement, statement);
    ASSERT_EQ(got.parameters.size(), 2u);
    EXPECT_EQ(*got.parameters[0].value, std::string("\1\0\0\0", 4));
    EXPECT_FALSE(got.parameters[1].value);
    call.statement = std::string(100'000, 'x');  // beyond nvarchar(4000): in chunks
    EXPECT_EQ(read_rpc(build_rpc(call)).statement, call.statement);
}

TEST(TdsRequest, BadHeadersAndCallsAreRefused) {
    const auto good = build_batch("SELECT 1");
    const auto with = [&](std::size_t at, int byte) {
        auto out = good;
        out[at] = static_cast<char>(byte);
        return out;
    };
    EXPECT_THROW(read_batch(""), ProtocolError);
    EXPECT_THROW(read_batch(with(0, 3)), ProtocolError);     // headers shorter than their own length
    EXPECT_THROW(read_batch(with(0, 0xff)), ProtocolError);  // longer than the message
    EXPECT_THROW(read_batch(with(4, 5)), ProtocolError);     // a header shorter than its head
    EXPECT_THROW(read_batch(with(4, 19)), ProtocolError);    // one that runs past the headers
    EXPECT_THROW(read_batch(with(8, 9)), ProtocolError);     // of an unknown type
    EXPECT_THROW(read_batch(with(8, 1)), ProtocolError);     // no transaction header at all
    EXPECT_THROW(read_batch(with(18, 2)), ProtocolError);    // two requests at once
    EXPECT_THROW(read_batch(good + "x"), ProtocolError);     // half a character
    auto other = build_rpc({"SELECT 1", 0, {}});
    other[24] = 11;
    EXPECT_THROW(read_rpc(other), ProtocolError);
    const auto call = build_rpc({"SELECT 1", 0, {}});
    for (std::size_t n = 0; n < call.size(); ++n)
        EXPECT_THROW(read_rpc(call.substr(0, n)), ProtocolError) << n;
    EXPECT_THROW(read_rpc(call + "\xff"), ProtocolError);
}

// ---- values and tokens ----
struct Heard final : TokenEvents {
    std::vector<std::string> log;
    std::string chunks;
    std::vector<Column> last;
    void columns(const std::vector<Column>& c) override {
        last = c;
        log.push_back("columns " + std::to_string(c.size()));
    }
    void row() override { log.push_back("row"); }
    void value(std::size_t c, std::optional<std::string_view> b) override {
        log.push_back("value " + std::to_string(c) + " " + (b ? std::string(*b) : "NULL"));
    }
    void begin_value(std::size_t c, std::optional<std::uint64_t> size) override {
        log.push_back("begins " + std::to_string(c) + " " + (size ? std::to_string(*size) : "?"));
        chunks.clear();
    }
    void value_chunk(std::string_view b) override { chunks += b; }
    void end_value() override { log.push_back("ends " + std::to_string(chunks.size())); }
    void error(const ErrorOrInfo& n) override {
        log.push_back("error " + std::to_string(n.number) + " " + n.text);
    }
    void info(const ErrorOrInfo& n) override {
        log.push_back("info " + std::to_string(n.number) + " " + n.text);
    }
    void env_change(const EnvChange& c) override {
        log.push_back("changed " + std::to_string(c.type) + " " + c.new_value);
    }
    void login_ack(const LoginAck& a) override {
        log.push_back("acknowledged " + std::to_string(a.version) + " " + a.program);
    }
    void return_status(std::int32_t v) override { log.push_back("returned " + std::to_string(v)); }
    void done(const Done& d) override {
        log.push_back("done " + std::to_string(d.status) + " " + std::to_string(d.rows));
    }
};

ColumnType type_of(TypeId id, std::uint32_t size = 0, std::uint8_t scale = 0, std::uint8_t precision = 0) {
    ColumnType t;
    t.id = id;
    t.size = size;
    t.scale = scale;
    t.precision = precision;
    t.max = size == kMaxLength;
    return t;
}

// Every type that is read, with the bytes of one value of it.
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

std::string whole_answer(std::vector<std::string>& wanted) {
    std::string out;
    TokenBuilder build(out);
    build.login_ack({kVersion74, "sloestack", 1}).env_change({EnvChange::packet_size, "8192", "4096"});
    build.info({5701, 2, 0, "changed database", "s", "p", 7});
    std::vector<Column> columns;
    for (const auto& [type, value] : kTypes)
        columns.push_back({"c" + std::to_string(columns.size()), type, 0, 8});
    build.columns(columns).row();
    wanted = {"acknowledged " + std::to_string(kVersion74) + " sloestack", "changed 4 8192",
              "info 5701 changed database", "columns " + std::to_string(kTypes.size()), "row"};
    std::vector<bool> nulls;
    for (std::size_t i = 0; i < kTypes.size(); ++i) {
        const auto& [type, value] = kTypes[i];
        const auto number = std::to_string(i);
        if (type.max) {
            put_chunks(out, value);
            wanted.push_back("begins " + number + " " + std::to_string(value.size()));
            wanted.push_back("ends " + std::to_string(value.size()));
        } else {
            put_value(out, type, value);
            wanted.push_back("value " + number + " " + value);
        }
        nulls.push_back(!type.fixed());
    }
    build.row_with_nulls(nulls);
    wanted.push_back("row");
    for (std::size_t i = 0; i < kTypes.size(); ++i) {
        if (!nulls[i]) put_value(out, kTypes[i].first, kTypes[i].second);
        wanted.push_back("value " + std::to_string(i) + " " + (nulls[i] ? "NULL" : kTypes[i].second));
    }
    build.return_status(-3)
        .error({50001, 1, 16, "not now", "", "", 1})
        .done({Done::Kind::batch, done::error | done::count, 0, 2});
    wanted.insert(wanted.end(), {"returned -3", "error 50001 not now", "done 18 2"});
    return out;
}

TEST(TdsToken, AnAnswerIsTheSameHoweverItIsSplit) {
    std::vector<std::string> wanted;
    const auto bytes = whole_answer(wanted);
    for (const std::size_t step :
         {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{17}, bytes.size()}) {
        Heard heard;
        TokenReader reader(heard);
        for (std::size_t at = 0; at < bytes.size(); at += step)
            reader.read(std::string_view(bytes).substr(at, step));
        EXPECT_EQ(heard.log, wanted) << "step " << step;
        EXPECT_FALSE(reader.is_inside_token());
    }
    // Wherever it ends short of its last byte, it is not whole: amid a token, or without its last one.
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        Heard heard;
        TokenReader reader(heard);
        reader.read(std::string_view(bytes).substr(0, n));
        EXPECT_TRUE(reader.is_inside_token() || heard.log.empty() || heard.log.back() != wanted.back());
    }
}

TEST(TdsToken, ALargeValuePassesWithoutBeingHeld) {
    std::string out;
    TokenBuilder(out).columns({{"data", type_of(TypeId::varbinary, kMaxLength), 0, 0}}).row();
    FieldWriter(out).u64(kUnknownLength);
    std::string value;
    for (int i = 0; i < 500; ++i) {
        const std::string chunk(8000 + static_cast<std::size_t>(i), static_cast<char>(i));
        FieldWriter(out).u32(chunk.size()).bytes(chunk);
        value += chunk;
    }
    FieldWriter(out).u32(0);
    TokenBuilder(out).done({});
    Heard heard;
    TokenReader reader(heard);
    for (std::size_t at = 0; at < out.size(); at += 4088) {
        reader.read(std::string_view(out).substr(at, 4088));
        ASSERT_LT(reader.buffered_bytes(), 100u);
    }
    EXPECT_EQ(heard.chunks, value);
    EXPECT_EQ(heard.log.back(), "done 0 0");
}

TEST(TdsToken, WhatCannotBeIsRefused) {
    const auto refused = [](const std::string& bytes) {
        Heard heard;
        TokenReader reader(heard);
        EXPECT_THROW(reader.read(bytes), ProtocolError);
    };
    refused("\x01");                  // an unknown token
    refused(std::string("\xd1", 1));  // a row before its columns
    std::string unknown("\x81\1\0\0\0\0\0\0\0", 9);
    refused(unknown + '\x22');                // image
    refused(unknown + "\x26\3");              // an integer of three bytes
    refused(unknown + "\x6a\x05\x27\1");      // a decimal of precision 39
    refused(unknown + "\x29\x08");            // a time of scale 8
    refused(unknown + "\xa5\x41\x1f");        // varbinary(8001)
    refused(std::string("\x81\x01\x10", 3));  // 4,097 columns
    const auto column = [](const ColumnType& t) {
        std::string out;
        TokenBuilder(out).columns({{"c", t, 0, 0}}).row();
        return out;
    };
    refused(column(type_of(TypeId::intn, 4)) + "\x08");  // longer than its column
    refused(column(type_of(TypeId::nvarchar, 10)) + std::string("\3\0abc", 5));
    const auto large = column(type_of(TypeId::varbinary, kMaxLength));
    std::string three;
    FieldWriter(three).u64(3).u32(0xc0000000);  // a chunk of 3 GB in a value of three bytes
    refused(large + three);
    std::string less;
    FieldWriter(less).u64(3).u32(1).bytes("x").u32(0);
    refused(large + less);
    std::string feature("\xae\1", 2);
    FieldWriter(feature).u32(0xc0000000);
    refused(feature);
    std::string notice;
    TokenBuilder(notice).error({1, 1, 16, "text", "", "", 1});
    notice[9] = 99;  // the text's length, beyond the token's
    refused(notice);
    // One in chunks that never ends: nothing is held, and the answer is not whole.
    std::string endless;
    FieldWriter(endless).u64(kUnknownLength).u32(0xffffffff);
    Heard heard;
    TokenReader reader(heard);
    reader.read(large + endless);
    for (int i = 0; i < 1000; ++i) reader.read(std::string(4088, 'x'));
    EXPECT_TRUE(reader.is_inside_token());
    EXPECT_EQ(reader.buffered_bytes(), 0u);
    EXPECT_THROW(
        {
            FieldReader in(endless);
            read_chunks(in, 1000);
        },
        ProtocolError);
}

TEST(TdsToken, AnyBytesEndInAnErrorAtWorst) {
    std::vector<std::string> wanted;
    const auto good = whole_answer(wanted);
    emulator::Random random(9);
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = good;
        for (auto n = random.between(1, 4); n > 0; --n)
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
        Heard heard;
        TokenReader reader(heard);
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

TEST(TdsToken, ANoticeThatIsTooLongIsCutAtAWholeCharacter) {
    std::string out, text;
    for (int i = 0; i < 5000; ++i) text += "\xf0\x9f\x8d\x92";
    TokenBuilder(out).error({1, 1, 16, "x" + text, "", "", 1});
    Heard heard;
    TokenReader reader(heard);
    reader.read(out);
    ASSERT_EQ(heard.log.size(), 1u);
    EXPECT_EQ(heard.log[0].size(), std::string("error 1 x").size() + 1999 * 4);
}

}  // namespace
