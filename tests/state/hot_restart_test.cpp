// The processes of a proxy during hot restarts, each with an event loop of its own: how they find each other,
// and what they report to each other.
#include "hot_restart/hot_restart.h"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <memory>
#include <set>
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

    void on_cancel_request(const hot_restart::CancelRequest& request) override {
        cancelled.push_back(request.secret);
    }

    std::vector<std::uint64_t> request_ids() const override { return open_ids; }
    void on_request_id(std::uint64_t hash) override { reported_ids.insert(hash); }

    void run_once() {
        loop_.run_once(0);
        deadlines_.run_due();
        loop_.end_iteration();
    }
    hot_restart::HotRestart& hot_restart() { return hot_restart_; }

    std::set<std::string> excluded;
    std::vector<decision::SessionWrite> writes;
    std::vector<std::uint32_t> cancelled;
    std::vector<std::uint64_t> open_ids;
    std::set<std::uint64_t> reported_ids;
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
    sockaddr_un address_of_path() const {
        sockaddr_un address{};
        address.sun_family = AF_UNIX;
        path().copy(address.sun_path, sizeof address.sun_path - 1);
        return address;
    }
    // Leaves a socket at the path that nobody listens at, as a process does that is killed.
    void leave_dead_socket() const {
        const auto address = address_of_path();
        unlink(path().c_str());
        const int dead = socket(AF_UNIX, SOCK_STREAM, 0);
        EXPECT_EQ(bind(dead, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        close(dead);
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

// A new version that died kept the next one from finding the old process, whose exclusions were lost.
TEST_F(HotRestartTest, TheNextProcessFindsTheOldOneAfterANewOneHasDied) {
    auto& old_process = start();
    old_process.excluded = {"m"};
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving; }));
    kill(new_process);
    leave_dead_socket();
    ASSERT_TRUE(run_until([&] { return old_process.process_count == 1; }));
    auto& next_process = start();
    ASSERT_TRUE(run_until([&] { return next_process.is_serving; }));
    EXPECT_EQ(next_process.excluded.count("m"), 1U);
    EXPECT_EQ(next_process.process_count, 2);
    EXPECT_EQ(old_process.process_count, 2);
}

// The same if the next process starts before the old one has noticed.
TEST_F(HotRestartTest, TheNextProcessWaitsUntilTheOldOneHasNoticed) {
    auto& old_process = start();
    old_process.excluded = {"m"};
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving; }));
    kill(new_process);
    leave_dead_socket();
    auto& next_process = start();
    EXPECT_FALSE(next_process.is_serving);
    ASSERT_TRUE(run_until([&] { return next_process.is_serving; }));
    EXPECT_EQ(next_process.excluded.count("m"), 1U);
}

// The same in a row of three processes, of which the one in the middle ends.
TEST_F(HotRestartTest, TheFirstAndTheLastProcessFindEachOther) {
    auto& first = start();
    auto& middle = start();
    ASSERT_TRUE(run_until([&] { return middle.is_serving; }));
    auto& last = start();
    ASSERT_TRUE(run_until([&] { return last.is_serving; }));
    kill(middle);
    ASSERT_TRUE(run_until([&] { return first.process_count == 2 && last.process_count == 2; }));
    ASSERT_TRUE(run_until([&] { return first.reports_are_complete && last.reports_are_complete; }));
    EXPECT_TRUE(first.hot_restart().has_successor());
    EXPECT_FALSE(last.hot_restart().has_successor());
    bool is_confirmed = false;
    first.excluded.insert("m");
    first.hot_restart().send_exclusion_update("m", true, [&] { is_confirmed = true; });
    ASSERT_TRUE(run_until([&] { return is_confirmed; }));
    EXPECT_EQ(last.excluded.count("m"), 1U);
}

// A process that has replaced the socket without knowing of the old one is joined by it.
TEST_F(HotRestartTest, AProcessThatLosesThePathJoinsTheOneThatHasIt) {
    auto& old_process = start();
    old_process.excluded = {"m"};
    leave_dead_socket();
    auto& next_process = start();
    while (!next_process.is_serving) next_process.run_once();
    EXPECT_EQ(next_process.process_count, 1);
    ASSERT_TRUE(run_until([&] { return old_process.process_count == 2 && next_process.process_count == 2; }));
    ASSERT_TRUE(run_until([&] { return next_process.excluded.count("m") == 1; }));
}

// A folder that cannot be written to for a while keeps the next process from finding this one only so long.
TEST_F(HotRestartTest, ListensAgainAfterAFailure) {
    ASSERT_EQ(rmdir(folder_.c_str()), 0);
    auto& old_process = start();
    old_process.excluded = {"m"};
    EXPECT_TRUE(old_process.is_serving);
    ASSERT_EQ(mkdir(folder_.c_str(), 0700), 0);
    ASSERT_TRUE(run_until([&] { return access(path().c_str(), F_OK) == 0; }));
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving; }));
    EXPECT_EQ(new_process.excluded.count("m"), 1U);
}

// One accept that failed for want of descriptors kept every later process from finding this one.
TEST_F(HotRestartTest, AcceptsAgainAfterAFailure) {
    auto& old_process = start();
    old_process.excluded = {"m"};
    const int connecting = socket(AF_UNIX, SOCK_STREAM, 0);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit none_left{0, limit.rlim_max};
    const auto address = address_of_path();
    ASSERT_EQ(connect(connecting, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    setrlimit(RLIMIT_NOFILE, &none_left);
    old_process.run_once();
    setrlimit(RLIMIT_NOFILE, &limit);
    close(connecting);
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving; }));
    EXPECT_EQ(new_process.excluded.count("m"), 1U);
}

// An id that was open at one process could be executed at the other one, too.
TEST_F(HotRestartTest, TheOtherProcessLearnsOpenRequestIds) {
    constexpr std::uint64_t kOpenIds = 5'000;
    auto& old_process = start();
    for (std::uint64_t id = 1; id <= kOpenIds; ++id) old_process.open_ids.push_back(id);
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving; }));
    ASSERT_TRUE(run_until([&] { return new_process.reported_ids.size() == kOpenIds; }));
    new_process.hot_restart().send_request_id(kOpenIds + 1);
    old_process.hot_restart().send_request_id(kOpenIds + 2);
    ASSERT_TRUE(run_until([&] { return new_process.reported_ids.count(kOpenIds + 2) > 0; }));
    ASSERT_TRUE(run_until([&] { return old_process.reported_ids.count(kOpenIds + 1) > 0; }));
}

// A CancelRequest may be accepted by the process that does not have the session.
TEST_F(HotRestartTest, ACancelRequestReachesTheOtherProcess) {
    auto& old_process = start();
    auto& new_process = start();
    ASSERT_TRUE(run_until([&] { return new_process.is_serving && new_process.reports_are_complete; }));
    new_process.hot_restart().send_cancel_request({1, 2});
    ASSERT_TRUE(run_until([&] { return !old_process.cancelled.empty(); }));
    EXPECT_EQ(old_process.cancelled[0], 2U);
}

}  // namespace
