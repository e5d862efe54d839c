#include <gtest/gtest.h>

#include "host.h"

namespace {

using sloestack::simulator::BadFrame;
using Bytes = std::vector<unsigned char>;

class Frame {
public:
    template <class T>
    Frame& put(T value) {
        for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
            body_.push_back(static_cast<unsigned char>(static_cast<std::uint64_t>(value) >> shift));
        return *this;
    }
    Frame& record(std::uint16_t code, std::uint32_t size) {
        ++records_;
        return put(code).put(size);
    }
    Frame& select(std::uint16_t i) { return record(1110, 2).put(i); }
    Frame& start(const std::string& settings) {
        record(1060, static_cast<std::uint32_t>(12 + settings.size())).put(std::uint64_t{7});
        put(static_cast<std::uint32_t>(settings.size()));
        body_.insert(body_.end(), settings.begin(), settings.end());
        return *this;
    }
    Bytes bytes(std::uint64_t now = 1000000) const {
        Frame head;
        head.put(now).put(static_cast<std::uint32_t>(16 + body_.size())).put(records_);
        Bytes out = head.body_;
        out.insert(out.end(), body_.begin(), body_.end());
        return out;
    }

private:
    Bytes body_;
    std::uint32_t records_ = 0;
};

const std::string kSettings =
    "classes.count=1\nclasses.0.effect=read_like\nclasses.0.promise-us=200000\nclasses.0.deadline-us=800000\n"
    "specifics.class-read=eventual\nlimits.most-tries=3\nrules.cold-from=0.2\n"
    "rules.warm-after-us=10000000\nrules.fall-multiple=2\nrules.fall-us=2000000\nsomething.new=1\n";

Frame with_server() {
    Frame f;
    f.select(3).start(kSettings);
    f.record(1000, 5 + 27).put(std::uint8_t{0}).put(std::uint32_t{1});
    f.put(std::uint32_t{0x3f800000}).put(std::uint16_t{0}).put(std::uint16_t{0}).put(std::uint32_t{77});
    f.put(std::uint16_t{0}).put(std::uint32_t{0}).put(std::uint64_t{0}).put(std::uint8_t{2});
    f.record(1080, 6).put(std::uint32_t{1}).put(std::uint8_t{0}).put(std::uint8_t{0});
    return f;
}

Frame& arrival(Frame& f, std::uint64_t id) {
    f.record(1070, 43).put(id).put(std::uint8_t{0}).put(std::uint32_t{0}).put(std::uint64_t{0});
    return f.put(std::uint64_t{1800000})
        .put(std::uint32_t{0})
        .put(std::uint32_t{0})
        .put(std::uint32_t{0})
        .put(std::uint16_t{0});
}

bool contains(const Bytes& all, const Bytes& part) {
    return std::search(all.begin(), all.end(), part.begin(), part.end()) != all.end();
}

TEST(Codec, EmptyBatchGivesEmptyReply) {
    sloestack::simulator::Host host;
    EXPECT_EQ(host.handle_batch(Frame().bytes()), (Bytes{0, 0, 0, 0, 0, 0, 0, 8}));
}

TEST(Codec, ArrivalIsSentToTheListedServer) {
    sloestack::simulator::Host host;
    auto f = with_server();
    arrival(f, 0x0102030405060708);
    const auto reply = host.handle_batch(f.bytes());
    EXPECT_TRUE(contains(reply, {0x04, 0x60, 0, 0, 0, 2, 0, 3}));  // speaking for instance 3
    EXPECT_TRUE(contains(reply, {0x03, 0xe8, 0, 0, 0, 16, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 77}));
    EXPECT_EQ(reply.size(), static_cast<std::size_t>(reply[6]) * 256 + reply[7]);
}

TEST(Codec, UnknownRecordsAndTrailingBytesAreSkipped) {
    sloestack::simulator::Host host;
    auto f = with_server();
    f.record(4999, 3).put(std::uint8_t{1}).put(std::uint16_t{2});
    f.record(1010, 6).put(std::uint32_t{99}).put(std::uint16_t{5});
    EXPECT_NO_THROW(host.handle_batch(f.bytes()));
}

TEST(Codec, RecordLongerThanItsFrameIsNamed) {
    sloestack::simulator::Host host;
    Frame f;
    f.select(1).record(1010, 4000).put(std::uint32_t{1});
    try {
        host.handle_batch(f.bytes());
        FAIL() << "accepted";
    } catch (const BadFrame& e) {
        EXPECT_NE(std::string(e.what()).find("byte 30"), std::string::npos) << e.what();
    }
}

TEST(Codec, CountPastItsRecordIsRefused) {
    sloestack::simulator::Host host;
    Frame f;
    f.record(1000, 5).put(std::uint8_t{0}).put(std::uint32_t{4000000});
    EXPECT_THROW(host.handle_batch(f.bytes()), BadFrame);
}

TEST(Codec, BytesAfterTheLastRecordAreRefused) {
    sloestack::simulator::Host host;
    auto bytes = Frame().select(1).bytes();
    bytes.push_back(0);
    EXPECT_THROW(host.handle_batch(bytes), BadFrame);
}

TEST(Codec, TruncatedFieldsAreRefused) {
    sloestack::simulator::Host host;
    Frame f;
    f.select(1).record(1070, 10).put(std::uint64_t{1}).put(std::uint16_t{0});
    EXPECT_THROW(host.handle_batch(f.bytes()), BadFrame);
}

TEST(Codec, SettingsThatCannotRunAreAFaultOfThatInstance) {
    sloestack::simulator::Host host;
    Frame f;
    f.select(1).start("classes.count=0\n");
    const auto reply = host.handle_batch(f.bytes());
    const std::string text(reply.begin(), reply.end());
    EXPECT_NE(text.find("classes.count"), std::string::npos);
}

TEST(Codec, SettingsNameTheMissingOrUnknownKey) {
    const auto message = [](const std::string& text) {
        try {
            sloestack::simulator::parse_settings(text);
        } catch (const std::invalid_argument& e) {
            return std::string(e.what());
        }
        return std::string("accepted");
    };
    EXPECT_NE(message("").find("classes.count"), std::string::npos);
    auto odd = kSettings;
    odd.replace(odd.find("read_like"), 9, "sometimes");
    EXPECT_NE(message(odd).find("classes.0.effect"), std::string::npos);
    EXPECT_EQ(message(kSettings), "accepted");
    // What the operators' settings hold beyond what is read here is passed over, whatever it says.
    EXPECT_EQ(message(kSettings + "rules.drain-grace-us=250000\nrules.ask-every-us=10000000\n"), "accepted");
    EXPECT_EQ(message(kSettings + "rules.drain-grace-us=soon\nrules.ask-every-us=\n"), "accepted");
}

TEST(Codec, KilledInstanceIsForgottenAndMayStartAgain) {
    sloestack::simulator::Host host;
    auto f = with_server();
    arrival(f, 5);
    f.record(1040, 0);
    EXPECT_EQ(host.handle_batch(f.bytes()).size(), 8u);
    EXPECT_NO_THROW(host.handle_batch(with_server().bytes(2000000)));
}

}  // namespace
