// Tests when recorded steps are due, and when a step is delayed or skipped.
#include "schedule/schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace {

using namespace sloestack::schedule;

constexpr Time kStart = 1'000'000'000;

RecordedStep request(Ticket ticket, ConnectionId connection, Time at, std::string id = {},
                     std::string key = {}) {
    RecordedStep r;
    r.ticket = ticket;
    r.connection = connection;
    r.at = at;
    r.id = std::move(id);
    r.key = std::move(key);
    return r;
}
std::vector<Due> take_all(Schedule& s, Time now) {
    std::vector<Due> out;
    while (auto due = s.take(now)) out.push_back(*due);
    return out;
}

TEST(Timeline, AppliesSpeedAndStretch) {
    const Timeline plain(2, std::nullopt);
    EXPECT_EQ(plain.due(1'000'000), 500'000);
    const Timeline dense(1, Stretch{10'000'000, 20'000'000, 0.5});
    EXPECT_EQ(dense.due(5'000'000), 5'000'000);
    EXPECT_EQ(dense.due(15'000'000), 12'500'000);
    EXPECT_EQ(dense.due(25'000'000), 20'000'000);
    EXPECT_THROW(Timeline(0, std::nullopt), std::invalid_argument);
    EXPECT_THROW(Timeline(1, Stretch{5, 5, 1}), std::invalid_argument);
    EXPECT_THROW(Timeline(1, Stretch{0, 5, -1}), std::invalid_argument);
}

RC_GTEST_PROP(TimelineProperty, IsMonotonic, ()) {
    const auto speed = *rc::gen::inRange(1, 1000) / 10.0;
    const auto from = *rc::gen::inRange<Micros>(0, 1'000'000);
    const Timeline line(speed, Stretch{from, from + *rc::gen::inRange<Micros>(1, 1'000'000),
                                       *rc::gen::inRange(1, 100) / 10.0});
    const auto a = *rc::gen::inRange<Micros>(0, 3'000'000), b = *rc::gen::inRange<Micros>(0, 3'000'000);
    RC_ASSERT((a <= b) == (line.due(a) <= line.due(b)) || line.due(a) == line.due(b));
}

TEST(Schedule, PlaysStepsAtTheirRecordedTimes) {
    Schedule s({}, kStart);
    s.add(request(1, 1, 500));
    s.add(request(2, 2, 700));
    EXPECT_EQ(s.next(), kStart);
    EXPECT_EQ(take_all(s, kStart).size(), 1u);
    EXPECT_EQ(s.next(), kStart + 200);
    EXPECT_FALSE(s.take(kStart + 199));
    const auto due = s.take(kStart + 250);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->late, 50);
    EXPECT_EQ(due->hold_reason, HoldReason::none);
}

TEST(Schedule, DelaysTheNextRequestOfAConnectionUntilTheResponse) {
    Schedule s({}, kStart);
    s.add(request(1, 1, 0));
    s.add(request(2, 1, 100));
    auto ahead = request(3, 1, 150);
    ahead.ahead = true;
    s.add(ahead);
    s.add(request(4, 2, 300));
    EXPECT_EQ(take_all(s, kStart + 200).size(), 1u);
    EXPECT_EQ(s.next(), kStart + 300) << "the other connection does not wait";
    s.ended(1, Outcome::answered, kStart + 200);
    const auto due = take_all(s, kStart + 200);
    ASSERT_EQ(due.size(), 2u) << "the request recorded as sent ahead does not wait";
    EXPECT_EQ(due[0].ticket, 2u);
    EXPECT_EQ(due[0].hold_reason, HoldReason::order);
    EXPECT_EQ(s.counters().held_by_order, 1u);
}

