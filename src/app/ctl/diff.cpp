// sloestackctl pcap diff: the conversations of two files, request by request, by their ids.
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

constexpr std::size_t kMostNamed = 1000;

struct Exchange {
    conversation::Digest request;
    std::string request_class, key;
    bool repeat = false;
    std::optional<conversation::Digest> greeting;  // of its connection, on the first request of it
    ResponseEvent answer;
};

// All requests of one file under "id" or, where it comes again, "id#2"; those without an id by their place.
struct Table final : conversation::Listener {
    std::unordered_map<std::string, Exchange> exchanges;
    std::vector<std::string> order;
    std::unordered_map<std::string, int> seen;
    std::unordered_map<std::uint64_t, conversation::Digest> greetings;
    std::unordered_map<std::uint64_t, std::string> connection_first;
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint32_t, std::string>> open;

    void greeted(conversation::ConnectionId c, conversation::Time, const conversation::Digest& d) override {
        greetings[c] = d;
        // A client may ask right behind its start-up packet.
        if (const auto first = connection_first.find(c); first != connection_first.end())
            exchanges[first->second].greeting = d;
    }
    void asked(const conversation::RequestEvent& a) override {
        auto name = a.id.empty() ? "(no id)" : std::string(a.id);
        if (const int n = ++seen[name]; n > 1) name += "#" + std::to_string(n);
        auto& e = exchanges[name];
        e.request = conversation::digest_of(a.bytes);
        e.request_class = a.request_class;
        e.key = a.key;
        e.repeat = a.repeat;
        if (connection_first.emplace(a.connection, name).second)
            if (const auto greeting = greetings.find(a.connection); greeting != greetings.end())
                e.greeting = greeting->second;
        open[a.connection][a.number] = name;
        order.push_back(name);
    }
    void answered(const ResponseEvent& a) override {
        auto& of = open[a.connection];
        const auto name = of.find(a.number);
        if (name == of.end()) return;
        exchanges[name->second].answer = a;
        of.erase(name);
    }
    void closed(conversation::ConnectionId c, conversation::Time) override {
        open.erase(c);
        greetings.erase(c);
        connection_first.erase(c);
    }
};

struct Difference {
    std::string id, request_class, what;
    Cause cause = Cause::none;
};

void read(const std::string& path, const conversation::Language& language,
          const conversation::RecordingSettings& settings, Table& table, nlohmann::json& figures) {
    conversation::Recording recording(path, language, settings, table);
    while (recording.step()) {
    }
    figures = to_json(recording.figures(), recording.fault());
}

// A request that only the second file has is a repeat by its client where it says so, or where its key was
// asked before.
struct Counts {
    std::uint64_t same = 0, without_answer = 0;  // the latter in the first file: nothing to compare with
};

std::vector<Difference> differences(const Table& before, const Table& after, Counts& counts) {
    std::vector<Difference> out;
    std::unordered_set<std::string> keys;
    for (const auto& [name, e] : before.exchanges)
        if (!e.key.empty()) keys.insert(e.key);
    for (const auto& name : before.order) {
        const auto& a = before.exchanges.at(name);
        const auto found = after.exchanges.find(name);
        if (found == after.exchanges.end()) {
            out.push_back({name, a.request_class, "asked before and not after", Cause::none});
            continue;
        }
        const auto& b = found->second;
        if (a.request != b.request) {
            out.push_back({name, a.request_class, "asked in other words", Cause::none});
        } else if (a.greeting && b.greeting && *a.greeting != *b.greeting) {
            out.push_back({name, a.request_class, "greeted otherwise", Cause::none});
        } else if (a.answer.kind == Kind::none) {
            ++counts.without_answer;
        } else if (const auto verdict = conversation::compare(a.answer, b.answer); !verdict.same) {
            out.push_back({name, a.request_class, verdict.what, verdict.cause});
        } else {
            ++counts.same;
        }
    }
    for (const auto& name : after.order) {
        if (before.exchanges.count(name)) continue;
        const auto& b = after.exchanges.at(name);
        const bool again =
            b.repeat || (!b.key.empty() && keys.count(b.key)) || name.find('#') != std::string::npos;
        out.push_back({name, b.request_class, again ? "asked again after" : "asked after and not before",
                       again ? Cause::retried : Cause::none});
    }
    return out;
}

}  // namespace

int pcap_diff(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl pcap diff",
        "Compares two captures request by request: the bytes asked and those answered. Exit code 1 "
        "where a difference has no decision of a proxy as its cause.");
    options.add_options()("json", "report as JSON")("server", "only streams to these, separated by commas",
                                                    cxxopts::value<std::string>())(
        "vlans-apart", "equal addresses on two VLANs are two streams")(
        "dialect", "postgres or tds", cxxopts::value<std::string>()->default_value("postgres"));
    const auto parsed = parse(options, arguments, {"before", "after"});
    if (!parsed) return kGood;
    auto settings = recording_settings(*parsed);
    Table before, after;
    nlohmann::json first, second;
    const auto& language = conversation::language((*parsed)["dialect"].as<std::string>());
    read(required(*parsed, "before"), language, settings, before, first);
    // The addresses of the one file say nothing of the other's.
    settings.servers.clear();
    read(required(*parsed, "after"), language, settings, after, second);
    Counts counts;
    std::uint64_t unexplained = 0;
    const auto found = differences(before, after, counts);
    std::map<std::string, std::uint64_t> causes;
    nlohmann::json named = nlohmann::json::array();
    for (const auto& d : found) {
        ++causes[conversation::to_text(d.cause)];
        if (d.cause == Cause::none) ++unexplained;
        if (named.size() < kMostNamed)
            named.push_back({{"id", d.id},
                             {"class", d.request_class},
                             {"what", d.what},
                             {"cause", conversation::to_text(d.cause)}});
    }
    if (parsed->count("json")) {
        std::cout
            << nlohmann::json{{"same", counts.same},       {"without_answer_before", counts.without_answer},
                              {"different", found.size()}, {"unexplained", unexplained},
                              {"causes", causes},          {"differences", named},
                              {"before", first},           {"after", second}}
                   .dump(2)
            << "\n";
    } else {
        std::printf("%llu the same, %zu different\n", static_cast<unsigned long long>(counts.same),
                    found.size());
        if (counts.without_answer)
            std::printf("%llu without an answer in the first file: nothing to compare with\n",
                        static_cast<unsigned long long>(counts.without_answer));
        for (const auto& [cause, count] : causes)
            std::printf("  %-10s %llu\n", cause == "none" ? "no cause" : cause.c_str(),
                        static_cast<unsigned long long>(count));
        for (const auto& d : named)
            std::printf("%s %s: %s (%s)\n", d["id"].get<std::string>().c_str(),
                        d["class"].get<std::string>().c_str(), d["what"].get<std::string>().c_str(),
                        d["cause"].get<std::string>().c_str());
    }
    return unexplained == 0 ? kGood : kFound;
}

}  // namespace sloestack::ctl
