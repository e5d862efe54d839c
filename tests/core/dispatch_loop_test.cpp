// The dispatch loop between fake clients and endpoints: the order in which it reports events.
#include "dispatch_loop/dispatch_loop.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace sloestack;

constexpr int kWrite = 0;
constexpr int kSessionRead = 1;
constexpr decision::EndpointId kPrimary = 1;
constexpr decision::EndpointId kReplica = 2;
constexpr decision::SessionId kSession = 7;
constexpr Micros kDeadline = 1'000'000;

struct ManualClock final : Clock {
    Time now() const override { return time; }
    Time time = 1'700'000'000'000'000;
};

struct Sink final : traffic::ResponseSink {
    void on_value(const traffic::ResultValue&) override { on_response(); }
    void on_value_started(const traffic::ResultValue&, std::size_t, traffic::ResponseSource&) override {}
    void on_value_chunk(std::string_view) override {}
    void on_value_completed(const std::string&) override {}
    void on_value_aborted() override {}
    void on_rejected(Micros) override { ++rejections; }
    void on_failed() override { ++failures; }
    traffic::ClientPresence client_presence() override { return traffic::ClientPresence::connected; }

    std::function<void()> on_response = [] {};
    int rejections = 0;
    int failures = 0;
};

struct FakeEndpoints final : traffic::AttemptSender {
    void send(const traffic::Attempt& attempt) override {
        attempts.push_back(attempt);
        on_send();
    }
    void cancel_attempt(traffic::RequestId, int) override {}
    void start_health_check(traffic::EndpointId) override {}

    std::vector<traffic::Attempt> attempts;
    std::function<void()> on_send = [] {};
};

decision::Settings session_settings() {
    decision::RequestClassSettings write;
    write.is_write = true;
    write.consistency = decision::Consistency::linearizable;
    write.latency_objective_us = kDeadline / 2;
    write.deadline_us = kDeadline;
    auto read = write;
    read.is_write = false;
    read.consistency = decision::Consistency::session;
    decision::Settings settings;
    settings.classes = {write, read};
    settings.health_checks_allowed = true;
    settings.health_checks_report_status = true;
    return settings;
}

class DispatchLoopTest : public ::testing::Test {
protected:
    DispatchLoopTest() {
        loop_.set_targets({endpoints_, [] {}, [](auto, const auto&) {},
                           [this](const auto& write) {
                               announced_.push_back(write);
                               order_ += "announced ";
                           }});
        std::vector<traffic::ListedEndpoint> list(2);
        list[0].endpoint.endpoint = kPrimary;
        list[1].endpoint.endpoint = kReplica;
        loop_.on_endpoint_list(decision::EndpointListKind::complete, list);
        report_positions();
    }

    // The replica has applied all commits up to 1 ms ago.
    void report_positions() {
        report(kPrimary, decision::Role::primary, clock_.time);
        report(kReplica, decision::Role::replica, clock_.time - 1'000);
        loop_.run_iteration();
    }
    void report(decision::EndpointId endpoint, decision::Role role, Time position) {
        decision::HealthCheckEnded end;
        end.endpoint = endpoint;
        end.reported_status = {role, position};
        loop_.on_health_check_ended(end);
    }
    void submit(int request_class, Sink& sink, int replica_group = 0, Micros deadline = kDeadline) {
        traffic::Request request;
        request.arrival.replica_group = replica_group;
        request.arrival.request_class = request_class;
        request.arrival.session = kSession;
        request.arrival.deadline = clock_.time + deadline;
        loop_.submit(request, sink);
    }
    // Reports a successful end of the latest attempt; all commits up to now are applied there.
    void succeed(decision::Role role) {
        const auto attempt = endpoints_.attempts.back();
        decision::AttemptEnded end;
        end.request = attempt.request;
        end.attempt = attempt.number;
        end.endpoint = attempt.endpoint;
        end.status = {role, clock_.time};
        loop_.on_attempt_ended(end, traffic::ResultValue{});
    }

    ManualClock clock_;
    Deadlines deadlines_{clock_};
    metrics::RequestMetrics metrics_{{"change", "view"}};
    dispatch::DispatchLoop loop_{deadlines_, session_settings(), 1, metrics_};
    FakeEndpoints endpoints_;
    std::vector<decision::SessionWrite> announced_;
    std::string order_;
};

// Guards against stale session reads at another process of a hot restart: its client reads as soon as it has
// the response to its write.
TEST_F(DispatchLoopTest, AnnouncesASessionWriteBeforeItsResponse) {
    Sink sink;
    sink.on_response = [this] { order_ += "response"; };
    submit(kWrite, sink);
    loop_.run_iteration();
    ASSERT_EQ(endpoints_.attempts.size(), 1U);
    succeed(decision::Role::primary);
    EXPECT_EQ(order_, "announced response");
    ASSERT_EQ(announced_.size(), 1U);
    EXPECT_EQ(announced_[0].session, kSession);
    EXPECT_EQ(announced_[0].position, clock_.time);
}

// Guards against stale session reads: a read that the client has sent behind its write is submitted as soon
// as the write is answered, and must not reach the decision module first.
TEST_F(DispatchLoopTest, ReportsTheEndOfAWriteBeforeAReadThatWaitedBehindIt) {
    for (int i = 0; i < 10; ++i) {
        clock_.time += 10'000;
        report_positions();
        Sink write_sink;
        Sink read_sink;
        write_sink.on_response = [&] { submit(kSessionRead, read_sink); };
        submit(kWrite, write_sink);
        loop_.run_iteration();
        succeed(decision::Role::primary);
        loop_.run_iteration();
        ASSERT_EQ(endpoints_.attempts.back().endpoint, kPrimary);
        succeed(decision::Role::primary);
        loop_.run_iteration();
    }
}

// A write that another process reports while a read of its session is queued is known before the read.
TEST_F(DispatchLoopTest, HandlesAReportedSessionWriteBeforeQueuedArrivals) {
    for (int i = 0; i < 10; ++i) {
        clock_.time += 10'000;
        report_positions();
        Sink sink;
        submit(kSessionRead, sink);
        loop_.on_session_write({0, kSession, clock_.time});
        loop_.run_iteration();
        ASSERT_EQ(endpoints_.attempts.back().endpoint, kPrimary);
        succeed(decision::Role::primary);
        loop_.run_iteration();
    }
}

// Guards against the assertion that ended debug builds on a busy machine: the process stands still while the
// actions of a step are carried out, and the module's timer is set again only after the deadline of a
// request.
TEST_F(DispatchLoopTest, EndsAWaitingRequestAfterTheProcessStoodStillDuringAStep) {
    constexpr int kGroupWithoutPrimary = 5;
    constexpr Micros kTickIntervalUs = 5'000;
    loop_.run_iteration();
    Sink waiting;
    submit(kWrite, waiting, kGroupWithoutPrimary);
    loop_.run_iteration();
    EXPECT_EQ(waiting.rejections, 0);
    clock_.time += kTickIntervalUs;
    endpoints_.on_send = [this] { clock_.time += 2 * kDeadline; };
    Sink forwarded;
    submit(kWrite, forwarded, 0, 10 * kDeadline);
    loop_.run_iteration();
    ASSERT_EQ(endpoints_.attempts.size(), 1U);
    for (int i = 0; i < 3; ++i) loop_.run_iteration();
    EXPECT_EQ(waiting.rejections, 1);
    EXPECT_EQ(waiting.failures, 0);
}

}  // namespace
