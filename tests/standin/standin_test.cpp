// The stand-ins' pure parts: the bank, the checker of the rules, the script. A checker that cannot find a
// broken rule is worth nothing, so each rule is broken once.
#include <gtest/gtest.h>

#include <stdexcept>

#include "standin/bank.h"
#include "standin/checker.h"
#include "standin/script.h"
#include "standin/settings.h"
#include "standin/values.h"

namespace {

using namespace standin;

constexpr Time kNow = 1'000'000'000;

TEST(Bank, ReplicasLagAndCatchUp) {
    Bank bank({}, kNow);
    EXPECT_EQ(bank.position(0, kNow), kNow);
    EXPECT_EQ(bank.position(1, kNow + 100'000), kNow + 100'000 - 8'000);
    bank.slow_apply(1, 10, kNow + 1'100'000, kNow + 100'000);
    EXPECT_EQ(bank.position(1, kNow + 1'100'000), kNow + 92'000 + 100'000);
    EXPECT_LT(bank.position(1, kNow + 1'500'000), kNow + 1'500'000 - 8'000);
    EXPECT_EQ(bank.position(1, kNow + 3'000'000), kNow + 3'000'000 - 8'000);
}

TEST(Bank, APrimaryThatDiesIsFollowedByTheReplicaThatIsFarthest) {
    Bank bank({}, kNow);
    bank.slow_apply(1, 10, kNow + 10'000'000, kNow);
    bank.down(0, kNow + 1'000'000);
    EXPECT_EQ(bank.primary(kNow + 1'000'000), -1);
    EXPECT_EQ(bank.primary(kNow + 4'600'000), -1);
    EXPECT_EQ(bank.primary(kNow + 4'700'000), 2);
    bank.up(0, kNow + 5'000'000);
    EXPECT_EQ(bank.primary(kNow + 5'000'000), 2);
    EXPECT_GE(bank.position(0, kNow + 9'000'000), kNow + 8'000'000);
}

TEST(Bank, PositionsNeverGoBack) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random random(seed);
        Bank bank({}, kNow);
        Time last[3] = {0, 0, 0}, now = kNow;
        for (int i = 0; i < 300; ++i) {
            now += random.between(0, 100'000);
            const int m = static_cast<int>(random.between(0, 2));
            switch (random.between(0, 6)) {
                case 0:
                    bank.down(m, now);
                    break;
                case 1:
                    bank.up(m, now);
                    break;
                case 2:
                    bank.drain(m, now);
                    break;
                case 3:
                    bank.back(m);
                    break;
                case 4:
                    bank.slow_apply(m, 5, now + 500'000, now);
                    break;
                default:
                    bank.primary(now);
            }
            for (int k = 0; k < 3; ++k) {
                const auto at = bank.position(k, now);
                ASSERT_GE(at, last[k]) << "seed " << seed;
                ASSERT_LE(at, now);
                last[k] = at;
            }
        }
    }
}

TEST(Bank, ARepeatIsDroppedWithinItsWindowOnly) {
    Bank bank({}, kNow);
    EXPECT_TRUE(bank.write("k", "first", kNow).ran);
    const auto again = bank.write("k", "second", kNow + 4'900'000);
    EXPECT_FALSE(again.ran);
    EXPECT_EQ(again.value, "first");
    EXPECT_TRUE(bank.write("k", "third", kNow + 5'100'000).ran);
}

Executed run(const std::string& id, const std::string& key = {}) {
    Executed e;
    e.id = id;
    e.key = key;
    e.last_byte = e.at = e.position = kNow;
    e.value = 7;
    return e;
}

TEST(Checker, FindsNothingWhereRulesAreKept) {
    Checker c({});
    c.asked("1");
    c.arrived(0, "1", kNow);
    c.executed(run("1"));
    c.answered("1", true, 7);
    c.asked("2");
    c.answered("2", false, 0);
    EXPECT_TRUE(c.broken().empty());
}

TEST(Checker, FindsEachBrokenRule) {
    const auto says = [](const Checker& c, const std::string& part) {
        const auto broken = c.broken();
        return broken.size() == 1 && broken[0].find(part) != std::string::npos;
    };
    {
        Checker c({});
        c.asked("1");
        EXPECT_TRUE(says(c, "never answered"));
        c.answered("1", false, 0);
        c.asked("2");
        c.asked("2");  // two clients with one id
        c.answered("2", false, 0);
        c.answered("2", false, 0);
        EXPECT_TRUE(c.broken().empty());
        c.answered("1", false, 0);
        EXPECT_TRUE(says(c, "answered twice"));
    }
    {
        Checker c({});
        c.executed(run("1", "k"));
        auto repeat = run("2", "k");
        repeat.ran = false;
        c.executed(repeat);
        EXPECT_TRUE(c.broken().empty());
        c.executed(run("3", "k"));
        EXPECT_TRUE(says(c, "ran twice"));
    }
    {
        Checker c({});
        c.told_drain(4, kNow);
        c.arrived(4, "1", kNow + 300'000);
        EXPECT_TRUE(c.broken().empty());
        c.arrived(4, "2", kNow + 300'001);
        EXPECT_TRUE(says(c, "after its drain was told"));
        c.told_back(4);
        c.arrived(4, "3", kNow + 900'000);
        EXPECT_TRUE(says(c, "request 2"));
    }
    {
        Checker c({});
        auto old = run("1");
        old.position = kNow - 250'000;
        c.executed(old);
        EXPECT_TRUE(c.broken().empty());
        --old.position;
        c.executed(old);
        EXPECT_TRUE(says(c, "ms old"));
        old.klass = 1;  // any age will do
        c.executed(old);
        EXPECT_TRUE(says(c, "ms old"));
    }
    {
        Checker c({});
        c.asked("1");
        c.executed(run("1"));
        c.answered("1", true, 8);
        EXPECT_TRUE(says(c, "no member made"));
    }
}

TEST(Script, IsReadAndSaysWhatIsWrong) {
    const auto faults = parse_script("crash@10:m1.2/3,restart@2/1.5", 2, 3);
    ASSERT_EQ(faults.size(), 2u);
    EXPECT_EQ(to_text(faults[0]), "restart@2/1.5");
    EXPECT_EQ(to_text(faults[1]), "crash@10:m1.2/3");
    for (const auto* bad :
         {"boom@1:m1.1/1", "crash", "crash@1:m1.1", "crash@1:m3.1/1", "crash@1:m1.9/1", "crash@x:m1.1/1",
          "crash@1/1", "restart@1:m1.1/1", "crash@1:m1/1", "crash@-1:m1.1/1"})
        EXPECT_THROW(parse_script(bad, 2, 3), std::invalid_argument) << bad;
    EXPECT_EQ(draw_script(3, 5, 60'000'000, 2, 3).size(), 5u);
    EXPECT_EQ(to_text(draw_script(3, 5, 60'000'000, 2, 3)[4]),
              to_text(draw_script(3, 5, 60'000'000, 2, 3)[4]));
}

TEST(Values, StatementsAndValuesAgree) {
    Question q;
    q.klass = 2;
    q.id = "1";
    q.code = "c";
    q.key = "k";
    q.data = std::string("\x00\xff'\\", 4);
    q.left_ms = 5;
    EXPECT_EQ(data_in(statement_of(q)), q.data);
    EXPECT_EQ(code_in(statement_of(q)), "c");
    EXPECT_EQ(value_of("c"), value_of("c"));
    EXPECT_NE(value_of("c"), value_of("d"));
}

}  // namespace
