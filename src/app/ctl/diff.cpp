// sloestackctl pcap diff: compares the conversations of two capture files, matching requests by id.
#include <cstdio>
#include <iostream>
#include <unordered_map>
#include <unordered_set>

#include "ctl/play.h"

namespace sloestack::ctl {
namespace {

using conversation::Cause;
using conversation::Kind;
using conversation::ResponseEvent;

constexpr std::size_t kMaxListedDifferences = 1000;

struct Exchange {
    conversation::Digest request;
    std::string request_class, key;
    bool repeat = false;
    std::optional<conversation::Digest> greeting;  // of the connection; set on its first request only
    ResponseEvent answer;
};

// All requests of one file, keyed by "id", or "id#2" and so on if the id occurs again. Requests without an id
// are numbered in the same way, in file order.
struct RequestTable final : conversation::Listener {
    std::unordered_map<std::string, Exchange> exchanges;
    std::vector<std::string> request_order;
    std::unordered_map<std::string, int> occurrences;
    std::unordered_map<std::uint64_t, conversation::Digest> greetings;
    std::unordered_map<std::uint64_t, std::string> first_request;
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint32_t, std::string>> pending_requests;

    void greeted(conversation::ConnectionId c, conversation::Time, const conversation::Digest& d) override {
        greetings[c] = d;
        // A client may send a request before the server's greeting arrives.
        if (const auto first = first_request.find(c); first != first_request.end())
            exchanges[first->second].greeting = d;
    }
    void asked(const conversation::RequestEvent& a) override {
        auto name = a.id.empty() ? "(no id)" : std::string(a.id);
        if (const int n = ++occurrences[name]; n > 1) name += "#" + std::to_string(n);
        auto& e = exchanges[name];
        e.request = conversation::digest_of(a.bytes);
        e.request_class = a.request_class;
        e.key = a.key;
        e.repeat = a.repeat;
        if (first_request.emplace(a.connection, name).second)
            if (const auto greeting = greetings.find(a.connection); greeting != greetings.end())
                e.greeting = greeting->second;
        pending_requests[a.connection][a.number] = name;
        request_order.push_back(name);
    }
    void answered(const ResponseEvent& a) override {
        auto& of = pending_requests[a.connection];
        const auto name = of.find(a.number);
        if (name == of.end()) return;
        exchanges[name->second].answer = a;
        of.erase(name);
    }
    void closed(conversation::ConnectionId c, conversation::Time) override {
        pending_requests.erase(c);
        greetings.erase(c);
        first_request.erase(c);
    }
};

struct Difference {
    std::string id, request_class, what;
    Cause cause = Cause::none;
};

void read_capture(const std::string& path, const conversation::Language& language,
                  const conversation::RecordingSettings& settings, RequestTable& table,
                  nlohmann::json& figures) {
    conversation::Recording recording(path, language, settings, table);
    while (recording.step()) {
    }
    figures = to_json(recording.figures(), recording.fault());
}

struct Counts {
    // `without_response`: the first file has no response to compare with.
    std::uint64_t same = 0, without_response = 0;
};

// A request that only the second file has counts as a retry if it is marked as one, if the first file has a
// request with the same idempotency key, or if its id occurred earlier in the second file.
std::vector<Difference> find_differences(const RequestTable& before, const RequestTable& after,
                                         Counts& counts) {
    std::vector<Difference> out;
    std::unordered_set<std::string> first_file_keys;
    for (const auto& [name, e] : before.exchanges)
        if (!e.key.empty()) first_file_keys.insert(e.key);
    for (const auto& name : before.request_order) {
        const auto& a = before.exchanges.at(name);
        const auto match = after.exchanges.find(name);
        if (match == after.exchanges.end()) {
            out.push_back({name, a.request_class, "asked before and not after", Cause::none});
            continue;
        }
        const auto& b = match->second;
        if (a.request != b.request) {
            out.push_back({name, a.request_class, "asked in other words", Cause::none});
        } else if (a.greeting && b.greeting && *a.greeting != *b.greeting) {
            out.push_back({name, a.request_class, "greeted otherwise", Cause::none});
        } else if (a.answer.kind == Kind::none) {
            ++counts.without_response;
        } else if (const auto verdict = conversation::compare(a.answer, b.answer); !verdict.same) {
            out.push_back({name, a.request_class, verdict.what, verdict.cause});
        } else {
            ++counts.same;
        }
    }
    for (const auto& name : after.request_order) {
        if (before.exchanges.count(name)) continue;
        const auto& b = after.exchanges.at(name);
        const bool is_retry = b.repeat || (!b.key.empty() && first_file_keys.count(b.key)) ||
                              name.find('#') != std::string::npos;
        out.push_back({name, b.request_class, is_retry ? "asked again after" : "asked after and not before",
                       is_retry ? Cause::retried : Cause::none});
    }
    return out;
}

}  // namespace

int pcap_diff(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl pcap diff",
        "Compares the request and response bytes of two captures, request by request. Exits with code 1 "
        "if a difference is not caused by a decision of the proxy.");
    options.add_options()("json", "print the report as JSON")(
        "server", "only streams to these addresses, separated by commas", cxxopts::value<std::string>())(
        "vlans-apart", "treat equal addresses on different VLANs as different streams")(
        "dialect", "postgres or tds", cxxopts::value<std::string>()->default_value("postgres"));
    const auto parsed = parse(options, arguments, {"before", "after"});
    if (!parsed) return kSuccess;
    auto settings = recording_settings(*parsed);
    RequestTable before, after;
    nlohmann::json first, second;
    const auto& language = conversation::language((*parsed)["dialect"].as<std::string>());
    read_capture(required(*parsed, "before"), language, settings, before, first);
    // The two captures may have been taken against different server addresses.
    settings.servers.clear();
    read_capture(required(*parsed, "after"), language, settings, after, second);
    Counts counts;
    std::uint64_t unexplained = 0;
    const auto differences = find_differences(before, after, counts);
    std::map<std::string, std::uint64_t> causes;
    nlohmann::json listed = nlohmann::json::array();
    for (const auto& d : differences) {
        ++causes[conversation::to_text(d.cause)];
        if (d.cause == Cause::none) ++unexplained;
        if (listed.size() < kMaxListedDifferences)
            listed.push_back({{"id", d.id},
                              {"class", d.request_class},
                              {"what", d.what},
                              {"cause", conversation::to_text(d.cause)}});
    }
    if (parsed->count("json")) {
        std::cout << nlohmann::json{{"same", counts.same},
                                    {"without_answer_before", counts.without_response},
                                    {"different", differences.size()},
                                    {"unexplained", unexplained},
                                    {"causes", causes},
                                    {"differences", listed},
                                    {"before", first},
                                    {"after", second}}
                         .dump(2)
                  << "\n";
    } else {
        std::printf("%llu identical, %zu different\n", static_cast<unsigned long long>(counts.same),
                    differences.size());
        if (counts.without_response)
            std::printf("%llu not compared: no response in the first file\n",
                        static_cast<unsigned long long>(counts.without_response));
        for (const auto& [cause, count] : causes)
            std::printf("  %-10s %llu\n", cause == "none" ? "unexplained" : cause.c_str(),
                        static_cast<unsigned long long>(count));
        for (const auto& d : listed)
            std::printf("%s %s: %s (%s)\n", d["id"].get<std::string>().c_str(),
                        d["class"].get<std::string>().c_str(), d["what"].get<std::string>().c_str(),
                        d["cause"].get<std::string>().c_str());
    }
    return unexplained == 0 ? kSuccess : kProblemsFound;
}

}  // namespace sloestack::ctl
