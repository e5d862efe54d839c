// Replicas apply the log slowly, and new connections to one endpoint of three come up late. The proxy chooses
// a replica for a bounded read by what it knows of the replica's position; the read then waits for a
// connection, and is sent when that position no longer meets the class's bound.
#include "standins.h"

using namespace standins;

namespace {

constexpr int kBoundMs = 200;                       // of the class roster-view
constexpr Micros kSocketSlack = 50 * kMillisecond;  // every time limit is 50 ms longer on sockets
constexpr int kDeadlineMs = 600;
constexpr Micros kWork = 60 * kMillisecond;           // 42 to 73 ms of work
constexpr Micros kLogDelay = 10 * kMillisecond;       // replicas get the log after 3.6 to 13 ms
constexpr double kSlowApplySpeed = 0.1;               // 10 times more slowly (4.8 to 15 times)
constexpr Micros kSlowFor = 10 * kSecond;             // for 10 to 23 s
constexpr Micros kQuiet = 10 * kSecond;               // between two such times: replicas catch up
constexpr Micros kConnectDelay = 225 * kMillisecond;  // connections come up late, up to 1.5 s
constexpr Micros kBurstAfter = 130 * kMillisecond;    // from the start of a slow time to a burst of reads
constexpr int kBurst = 24;
constexpr int kEpisodes = 5;

// The position of the replicas: a time up to which all commits are applied. Never goes back.
class Log {
public:
    Micros position() {
        const std::lock_guard<std::mutex> lock(mutex_);
        const Micros now = now_us();
        const Micros elapsed = now - std::exchange(updated_at_, now);
        // A replica that keeps up is busy for about half of the time, so it catches up at twice that speed.
        const double speed = is_slow_ ? kSlowApplySpeed : 2;
        position_ =
            std::min(now - kLogDelay, position_ + static_cast<Micros>(speed * static_cast<double>(elapsed)));
        return position_;
    }
    void set_slow(bool is_slow) {
        position();
        const std::lock_guard<std::mutex> lock(mutex_);
        is_slow_ = is_slow;
    }

private:
    std::mutex mutex_;
    Micros updated_at_ = now_us();
    Micros position_ = now_us() - kLogDelay;
    bool is_slow_ = false;
};

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = case_arguments(argc, argv);
    Record record(arguments.record);
    Log log;

    // By the read's id: how old the data was that it was answered from, when its last byte arrived.
    std::mutex ages_mutex;
    std::map<std::string, Micros> ages;
    const auto serve_as_replica = [&](const char* name) {
        return [&, name](Socket& socket, const Query& query) {
            if (query.text == "SHOW load") {
                char report[64];
                std::snprintf(report, sizeof report, "x0=%.6f,x1=0,inflight=1",
                              static_cast<double>(log.position()) / kSecond);
                return socket.write(value_answer(report, {false, 0}));
            }
            const Micros position = log.position();
            if (query.is_write())
                return socket.write(error_answer("25006", {false, position / kMillisecond}));
            const Micros age = query.arrived_at - position;
            if (tag_of(query.text, "c") == "roster-view") {
                const std::lock_guard<std::mutex> lock(ages_mutex);
                ages[query.id] = age;
                record.line("%s: %s arrived at %.1f, is answered from data %.1f ms old", name,
                            query.id.c_str(), record.ms(query.arrived_at), static_cast<double>(age) / 1000);
            }
            sleep_us(kWork);
            return socket.write(value_answer("row", {false, position / kMillisecond}));
        };
    };
    MemberOptions late;
    late.delay_greeting = [&](int) { return arguments.with_trouble ? kConnectDelay : 0; };
    Member primary("primary", [](Socket& socket, const Query& query) {
        if (query.text == "SHOW load") {
            char report[64];
            std::snprintf(report, sizeof report, "x0=%.6f,x1=1,inflight=1",
                          static_cast<double>(now_us()) / kSecond);
            return socket.write(value_answer(report, {true, 0}));
        }
        sleep_us(kWork);
        return socket.write(value_answer("row", {true, now_us() / kMillisecond}));
    });
    Member replica_1("replica-1", serve_as_replica("replica-1"), late);
    Member replica_2("replica-2", serve_as_replica("replica-2"));
    Discovery discovery({{"s-00000001", primary.port(), "a", "in_service", "primary"},
                         {"s-00000002", replica_1.port(), "a", "in_service", "replica"},
                         {"s-00000003", replica_2.port(), "a", "in_service", "replica"}});

    SiteSettings site;
    site.checks = "none";
    site.probes = true;
    site.second_copies = true;
    site.classes = {{"roster-view", "read_like", "lag_bound", kDeadlineMs, 250, 0, kBoundMs},
                    {"hours-report", "read_like", "eventual", 750, 250}};
    ProxyOptions options;
    options.settings = json_of(site);
    Proxy proxy(arguments.folder, options, discovery.port());
    proxy.start();

    std::atomic<int> served{0};
    std::atomic<int> stale{0};
    const auto ask = [&](const char* request_class, int deadline_ms, Client& client) {
        const auto id = next_id();
        const auto answer =
            client.ask(select_statement("row", id, {request_class, deadline_ms, 1, ""}), now_us() + kSecond);
        if (std::string(request_class) != "roster-view" || answer.kind != AnswerKind::served) return;
        ++served;
        const std::lock_guard<std::mutex> lock(ages_mutex);
        const auto age = ages.find(id);
        if (age == ages.end() || age->second <= kBoundMs * kMillisecond + kSocketSlack) return;
        ++stale;
        record.line("client: %s was served data %.1f ms old", id.c_str(),
                    static_cast<double>(age->second) / 1000);
    };

    // Other reads keep the proxy informed of the replicas' positions.
    std::atomic<bool> is_over{false};
    std::vector<std::thread> others;
    for (int number = 0; number < 2; ++number)
        others.emplace_back([&, number] {
            Client client(proxy.port());
            if (!client.is_connected() || !client.start()) return;
            sleep_us(number * 40 * kMillisecond);
            while (!is_over) {
                ask("hours-report", 750, client);
                sleep_us(20 * kMillisecond);
            }
        });

    for (int episode = 0; episode < kEpisodes; ++episode) {
        sleep_us(episode == 0 ? 2 * kSecond : kQuiet);
        std::vector<std::unique_ptr<Client>> clients;
        for (int number = 0; number < kBurst; ++number) {
            clients.push_back(std::make_unique<Client>(proxy.port()));
            if (!clients.back()->is_connected() || !clients.back()->start()) clients.pop_back();
        }
        if (arguments.with_trouble) {
            record.line("the replicas begin to apply the log 10 times more slowly");
            log.set_slow(true);
        }
        sleep_us(kBurstAfter);
        std::vector<std::thread> burst;
        for (auto& client : clients) burst.emplace_back([&] { ask("roster-view", kDeadlineMs, *client); });
        for (auto& thread : burst) thread.join();
        sleep_us(kSlowFor - kBurstAfter);
        if (arguments.with_trouble) record.line("the replicas apply the log at their usual speed again");
        log.set_slow(false);
    }
    is_over = true;
    for (auto& thread : others) thread.join();
    finish(proxy, record, stale > 0,
           std::to_string(stale) + " of " + std::to_string(served) + " bounded reads were served data over " +
               std::to_string(kBoundMs) + " ms old");
}
