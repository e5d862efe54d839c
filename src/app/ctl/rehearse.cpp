// sloestackctl pcap rehearse, demo and example-config.
#include <csignal>
#include <cstdio>
#include <iostream>

#include "ctl/emulated_fleet.h"
#include "ctl/play.h"
#include "emulator/load.h"
#include "emulator/settings.h"

namespace sloestack::ctl {
namespace {

void add_fleet_options(cxxopts::Options& options) {
    options.add_options()("banks", "number of replica groups", cxxopts::value<int>()->default_value("2"))(
        "members", "endpoints per replica group", cxxopts::value<int>()->default_value("3"))(
        "work", "MIN:MAX microseconds that a read takes on an endpoint",
        cxxopts::value<std::string>()->default_value("2000:6000"))(
        "script",
        "faults to inject, separated by commas: FAULT@SECOND:mGROUP.ENDPOINT/SECONDS, such as "
        "crash@10:m1.2/3, "
        "where FAULT is crash, stall, silent, drain, slow or spoil; restart@SECOND/SECONDS kills the proxy, "
        "lost@SECOND/SECONDS stops discovery",
        cxxopts::value<std::string>()->default_value(""))(
        "slack", "milliseconds added to each time limit of the checker; raise it on a busy machine",
        cxxopts::value<int>()->default_value("50"))("verbose", "print the proxy's log");
}

EmulatedFleetSettings emulated_fleet_settings(const cxxopts::ParseResult& parsed) {
    EmulatedFleetSettings out;
    auto& f = out.fleet;
    f.banks = parsed["banks"].as<int>();
    f.members = parsed["members"].as<int>();
    if (f.banks < 1 || f.banks > 100 || f.members < 1 || f.members > 20)
        throw UsageError("--banks must be between 1 and 100, --members between 1 and 20");
    const auto work = parsed["work"].as<std::string>();
    long long min_work = 0, max_work = 0;
    char trailing = 0;
    if (std::sscanf(work.c_str(), "%lld:%lld%c", &min_work, &max_work, &trailing) != 2 || min_work < 0 ||
        max_work < min_work || max_work > 10'000'000)
        throw UsageError("--work: must be MIN:MAX, in microseconds from 0 to 10000000, not \"" + work + "\"");
    f.least_work = min_work;
    f.most_work = max_work;
    f.script = emulator::parse_script(parsed["script"].as<std::string>(), f.banks, f.members);
    const auto slack = parsed["slack"].as<int>();
    if (slack < 0 || slack > 60'000) throw UsageError("--slack must be between 0 and 60000 milliseconds");
    out.rules.slack = slack * 1000;
    out.rules.drain_grace = 250'000 + out.rules.slack;
    out.verbose = parsed.count("verbose") > 0;
    return out;
}

volatile std::sig_atomic_t interrupted = 0;

}  // namespace

int pcap_rehearse(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl pcap rehearse",
        "Replays a capture against emulators and a proxy started for it. Exits with code 1 if a response "
        "differs and the difference is not caused by a decision of the proxy, or if a rule is violated.");
    add_play_options(options);
    add_fleet_options(options);
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kSuccess;
    auto settings = play_settings(*parsed, required(*parsed, "file"));
    const auto fleet_settings = emulated_fleet_settings(*parsed);
    // Reports an unreadable file before any process is started.
    { const pcap::Reader reader(settings.path); }
    Output output(*parsed);
    EmulatedFleet emulated_fleet(fleet_settings);
    settings.to = emulated_fleet.proxy();
    settings.checker = [&](const replay::Request& request, const conversation::ResponseEvent* answer) {
        if (request.id.empty()) return;
        emulator::Event e;
        e.what = answer ? emulator::What::answered : emulator::What::asked;
        e.at = emulated_fleet.deadlines().now();
        e.id = request.id;
        if (answer) {
            e.word = answer->kind == conversation::Kind::served ? "served"
                     : answer->kind == conversation::Kind::none ? "none"
                                                                : "failed";
            e.value = answer->digest.low;
        }
        emulated_fleet.checker().saw(e);
    };
    replay::Replay run(emulated_fleet.loop(), emulated_fleet.deadlines(), settings, conversation::postgres(),
                       emulated_fleet.deadlines().now() + kStartDelayUs, output.writer());
    emulated_fleet.run([&] { return run.over(); }, [&] { run.work(); });
    output.close();
    const auto resident = emulated_fleet.resident_kb();
    const bool restarted = std::any_of(fleet_settings.fleet.script.begin(), fleet_settings.fleet.script.end(),
                                       [](auto& f) { return f.trouble == emulator::Trouble::restart; });
    const bool stopped = emulated_fleet.stop_proxy();
    auto violations = emulated_fleet.checker().broken();
    // A killed proxy does not respond to the requests that it had in flight; all other rules still apply.
    if (restarted)
        violations.erase(
            std::remove_if(violations.begin(), violations.end(),
                           [](auto& b) { return b.find("never answered") != std::string::npos; }),
            violations.end());
    if (!stopped) violations.push_back("the proxy did not exit with status 0 on SIGTERM");
    if (parsed->count("json")) {
        auto report = to_json(run.report(), run.schedule().counters());
        report["file"] = to_json(run.file(), run.file_fault());
        report["rules_broken"] = violations;
        report["members"] = {{"ran", emulated_fleet.checker().ran()},
                             {"repeats", emulated_fleet.checker().repeats()},
                             {"attempts", emulated_fleet.fleet().attempts()},
                             {"probes", emulated_fleet.fleet().probes()}};
        report["proxy_resident_kb"] = resident;
        std::cout << report.dump(2) << "\n";
    } else {
        print(run.report(), run.schedule().counters());
        std::printf(
            "endpoints: %llu statements run, %llu attempts, %llu health checks; proxy memory: %.1f MB\n",
            static_cast<unsigned long long>(emulated_fleet.checker().ran()),
            static_cast<unsigned long long>(emulated_fleet.fleet().attempts()),
            static_cast<unsigned long long>(emulated_fleet.fleet().probes()),
            static_cast<double>(resident) / 1024);
        for (const auto& b : violations) std::printf("rule violated: %s\n", b.c_str());
    }
    return is_explained(run.report()) && violations.empty() ? kSuccess : kProblemsFound;
}

int demo(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl demo",
        "Starts emulators and a proxy on loopback and sends generated traffic through the proxy.");
    options.add_options()("seconds", "duration of the traffic",
                          cxxopts::value<double>()->default_value("10"))(
        "rate", "requests per second", cxxopts::value<double>()->default_value("300"))(
        "seed", "random seed of the traffic", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "stay", "keep the emulators and the proxy running until interrupted")("json",
                                                                              "print the report as JSON");
    add_fleet_options(options);
    const auto parsed = parse(options, arguments, {});
    if (!parsed) return kSuccess;
    const auto seconds = (*parsed)["seconds"].as<double>(), rate = (*parsed)["rate"].as<double>();
    if (!(seconds > 0 && seconds <= 86'400)) throw UsageError("--seconds must be above 0 and at most 86400");
    if (!(rate > 0 && rate <= 20'000)) throw UsageError("--rate must be above 0 and at most 20000");
    const auto settings = emulated_fleet_settings(*parsed);
    EmulatedFleet emulated_fleet(settings);
    emulator::LoadSettings load;
    load.rate = rate;
    load.length_us = static_cast<Micros>(seconds * 1e6);
    load.seed = (*parsed)["seed"].as<std::uint64_t>();
    load.groups = settings.fleet.banks;
    load.proxies = {emulated_fleet.proxy()};
    load.homes = {0};
    emulator::Load clients(emulated_fleet.loop(), emulated_fleet.deadlines(), load, emulated_fleet.checker());
    std::signal(SIGINT, [](int) { interrupted = 1; });
    std::signal(SIGTERM, [](int) { interrupted = 1; });
    const bool as_json = parsed->count("json") > 0;
    const auto address = emulated_fleet.proxy_address_text();
    if (!as_json) {
        std::printf("proxy at %s, %d replica groups of %d endpoints; %g requests per second for %g s\n",
                    address.c_str(), settings.fleet.banks, settings.fleet.members, rate, seconds);
        std::fflush(stdout);
    }
    emulated_fleet.run([&] { return clients.over() || interrupted; });
    auto violations = emulated_fleet.checker().broken();
    nlohmann::json classes;
    if (!as_json)
        std::printf("%-14s %8s %8s %8s %8s %8s %8s %8s %8s\n", "class", "requests", "served", "in time",
                    "rejected", "failed", "retries", "p50 ms", "p99 ms");
    for (int k = 0; k < emulator::kRosterClasses; ++k) {
        const auto& c = clients.count(k);
        classes[emulator::kClasses[k].name] = {
            {"asked", c.asked},     {"served", c.served},
            {"in_time", c.in_aim},  {"refused", c.refused},
            {"failed", c.failed},   {"none", c.none},
            {"retries", c.retries}, {"latency_us", quantiles(c.latency_us)}};
        if (!as_json)
            std::printf("%-14s %8llu %8llu %8llu %8llu %8llu %8llu %8.1f %8.1f\n", emulator::kClasses[k].name,
                        static_cast<unsigned long long>(c.asked), static_cast<unsigned long long>(c.served),
                        static_cast<unsigned long long>(c.in_aim), static_cast<unsigned long long>(c.refused),
                        static_cast<unsigned long long>(c.failed + c.none),
                        static_cast<unsigned long long>(c.retries),
                        static_cast<double>(c.latency_us.quantile(0.5)) / 1e3,
                        static_cast<double>(c.latency_us.quantile(0.99)) / 1e3);
    }
    if (!as_json) {
        std::printf("endpoints ran %llu statements in %llu attempts; proxy memory: %.1f MB\n",
                    static_cast<unsigned long long>(emulated_fleet.checker().ran()),
                    static_cast<unsigned long long>(emulated_fleet.fleet().attempts()),
                    static_cast<double>(emulated_fleet.resident_kb()) / 1024);
        for (const auto& b : violations) std::printf("rule violated: %s\n", b.c_str());
        if (violations.empty()) std::printf("no rule violated\n");
        const auto colon = address.rfind(':');
        std::printf("the first endpoint of the first replica group is at %s, discovery at %s\n",
                    emulated_fleet.fleet().member(0).c_str(), emulated_fleet.discovery().c_str());
        std::printf("to connect with psql (use --stay): psql -h %s -p %s -U portal crm\n",
                    address.substr(0, colon).c_str(), address.substr(colon + 1).c_str());
        std::printf("  SELECT data FROM facts WHERE code = 'x' /* id=1,c=hours-report,d=750,cluster=0 */;\n");
        std::fflush(stdout);
    }
    if (parsed->count("stay")) emulated_fleet.run([] { return interrupted != 0; });
    if (!emulated_fleet.stop_proxy()) violations.push_back("the proxy did not exit with status 0 on SIGTERM");
    if (as_json)
        std::cout
            << nlohmann::json{{"classes", classes}, {"rules_broken", violations}, {"proxy", address}}.dump(2)
            << "\n";
    return violations.empty() ? kSuccess : kProblemsFound;
}

int example_config(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl example-config",
                             "Prints an example configuration file for EDGE_CONFIG.");
    options.add_options()("listen", "address on which the proxy accepts clients",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:6432"))(
        "discovery", "address of discovery", cxxopts::value<std::string>()->default_value("127.0.0.1:8500"));
    const auto parsed = parse(options, arguments, {});
    if (!parsed) return kSuccess;
    std::cout << emulator::proxy_config((*parsed)["listen"].as<std::string>(),
                                        (*parsed)["discovery"].as<std::string>(), nullptr, 1024)
                     .dump(2)
              << "\n";
    return kSuccess;
}

}  // namespace sloestack::ctl
