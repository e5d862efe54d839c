// The simulator adapter: batches in, replies out.
#include <gtest/gtest.h>

#include "host.h"

namespace {

using sloestack::simulator::FrameError;
using Bytes = std::vector<unsigned char>;

// Builds a batch frame.
class BatchBuilder {
public:
    template <class T>
    BatchBuilder& put(T value) {
        for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
            body_.push_back(static_cast<unsigned char>(static_cast<std::uint64_t>(value) >> shift));
        return *this;
    }
    BatchBuilder& record(std::uint16_t code, std::uint32_t size) {
        ++record_count_;
        return put(code).put(size);
    }
    BatchBuilder& select_instance(std::uint16_t number) { return record(1110, 2).put(number); }
    BatchBuilder& start_instance(const std::string& settings) {
        record(1060, static_cast<std::uint32_t>(12 + settings.size())).put(std::uint64_t{7});
        put(static_cast<std::uint32_t>(settings.size()));
        body_.insert(body_.end(), settings.begin(), settings.end());
        return *this;
    }
    Bytes bytes(std::uint64_t now = 1000000) const {
        BatchBuilder header;
        header.put(now).put(static_cast<std::uint32_t>(16 + body_.size())).put(record_count_);
        Bytes out = header.body_;
        out.insert(out.end(), body_.begin(), body_.end());
        return out;
    }

private:
    Bytes body_;
    std::uint32_t record_count_ = 0;
};

const std::string kSettings =
    "classes.count=1\nclasses.0.effect=read_like\nclasses.0.promise-us=200000\nclasses.0.deadline-us=800000\n"
    "specifics.class-read=eventual\nlimits.most-tries=3\nrules.cold-from=0.2\n"
    "rules.warm-after-us=10000000\nrules.fall-multiple=2\nrules.fall-us=2000000\nsomething.new=1\n";

// Starts instance 3 with a list of one ready endpoint, whose id is 77.
BatchBuilder batch_with_endpoint() {
    BatchBuilder batch;
    batch.select_instance(3).start_instance(kSettings);
    batch.record(1000, 5 + 27).put(std::uint8_t{0}).put(std::uint32_t{1});
    batch.put(std::uint32_t{0x3f800000}).put(std::uint16_t{0}).put(std::uint16_t{0}).put(std::uint32_t{77});
    batch.put(std::uint16_t{0}).put(std::uint32_t{0}).put(std::uint64_t{0}).put(std::uint8_t{2});
    batch.record(1080, 6).put(std::uint32_t{1}).put(std::uint8_t{0}).put(std::uint8_t{0});
    return batch;
}

BatchBuilder& add_arrival(BatchBuilder& batch, std::uint64_t id) {
    batch.record(1070, 43).put(id).put(std::uint8_t{0}).put(std::uint32_t{0}).put(std::uint64_t{0});
    return batch.put(std::uint64_t{1800000})
        .put(std::uint32_t{0})
        .put(std::uint32_t{0})
        .put(std::uint32_t{0})
        .put(std::uint16_t{0});
}

bool contains(const Bytes& all, const Bytes& part) {
    return std::search(all.begin(), all.end(), part.begin(), part.end()) != all.end();
}

TEST(SimulatorHost, RepliesToAnEmptyBatchWithAnEmptyReply) {
    sloestack::simulator::Host host;
    EXPECT_EQ(host.handle_batch(BatchBuilder().bytes()), (Bytes{0, 0, 0, 0, 0, 0, 0, 8}));
}

TEST(SimulatorHost, ForwardsAnArrivalToTheListedEndpoint) {
    sloestack::simulator::Host host;
    auto batch = batch_with_endpoint();
    add_arrival(batch, 0x0102030405060708);
    const auto reply = host.handle_batch(batch.bytes());
    EXPECT_TRUE(contains(reply, {0x04, 0x60, 0, 0, 0, 2, 0, 3}));  // selects instance 3
    EXPECT_TRUE(contains(reply, {0x03, 0xe8, 0, 0, 0, 16, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 77}));
    EXPECT_EQ(reply.size(), static_cast<std::size_t>(reply[6]) * 256 + reply[7]);
}

TEST(SimulatorHost, SkipsUnknownRecordsAndUnreadBytesOfARecord) {
    sloestack::simulator::Host host;
    auto batch = batch_with_endpoint();
    batch.record(4999, 3).put(std::uint8_t{1}).put(std::uint16_t{2});
    batch.record(1010, 6).put(std::uint32_t{99}).put(std::uint16_t{5});
    EXPECT_NO_THROW(host.handle_batch(batch.bytes()));
}

TEST(SimulatorHost, ErrorGivesTheOffsetOfARecordLongerThanItsFrame) {
    sloestack::simulator::Host host;
    BatchBuilder batch;
    batch.select_instance(1).record(1010, 4000).put(std::uint32_t{1});
    try {
        host.handle_batch(batch.bytes());
        FAIL() << "accepted";
    } catch (const FrameError& error) {
        EXPECT_NE(std::string(error.what()).find("byte 30"), std::string::npos) << error.what();
    }
}

TEST(SimulatorHost, RejectsAnEntryCountLargerThanItsRecord) {
    sloestack::simulator::Host host;
    BatchBuilder batch;
    batch.record(1000, 5).put(std::uint8_t{0}).put(std::uint32_t{4000000});
    EXPECT_THROW(host.handle_batch(batch.bytes()), FrameError);
}

TEST(SimulatorHost, RejectsBytesAfterTheLastRecord) {
    sloestack::simulator::Host host;
    auto bytes = BatchBuilder().select_instance(1).bytes();
    bytes.push_back(0);
    EXPECT_THROW(host.handle_batch(bytes), FrameError);
}

TEST(SimulatorHost, RejectsTruncatedFields) {
    sloestack::simulator::Host host;
    BatchBuilder batch;
    batch.select_instance(1).record(1070, 10).put(std::uint64_t{1}).put(std::uint16_t{0});
    EXPECT_THROW(host.handle_batch(batch.bytes()), FrameError);
}

TEST(SimulatorHost, ReportsInvalidSettingsAsAFaultOfTheirInstance) {
    sloestack::simulator::Host host;
    BatchBuilder batch;
    batch.select_instance(1).start_instance("classes.count=0\n");
    const auto reply = host.handle_batch(batch.bytes());
    const std::string text(reply.begin(), reply.end());
    EXPECT_NE(text.find("classes.count"), std::string::npos);
}

TEST(ParseSettings, ErrorsNameTheMissingOrInvalidKey) {
    const auto message = [](const std::string& text) {
        try {
            sloestack::simulator::parse_settings(text);
        } catch (const std::invalid_argument& error) {
            return std::string(error.what());
        }
        return std::string("accepted");
    };
    EXPECT_NE(message("").find("classes.count"), std::string::npos);
    auto invalid_settings = kSettings;
    invalid_settings.replace(invalid_settings.find("read_like"), 9, "sometimes");
    EXPECT_NE(message(invalid_settings).find("classes.0.effect"), std::string::npos);
    EXPECT_EQ(message(kSettings), "accepted");
    // Operators' settings contain keys that are not read here; these are skipped whatever their value.
    EXPECT_EQ(message(kSettings + "rules.drain-grace-us=250000\nrules.ask-every-us=10000000\n"), "accepted");
    EXPECT_EQ(message(kSettings + "rules.drain-grace-us=soon\nrules.ask-every-us=\n"), "accepted");
}

TEST(SimulatorHost, AStoppedInstanceTakesNoActionsAndCanBeStartedAgain) {
    sloestack::simulator::Host host;
    auto batch = batch_with_endpoint();
    add_arrival(batch, 5);
    batch.record(1040, 0);
    EXPECT_EQ(host.handle_batch(batch.bytes()).size(), 8u);
    EXPECT_NO_THROW(host.handle_batch(batch_with_endpoint().bytes(2000000)));
}

}  // namespace
