// A client sends three reads at once on its connection. The proxy reads and forwards all of them. An endpoint
// breaks off its large answer to the first one, which the proxy has begun to pass on, and the proxy closes
// the client's connection. The other two reads, which their endpoints have answered, get no answer.
#include "standins.h"

using namespace standins;

namespace {

constexpr int kDeadlineMs = 750;
constexpr std::size_t kLargeValue = 512 * 1024;
constexpr std::size_t kSentBeforeReset = 200 * 1024;
constexpr Micros kSmallWork = 20 * kMillisecond;
constexpr int kRounds = 10;

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = case_arguments(argc, argv);
    Record record(arguments.record);

    std::mutex answered_mutex;
    std::map<std::string, int> answered;  // by the read's id: whole answers of endpoints
    const auto serve = [&](const char* name, bool is_primary) {
        return [&, name, is_primary](Socket& socket, const Query& query) {
            const Status status{is_primary, now_us() / kMillisecond};
            if (query.text.find("'large") == std::string::npos) {
                sleep_us(kSmallWork);
                record.line("%s: answers %s", name, query.id.c_str());
                {
                    const std::lock_guard<std::mutex> lock(answered_mutex);
                    ++answered[query.id];
                }
                return socket.write(value_answer("small " + query.id, status));
            }
            const auto answer = value_answer(std::string(kLargeValue, 'v'), status);
            if (!arguments.with_trouble) return socket.write(answer);
            if (!socket.write(std::string_view(answer).substr(0, kSentBeforeReset))) return false;
            sleep_us(150 * kMillisecond);
            record.line("%s: resets the connection in the middle of the answer to %s", name,
                        query.id.c_str());
            socket.reset();
            return false;
        };
    };
    Member primary("primary", serve("primary", true));
    Member replica("replica", serve("replica", false));
    Discovery discovery({{"s-00000001", primary.port(), "a", "in_service", "primary"},
                         {"s-00000002", replica.port(), "b", "in_service", "replica"}});

    SiteSettings site;
    site.checks = "await";
    site.second_copies = true;
    site.classes = {{"hours-report", "read_like", "eventual", kDeadlineMs, 250}};
    ProxyOptions options;
    options.settings = json_of(site);
    Proxy proxy(arguments.folder, options, discovery.port());
    proxy.start();

    int lost = 0;
    int served = 0;
    for (int round = 0; round < kRounds; ++round) {
        Client client(proxy.port());
        if (!client.is_connected() || !client.start()) cannot_run("no session");
        const std::vector<std::pair<std::string, std::string>> reads = {
            {next_id(), "large"}, {next_id(), "small-1"}, {next_id(), "small-2"}};
        std::string bytes;
        for (const auto& [id, row] : reads)
            bytes +=
                message('Q', text_bytes(select_statement(row, id, {"hours-report", kDeadlineMs, 1, ""})));
        record.line("client: sends %s, %s and %s at once", reads[0].first.c_str(), reads[1].first.c_str(),
                    reads[2].first.c_str());
        if (!client.socket().write(bytes)) cannot_run("the client's connection has ended");
        bool is_closed = false;
        for (std::size_t number = 0; number < reads.size(); ++number) {
            const auto& id = reads[number].first;
            Answer answer{AnswerKind::closed, {}, {}, {}, now_us()};
            if (!is_closed) answer = client.read_answer(now_us() + 3 * kSecond);
            is_closed = is_closed || answer.kind == AnswerKind::closed;
            record.line("client: %s: %s", id.c_str(), name_of(answer.kind));
            if (answer.kind == AnswerKind::served) ++served;
            // The first value cannot be finished through no fault of the proxy: it has failed and is not
            // lost.
            if (number == 0) continue;
            sleep_us(50 * kMillisecond);
            const std::lock_guard<std::mutex> lock(answered_mutex);
            const bool was_read_by_proxy = answered[id] > 0;
            if ((answer.kind == AnswerKind::closed || answer.kind == AnswerKind::none) && was_read_by_proxy) {
                ++lost;
                record.line("client: %s is lost: the proxy had forwarded it, and its endpoint had answered",
                            id.c_str());
            }
        }
    }
    finish(proxy, record, lost > 0,
           std::to_string(lost) + " of " + std::to_string(2 * kRounds) +
               " reads behind the broken one lost, " + std::to_string(served) + " answers served");
}
