// Two processes of a proxy, each with an event loop of its own, that report session writes to each other.
#include "hot_restart/hot_restart.h"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace sloestack;

constexpr int kMaxIterations = 1000;

// One process: its loop runs only when the test says so.
class Process final : public hot_restart::HotRestartHandler {
public:
    explicit Process(const std::string& path) : hot_restart_(loop_, deadlines_, path, *this) {
        hot_restart_.start();
    }

    const std::set<std::string>& excluded_endpoints() const override { return excluded; }
    void on_exclusion_update(const std::string& endpoint, bool is_excluded) override {
        if (is_excluded)
            excluded.insert(endpoint);
        else
            excluded.erase(endpoint);
    }
    void on_process_count(int processes) override { process_count = processes; }
    bool is_within_share() const override { return true; }
    void on_handover_complete() override { is_serving = true; }
    void on_session_write(const decision::SessionWrite& write) override { writes.push_back(write); }
    void on_session_write_reports(bool are_complete) override { reports_are_complete = are_complete; }

    void run_once() {
        loop_.run_once(0);
        deadlines_.run_due();
        loop_.end_iteration();
    }
    hot_restart::HotRestart& hot_restart() { return hot_restart_; }

    std::set<std::string> excluded;
    std::vector<decision::SessionWrite> writes;
    int process_count = 1;
    bool is_serving = false;
    bool reports_are_complete = true;

private:
    Clock clock_;
    Deadlines deadlines_{clock_};
    net::Loop loop_;
    hot_restart::HotRestart hot_restart_;
};

class HotRestartTest : public ::testing::Test {
protected:
    HotRestartTest() {
        char folder[] = "/tmp/sloestack-state-XXXXXX";
        EXPECT_TRUE(mkdtemp(folder));
        folder_ = folder;
    }
    ~HotRestartTest() override {
        processes_.clear();
        unlink(path().c_str());
        rmdir(folder_.c_str());
    }
    std::string path() const { return folder_ + "/socket"; }

    Process& start() {
        processes_.push_back(std::make_unique<Process>(path()));
        return *processes_.back();
    }
    // Ends a process at once, as SIGKILL does.
    void kill(Process& process) {
        for (auto& each : processes_)
            if (each.get() == &process) each.reset();
    }
    template <class Condition>
    ::testing::AssertionResult run_until(Condition condition) {
        for (int i = 0; i < kMaxIterations; ++i) {
            if (condition()) return ::testing::AssertionSuccess();
            for (auto& process : processes_)
                if (process) process->run_once();
            usleep(1000);
        }
        return ::testing::AssertionFailure() << "the condition was not met";
    }

    std::string folder_;
    std::vector<std::unique_ptr<Process>> processes_;
};

// A client that has the response to its write may read at the other process before that one's event loop has
// seen the report.
TEST_F(HotRestartTest, ASessionWriteIsReceivedWithoutTheEventLoop) {
    auto& old_process = start();
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] {
        return new_process.is_serving && old_process.reports_are_complete && new_process.reports_are_complete;
    }));
    old_process.hot_restart().send_session_write({1, 7, 1000});
    new_process.hot_restart().receive_now();
    ASSERT_EQ(new_process.writes.size(), 1U);
    EXPECT_EQ(new_process.writes[0].session, 7U);
    new_process.hot_restart().send_session_write({1, 8, 2000});
    old_process.hot_restart().receive_now();
    ASSERT_EQ(old_process.writes.size(), 1U);
    EXPECT_EQ(old_process.writes[0].position, 2000);
}

// The end of a process that has reported a write is noticed after the write.
TEST_F(HotRestartTest, ASessionWriteOfAProcessThatHasEndedIsReceived) {
    auto& old_process = start();
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving && new_process.reports_are_complete; }));
    old_process.hot_restart().send_session_write({1, 7, 1000});
    kill(old_process);
    ASSERT_TRUE(run_until([&] { return new_process.process_count == 1; }));
    EXPECT_EQ(new_process.writes.size(), 1U);
    EXPECT_TRUE(new_process.reports_are_complete);
}

// More reports than the kernel holds wait in their sender while this process stands still.
TEST_F(HotRestartTest, ReportsAreIncompleteAfterADelayUntilAllHaveArrived) {
    constexpr std::size_t kWrites = 20'000;
    auto& old_process = start();
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] {
        return new_process.is_serving && old_process.reports_are_complete && new_process.reports_are_complete;
    }));
    for (std::size_t i = 0; i < kWrites; ++i) old_process.hot_restart().send_session_write({1, i + 1, 1000});
    new_process.hot_restart().on_event_loop_delayed();
    EXPECT_FALSE(new_process.reports_are_complete);
    std::size_t received_when_complete = 0;
    ASSERT_TRUE(run_until([&] {
        if (new_process.reports_are_complete && received_when_complete == 0)
            received_when_complete = new_process.writes.size();
        return received_when_complete > 0;
    }));
    EXPECT_EQ(received_when_complete, kWrites);
}

}  // namespace
