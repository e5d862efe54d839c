// sloestackctl pcap make, info and replay.
#include <unistd.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "ctl/play.h"
#include "emulator/make.h"

namespace sloestack::ctl {
namespace {

constexpr std::size_t kTruncatedBytes = 7;  // bytes removed from the end of the file for the fault "truncate"

std::vector<std::string> split(const std::string& text, char at) {
    std::vector<std::string> out;
    for (std::size_t from = 0; from <= text.size();) {
        const auto end = std::min(text.find(at, from), text.size());
        out.push_back(text.substr(from, end - from));
        from = end + 1;
    }
    return out;
}

double parse_number(const std::string& text, const std::string& option) {
    double out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(out))
        throw UsageError("--" + option + ": \"" + text + "\" is not a number");
    return out;
}

sockaddr_in parse_address(const std::string& text, const std::string& option) {
    const auto at = net::parse_address(text);
    if (!at) throw UsageError("--" + option + ": \"" + text + "\" is not an address such as 127.0.0.1:6432");
    return *at;
}

schedule::Stretch parse_stretch(const std::string& text) {
    const auto parts = split(text, ':');
    if (parts.size() != 3)
        throw UsageError(
            "--stretch: must be FROM:TO:FACTOR, with times in seconds of the capture, such as 30:60:0.5");
    return {static_cast<Micros>(parse_number(parts[0], "stretch") * 1e6),
            static_cast<Micros>(parse_number(parts[1], "stretch") * 1e6), parse_number(parts[2], "stretch")};
}

}  // namespace