TEST(Schedule, ClampsOrSortsTimestampsThatGoBackwards) {
    for (const Micros back : {Micros{1}, Micros{2'000'000}}) {
        Schedule clamp({}, kStart);
        clamp.add(request(1, 1, 5'000'000));
        clamp.add(request(2, 2, 5'000'000 - back));
        EXPECT_EQ(clamp.counters().backwards, 1u);
        EXPECT_EQ(take_all(clamp, kStart).size(), 2u);

        Settings settings;
        settings.backwards = Backwards::sort;
        Schedule sort(settings, kStart);
        sort.add(request(1, 1, 5'000'000));
        sort.add(request(2, 2, 5'000'000 - back));
        sort.end_of_round();
        const auto first = sort.take(kStart);
        ASSERT_TRUE(first);
        EXPECT_EQ(first->ticket, 2u);
        EXPECT_EQ(sort.next(), kStart + back);
        EXPECT_EQ(sort.counters().backwards, 0u);
        EXPECT_EQ(sort.counters().sorted, 1u);
    }
    // A timestamp older than the sort window is clamped.
    Settings settings;
    settings.backwards = Backwards::sort;
    settings.sort_window = 1000;
    Schedule s(settings, kStart);
    s.add(request(1, 1, 0));
    s.add(request(2, 2, 5000));
    s.add(request(3, 3, 10'000));
    s.add(request(4, 4, 100));
    s.end_of_round();
    EXPECT_EQ(s.counters().backwards, 1u);
    EXPECT_EQ(take_all(s, kStart + 10'000).size(), 4u);
}

// The packets of one connection were captured with a clock that is 2 s behind: its steps keep their order.
TEST(Schedule, KeepsTheOrderOfAConnectionOnAnotherClock) {
    Settings settings;
    settings.backwards = Backwards::sort;
    Schedule s(settings, kStart);
    s.add(request(1, 1, 10'000'000));
    s.add(request(2, 2, 8'000'500));
    s.add(request(3, 1, 10'001'000));
    s.add(request(4, 2, 8'000'400));
    s.end_of_round();
    std::vector<Ticket> order;
    for (Time now = kStart; !s.over(); now += 100)
        while (const auto due = s.take(now)) {
            order.push_back(due->ticket);
            s.ended(due->ticket, Outcome::answered, now);
        }
    EXPECT_EQ(order, (std::vector<Ticket>{2, 4, 1, 3}));
}

TEST(Schedule, PlaysRequestsWithTheSameIdOneAfterTheOther) {
    Schedule s({}, kStart);
    s.add(request(1, 1, 0, "same"));
    s.add(request(2, 2, 10, "same"));
    s.add(request(3, 2, 20, "other"));
    EXPECT_EQ(take_all(s, kStart + 50).size(), 1u);
    EXPECT_EQ(s.next(), std::nullopt) << "the next step depends on a response";
    s.ended(1, Outcome::answered, kStart + 50);
    const auto due = take_all(s, kStart + 50);
    ASSERT_EQ(due.size(), 1u);
    EXPECT_EQ(due[0].hold_reason, HoldReason::id);
    s.ended(2, Outcome::answered, kStart + 50);
    EXPECT_EQ(take_all(s, kStart + 50).size(), 1u);
}

TEST(Schedule, SendsAKeyAgainOnlyAfterARejection) {
    Schedule s({}, kStart);
    s.add(request(1, 1, 0, "a", "k1"));
    s.add(request(2, 2, 10, "b", "k1"));
    s.add(request(3, 3, 20, "c", "k2"));
    s.add(request(4, 4, 500, "d", "k2"));
    s.add(request(5, 5, 600, "e", "k1"));
    auto due = take_all(s, kStart + 20);
    ASSERT_EQ(due.size(), 3u);
    EXPECT_EQ(due[1].skipped, SkipReason::key_already_sent) << "the first request is still open";
    s.ended(1, Outcome::unknown, kStart + 50);
    s.ended(3, Outcome::refused, kStart + 50);
    due = take_all(s, kStart + 600);
    ASSERT_EQ(due.size(), 2u);
    EXPECT_EQ(due[0].skipped, SkipReason::none) << "the first was rejected and never ran";
    EXPECT_EQ(due[1].skipped, SkipReason::key_already_sent) << "the first may have run";
    EXPECT_EQ(s.counters().skipped_key, 2u);
}

TEST(Schedule, RenamesIdsAndSkipsWritesOfUnknownOutcomeInLaterRounds) {
    Settings settings;
    settings.rounds = 2;
    Schedule s(settings, kStart);
    s.add(request(1, 1, 0, "a", "k1"));
    s.add(request(2, 2, 100, "b", "k2"));
    s.mark_response_missing("k2");
    EXPECT_TRUE(s.end_of_round());
    s.add(request(11, 1, 0, "a", "k1"));
    s.add(request(12, 2, 100, "b", "k2"));
    EXPECT_FALSE(s.end_of_round());
    auto due = take_all(s, kStart + 100);
    ASSERT_EQ(due.size(), 3u);
    EXPECT_EQ(due[2].ticket, 11u);
    EXPECT_NE(due[2].connection, due[0].connection);
    for (const Ticket t : {1, 2, 11}) s.ended(t, Outcome::answered, kStart + 50);
    due = take_all(s, kStart + 200);
    ASSERT_EQ(due.size(), 1u);
    EXPECT_EQ(due[0].skipped, SkipReason::outcome_unknown);
    EXPECT_TRUE(s.over());
    EXPECT_EQ(s.name_in_round("a", 0), "a");
    EXPECT_EQ(s.name_in_round("a", 1).size(), 16u);
    EXPECT_NE(s.name_in_round("a", 1), s.name_in_round("a", 2));
}

TEST(Schedule, DelaysOrSkipsAtTheLimitOfOpenRequests) {
    Settings settings;
    settings.max_open_requests = 1;
    Schedule holding(settings, kStart);
    holding.add(request(1, 1, 0));
    holding.add(request(2, 2, 10));
    EXPECT_EQ(take_all(holding, kStart + 500'000).size(), 1u);
    EXPECT_EQ(holding.next(), std::nullopt);
    holding.ended(1, Outcome::answered, kStart + 50);
    const auto due = holding.take(kStart + 500'000);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->hold_reason, HoldReason::budget);
    EXPECT_EQ(due->late, 499'990);
    EXPECT_EQ(holding.counters().late, 2u) << "the first was taken late as well";

    settings.late = Late::skip;
    Schedule skipping(settings, kStart);
    skipping.add(request(1, 1, 0));
    skipping.add(request(2, 2, 10));
    EXPECT_EQ(take_all(skipping, kStart + 10).size(), 1u);
    const auto next = skipping.next();
    ASSERT_TRUE(next);
    const auto skipped = skipping.take(*next);
    ASSERT_TRUE(skipped);
    EXPECT_EQ(skipped->skipped, SkipReason::late);
}

RC_GTEST_PROP(ScheduleProperty, StaysWithinTheRateCap, ()) {
    Settings settings;
    settings.max_requests_per_second = *rc::gen::inRange(10, 5000);
    Schedule s(settings, kStart);
    const int count = 200;
    for (Ticket t = 1; t <= count; ++t) s.add(request(t, t, 0));
    std::vector<Time> sent;
    Time now = kStart;
    for (int guard = 0; sent.size() < count && guard < 100'000; ++guard) {
        now += *rc::gen::inRange(1, 2000);
        while (const auto due = s.take(now)) sent.push_back(now);
        if (const auto next = s.next(); next && *next > now) now = *next;
    }
    RC_ASSERT(sent.size() == static_cast<std::size_t>(count));
    // No interval has more requests than the rate allows, except for 5 ms that an event-loop iteration may
    // catch up.
    const auto apart = static_cast<Micros>(1e6 / settings.max_requests_per_second);
    for (std::size_t i = 0; i < sent.size(); ++i)
        for (std::size_t j = i + 1; j < sent.size(); ++j)
            RC_ASSERT(static_cast<Micros>(j - i) * apart <= sent[j] - sent[i] + 5000 + apart);
}

// Whenever responses arrive: steps of a connection keep their order, no id is open twice, no key that may
// have run is sent twice, the limit of open requests holds, and each step is returned once.
RC_GTEST_PROP(ScheduleProperty, KeepsItsRulesForAnyResponses, ()) {
    Settings settings;
    settings.max_open_requests = static_cast<std::size_t>(*rc::gen::inRange(1, 6));
    settings.late = *rc::gen::element(Late::send, Late::skip);
    settings.backwards = *rc::gen::element(Backwards::clamp, Backwards::sort);
    Schedule s(settings, kStart);
    const int count = *rc::gen::inRange(1, 60);
    std::map<Ticket, RecordedStep> given;
    for (int i = 1; i <= count; ++i) {
        auto r = request(static_cast<Ticket>(i), static_cast<ConnectionId>(*rc::gen::inRange(1, 6)),
                         *rc::gen::inRange(0, 300'000), "i" + std::to_string(*rc::gen::inRange(1, 20)));
        if (*rc::gen::inRange(0, 3) == 0) r.key = "k" + std::to_string(*rc::gen::inRange(1, 5));
        given[r.ticket] = r;
        s.add(r);
    }
    s.end_of_round();
    std::map<ConnectionId, Ticket> last;
    std::set<Ticket> open;
    std::set<std::string> open_ids;
    std::map<std::string, Outcome> keys;
    std::size_t returned = 0;
    Time now = kStart;
    for (int guard = 0; !s.over() && guard < 10'000; ++guard) {
        while (const auto due = s.take(now)) {
            ++returned;
            const auto& r = given.at(due->ticket);
            RC_ASSERT(last[r.connection] < due->ticket);
            last[r.connection] = due->ticket;
            if (due->skipped != SkipReason::none) continue;
            RC_ASSERT(open.insert(due->ticket).second);
            RC_ASSERT(open_ids.insert(r.id).second);
            RC_ASSERT(open.size() <= settings.max_open_requests);
            if (r.key.empty()) continue;
            RC_ASSERT(!keys.count(r.key) || keys[r.key] == Outcome::refused);
            keys[r.key] = Outcome::unknown;
        }
        now += *rc::gen::inRange(1, 50'000);
        if (!open.empty() && *rc::gen::inRange(0, 2) == 0) {
            const auto ticket = *open.begin();
            open.erase(open.begin());
            const auto outcome = *rc::gen::element(Outcome::refused, Outcome::answered, Outcome::unknown);
            const auto& r = given.at(ticket);
            open_ids.erase(r.id);
            if (!r.key.empty()) keys[r.key] = outcome;
            s.ended(ticket, outcome, now);
        }
    }
    RC_ASSERT(s.over());
    RC_ASSERT(returned == static_cast<std::size_t>(count));
}

TEST(Schedule, RejectsSettingsOutOfRange) {
    Settings s;
    s.rounds = 0;
    EXPECT_THROW(Schedule(s, 0), std::invalid_argument);
    s = {};
    s.max_open_requests = 0;
    EXPECT_THROW(Schedule(s, 0), std::invalid_argument);
    s = {};
    s.max_requests_per_second = -1;
    EXPECT_THROW(Schedule(s, 0), std::invalid_argument);
}

TEST(Backoff, DoublesUpToItsMaximum) {
    Backoff b(20, 500, 3);
    Micros step = 20;
    for (int i = 0; i < 20; ++i) {
        const auto wait = b.next();
        EXPECT_GE(wait, step / 2);
        EXPECT_LE(wait, step);
        step = std::min<Micros>(step * 2, 500);
    }
    b.reset();
    EXPECT_LE(b.next(), 20);
}

}  // namespace