int pcap_make(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl pcap make",
                             "Generates a capture file with traffic of all request classes.");
    options.add_options()("minutes", "length of the capture", cxxopts::value<double>()->default_value("1"))(
        "rate", "requests per second", cxxopts::value<double>()->default_value("200"))(
        "dialect", "postgres or tds", cxxopts::value<std::string>()->default_value("postgres"))(
        "seed", "random seed; equal seeds produce equal files",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "groups", "number of replica groups that requests address",
        cxxopts::value<int>()->default_value("2"))("clients", "minimum number of simultaneous connections",
                                                   cxxopts::value<std::size_t>()->default_value("0"))(
        "faults",
        "faults, each applied to a connection of its own, separated by commas; NAME*N for N connections: " +
            emulator::damage_names(),
        cxxopts::value<std::string>()->default_value(""))("o,output", "path of the capture file to write",
                                                          cxxopts::value<std::string>())(
        "json", "print the report as JSON");
    const auto parsed = parse(options, arguments, {});
    if (!parsed) return kSuccess;
    emulator::MakeSettings settings;
    const auto minutes = (*parsed)["minutes"].as<double>();
    settings.rate = (*parsed)["rate"].as<double>();
    settings.groups = (*parsed)["groups"].as<int>();
    if (!(minutes > 0 && minutes <= 1440)) throw UsageError("--minutes must be above 0 and at most 1440");
    if (!(settings.rate > 0 && settings.rate <= 100'000))
        throw UsageError("--rate must be above 0 and at most 100000");
    if (settings.groups < 1 || settings.groups > 1000)
        throw UsageError("--groups must be between 1 and 1000");
    settings.clients = (*parsed)["clients"].as<std::size_t>();
    if (settings.clients > 40'000)
        throw UsageError("--clients must be at most 40000: all clients of a capture share one address");
    settings.length_us = static_cast<std::int64_t>(minutes * 60e6);
    settings.seed = (*parsed)["seed"].as<std::uint64_t>();
    settings.dialect = (*parsed)["dialect"].as<std::string>();
    conversation::language(settings.dialect);  // throws on an unknown dialect before the file is created
    settings.damage = emulator::parse_damage((*parsed)["faults"].as<std::string>());
    const auto path = required(*parsed, "output");
    pcap::File file(path);
    const auto made = emulator::make(settings, file);
    file.close();
    if (std::find(settings.damage.begin(), settings.damage.end(), emulator::Damage::truncate) !=
        settings.damage.end())
        std::filesystem::resize_file(path, std::filesystem::file_size(path) - kTruncatedBytes);
    if (!made.unapplied_damage.empty())
        throw UsageError(
            std::to_string(made.unapplied_damage.size()) +
            " faults were not applied because there were too few connections; the file was written "
            "without them. Use more --minutes or a higher --rate to get more connections");
    if (parsed->count("json"))
        std::cout << nlohmann::json{{"file", path},
                                    {"packets", file.frames()},
                                    {"requests", made.requests},
                                    {"connections", made.connections}}
                         .dump(2)
                  << "\n";
    else
        std::cout << path << ": " << file.frames() << " packets, " << made.requests << " requests on "
                  << made.connections << " connections\n";
    return kSuccess;
}

// ---- info ----
conversation::RecordingSettings recording_settings(const cxxopts::ParseResult& parsed) {
    conversation::RecordingSettings out;
    if (parsed.count("server"))
        for (const auto& text : split(parsed["server"].as<std::string>(), ','))
            out.servers.push_back(pcap::endpoint_of(parse_address(text, "server")));
    out.streams.vlans_apart = parsed.count("vlans-apart") > 0;
    return out;
}

nlohmann::json to_json(const conversation::Figures& f, const std::string& fault) {
    nlohmann::json cut = nlohmann::json::array();
    for (const auto& c : f.cut)
        cut.push_back({{"stream", c.stream},
                       {"side", c.side == conversation::Side::client ? "client" : "server"},
                       {"offset", c.offset},
                       {"reason", c.reason}});
    nlohmann::json out = {{"packets", f.packets},
                          {"bytes", f.bytes},
                          {"streams", f.streams},
                          {"requests", f.requests_by_class},
                          {"answers", f.answers},
                          {"cut", cut},
                          {"cuts", f.cuts},
                          {"backwards", f.backwards},
                          {"farthest_back_us", f.farthest_back_us},
                          {"skipped", f.skipped},
                          {"servers", f.servers},
                          {"ends", f.ends},
                          {"doubled_ids", f.doubled_ids},
                          {"tcp",
                           {{"retransmitted", f.tcp.retransmitted},
                            {"conflicting", f.tcp.conflicting},
                            {"uncompared", f.tcp.uncompared},
                            {"out_of_order", f.tcp.out_of_order},
                            {"half_open", f.tcp.half_open},
                            {"two_vlans", f.tcp.two_vlans},
                            {"stray", f.tcp.stray}}}};
    if (f.first_us) {
        out["first_us"] = *f.first_us;
        out["seconds"] = static_cast<double>(*f.last_us - *f.first_us) / 1e6;
    }
    if (!fault.empty()) out["fault"] = fault;
    return out;
}

namespace {

struct IgnoringListener final : conversation::Listener {
    void asked(const conversation::RequestEvent&) override {}
    void answered(const conversation::ResponseEvent&) override {}
};

void print(const conversation::Figures& f, const std::string& fault) {
    const auto table = [](const char* title, const auto& rows) {
        if (rows.empty()) return;
        std::printf("%s\n", title);
        for (const auto& [name, count] : rows)
            std::printf("  %-52s %12llu\n", name.c_str(), static_cast<unsigned long long>(count));
    };
    std::printf("%llu packets, %llu streams, %llu requests in %.1f s\n",
                static_cast<unsigned long long>(f.packets), static_cast<unsigned long long>(f.streams),
                static_cast<unsigned long long>(f.requests),
                f.first_us ? static_cast<double>(*f.last_us - *f.first_us) / 1e6 : 0.0);
    table("requests by class", f.requests_by_class);
    table("responses", f.answers);
    table("servers (select some with --server)", f.servers);
    table("skipped", f.skipped);
    if (f.backwards)
        std::printf("timestamps that go backwards: %llu, by %lld us at most\n",
                    static_cast<unsigned long long>(f.backwards), static_cast<long long>(f.farthest_back_us));
    if (f.tcp.conflicting)
        std::printf("retransmissions with different bytes: %llu; the bytes sent first are used\n",
                    static_cast<unsigned long long>(f.tcp.conflicting));
    for (const auto& c : f.cut)
        std::printf("unreadable: %s, %s side from byte %llu: %s\n", c.stream.c_str(),
                    c.side == conversation::Side::client ? "client" : "server",
                    static_cast<unsigned long long>(c.offset), c.reason.c_str());
    if (!fault.empty()) std::printf("the file ends early: %s\n", fault.c_str());
}

}  // namespace

int pcap_info(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl pcap info",
                             "Summarizes a capture file. Exits with code 1 if part of it cannot be read.");
    options.add_options()("json", "print the report as JSON")(
        "dialect", "postgres or tds", cxxopts::value<std::string>()->default_value("postgres"))(
        "server", "only streams to these addresses, separated by commas, such as 10.0.0.4:5433",
        cxxopts::value<std::string>())("vlans-apart",
                                       "treat equal addresses on different VLANs as different streams");
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kSuccess;
    IgnoringListener listener;
    conversation::Recording recording(required(*parsed, "file"),
                                      conversation::language((*parsed)["dialect"].as<std::string>()),
                                      recording_settings(*parsed), listener);
    while (recording.step()) {
    }
    const auto& f = recording.figures();
    if (parsed->count("json"))
        std::cout << to_json(f, recording.fault()).dump(2) << "\n";
    else
        print(f, recording.fault());
    return f.cuts > 0 || !recording.fault().empty() ? kProblemsFound : kSuccess;
}

// ---- replay ----
void add_play_options(cxxopts::Options& options) {
    options.add_options()("speed", "replay speed; 2 takes half the time",
                          cxxopts::value<double>()->default_value("1"))(
        "rate-cap", "maximum requests per second; 0: as recorded",
        cxxopts::value<double>()->default_value("0"))(
        "stretch",
        "FROM:TO:FACTOR: the range FROM to TO, in seconds of the capture, takes FACTOR times as long",
        cxxopts::value<std::string>())(
        "rounds", "number of times to replay the capture; ids and keys are replaced from the second round on",
        cxxopts::value<int>()->default_value("1"))("seed", "random seed of the new ids",
                                                   cxxopts::value<std::uint64_t>()->default_value("1"))(
        "backwards", "clamp or sort: how to handle timestamps that go backwards",
        cxxopts::value<std::string>()->default_value("clamp"))(
        "sort-window", "seconds of the capture over which sort reorders",
        cxxopts::value<double>()->default_value("2"))("late", "send or skip: how to handle late requests",
                                                      cxxopts::value<std::string>()->default_value("send"))(
        "late-after", "delay in milliseconds from which a request counts as late",
        cxxopts::value<double>()->default_value("100"))(
        "most-open", "maximum number of requests in flight",
        cxxopts::value<std::size_t>()->default_value("50000"))(
        "server", "only streams to these addresses, separated by commas, such as 10.0.0.4:5433",
        cxxopts::value<std::string>())("vlans-apart",
                                       "treat equal addresses on different VLANs as different streams")(
        "write", "write both directions of the replay to this capture file", cxxopts::value<std::string>())(
        "json", "print the report as JSON");
}

replay::Settings play_settings(const cxxopts::ParseResult& parsed, const std::string& path) {
    replay::Settings out;
    out.path = path;
    auto& s = out.schedule;
    s.speed = parsed["speed"].as<double>();
    s.max_requests_per_second = parsed["rate-cap"].as<double>();
    if (parsed.count("stretch")) s.stretch = parse_stretch(parsed["stretch"].as<std::string>());
    s.rounds = parsed["rounds"].as<int>();
    s.seed = parsed["seed"].as<std::uint64_t>();
    s.max_open_requests = parsed["most-open"].as<std::size_t>();
    const auto is_first_choice = [&](const char* option, const char* one, const char* other) {
        const auto value = parsed[option].as<std::string>();
        if (value != one && value != other)
            throw UsageError(std::string("--") + option + ": " + one + " or " + other + " expected, not \"" +
                             value + "\"");
        return value == one;
    };
    s.backwards = is_first_choice("backwards", "clamp", "sort") ? schedule::Backwards::clamp
                                                                : schedule::Backwards::sort;
    s.late = is_first_choice("late", "send", "skip") ? schedule::Late::send : schedule::Late::skip;
    s.sort_window = static_cast<Micros>(parsed["sort-window"].as<double>() * 1e6);
    s.late_after = static_cast<Micros>(parsed["late-after"].as<double>() * 1e3);
    out.recording = recording_settings(parsed);
    return out;
}

Output::Output(const cxxopts::ParseResult& parsed) {
    if (!parsed.count("write")) return;
    file_ = std::make_unique<pcap::File>(parsed["write"].as<std::string>());
    writer_ = std::make_unique<writer::Writer>(writer::Settings{}, *file_);
}

void Output::close() {
    if (file_) file_->close();
}

nlohmann::json quantiles(const histogram::Histogram& h) {
    return {{"count", h.count()}, {"p50", h.quantile(0.5)}, {"p99", h.quantile(0.99)}, {"most", h.max()}};
}

nlohmann::json to_json(const replay::Report& r, const schedule::Counters& c) {
    nlohmann::json differences = nlohmann::json::array(), classes = nlohmann::json::object();
    for (const auto& d : r.named)
        differences.push_back({{"stream", d.connection},
                               {"number", d.number},
                               {"round", d.round},
                               {"id", d.id},
                               {"class", d.request_class},
                               {"what", d.what},
                               {"cause", conversation::to_text(d.cause)}});
    for (const auto& [name, k] : r.classes)
        classes[name] = {{"sent", k.sent},     {"served", k.served}, {"refused", k.refused},
                         {"failed", k.failed}, {"none", k.none},     {"latency_us", quantiles(k.latency_us)}};
    return {{"sent", r.sent},
            {"answers", r.answers},
            {"same", r.same},
            {"different", r.different},
            {"unexplained", r.unexplained},
            {"causes", r.causes},
            {"without_recorded_answer", r.unrecorded},
            {"differences", differences},
            {"skipped", r.skipped},
            {"classes", classes},
            {"connections", r.connections},
            {"broken", r.broken},
            {"resent", r.resent},
            {"late_us", quantiles(r.late_us)},
            {"own_late_us", quantiles(r.own_late_us)},
            {"late", c.late},
            {"backwards", c.backwards},
            {"held",
             {{"order", c.held_by_order},
              {"id", c.held_by_id},
              {"budget", c.held_by_budget},
              {"rate", c.held_by_rate}}}};
}

bool is_explained(const replay::Report& report) { return report.unexplained == 0; }

void print(const replay::Report& r, const schedule::Counters& c) {
    std::printf("%-14s %9s %9s %9s %9s %9s %9s %9s\n", "class", "sent", "served", "refused", "failed", "none",
                "p50 ms", "p99 ms");
    for (const auto& [name, k] : r.classes)
        std::printf("%-14s %9llu %9llu %9llu %9llu %9llu %9.1f %9.1f\n", name.c_str(),
                    static_cast<unsigned long long>(k.sent), static_cast<unsigned long long>(k.served),
                    static_cast<unsigned long long>(k.refused), static_cast<unsigned long long>(k.failed),
                    static_cast<unsigned long long>(k.none),
                    static_cast<double>(k.latency_us.quantile(0.5)) / 1e3,
                    static_cast<double>(k.latency_us.quantile(0.99)) / 1e3);
    std::printf("responses as recorded: %llu; different: %llu", static_cast<unsigned long long>(r.same),
                static_cast<unsigned long long>(r.different));
    for (const auto& [cause, count] : r.causes)
        std::printf(", %s %llu", cause == "none" ? "unexplained" : cause.c_str(),
                    static_cast<unsigned long long>(count));
    std::printf("; no recorded response: %llu\n", static_cast<unsigned long long>(r.unrecorded));
    for (const auto& [why, count] : r.skipped)
        std::printf("skipped: %llu, %s\n", static_cast<unsigned long long>(count), why.c_str());
    std::printf("delay of sends: p50 %lld us, p99 %lld us, %llu above the limit\n",
                static_cast<long long>(r.own_late_us.quantile(0.5)),
                static_cast<long long>(r.own_late_us.quantile(0.99)),
                static_cast<unsigned long long>(c.late));
    for (const auto& d : r.named)
        if (d.cause == conversation::Cause::none)
            std::printf("unexplained: stream %llu request %u, id %s: %s\n",
                        static_cast<unsigned long long>(d.connection), d.number, d.id.c_str(),
                        d.what.c_str());
}

int pcap_replay(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl pcap replay",
                             "Replays a capture against a proxy. Exits with code 1 if a response differs and "
                             "the difference is not "
                             "caused by a decision of the proxy.");
    options.add_options()("to", "address of the proxy", cxxopts::value<std::string>())(
        "dialect", "postgres or tds", cxxopts::value<std::string>()->default_value("postgres"));
    add_play_options(options);
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kSuccess;
    auto settings = play_settings(*parsed, required(*parsed, "file"));
    settings.to = parse_address(required(*parsed, "to"), "to");
    const Clock clock;
    net::Loop loop;
    Deadlines deadlines(clock);
    Output output(*parsed);
    replay::Replay run(loop, deadlines, settings,
                       conversation::language((*parsed)["dialect"].as<std::string>()),
                       deadlines.now() + kStartDelayUs, output.writer());
    while (!run.over()) {
        run.work();
        if (run.over()) break;
        const auto next = deadlines.next();
        loop.run_once(next ? std::optional<Micros>(*next - deadlines.now()) : std::nullopt);
        deadlines.run_due();
        loop.end_iteration();
    }
    output.close();
    if (parsed->count("json")) {
        auto report = to_json(run.report(), run.schedule().counters());
        report["file"] = to_json(run.file(), run.file_fault());
        std::cout << report.dump(2) << "\n";
    } else {
        print(run.report(), run.schedule().counters());
    }
    return is_explained(run.report()) ? kSuccess : kProblemsFound;
}

}  // namespace sloestack::ctl
