// sloestackctl fleet: runs many sloestack processes with injected faults and evaluates the result.
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <iostream>

#include "ctl/command.h"
#include "fault_harness/compare.h"
#include "fault_harness/conductor.h"
#include "fault_harness/folder.h"
#include "fault_harness/part.h"
#include "fault_harness/report.h"

namespace sloestack::ctl {
namespace {

constexpr int kMaxProxies = 1000;

// Returns the folder given by --out, which must be new or empty, or a new folder in /tmp.
std::string run_folder(const cxxopts::ParseResult& parsed) {
    if (!parsed.count("out")) {
        char path[] = "/tmp/sloestack-fleet-XXXXXX";
        if (!mkdtemp(static_cast<char*>(path)))
            throw UsageError("cannot create a folder in /tmp for the run; use --out");
        return static_cast<char*>(path);
    }
    const auto out = parsed["out"].as<std::string>();
    std::error_code failed;
    std::filesystem::create_directories(out, failed);
    if (failed || !std::filesystem::is_empty(out))
        throw UsageError(out + " is not an empty folder; --out must name a new or empty one");
    return out;
}

int print_verdict(const fault_harness::Verdict& verdict, bool as_json) {
    if (as_json)
        std::cout << verdict.figures.dump(2) << "\n";
    else
        fault_harness::print(verdict);
    return verdict.violations.empty() ? kSuccess : kProblemsFound;
}

// On a busy machine all processes may stall for a while; the slack keeps that from failing a test.
void add_slack(cxxopts::Options& options) {
    options.add_options()("slack", "milliseconds added to each time limit of the rules",
                          cxxopts::value<double>()->default_value("0"));
}
std::int64_t slack_us(const cxxopts::ParseResult& parsed) {
    const auto ms = parsed["slack"].as<double>();
    if (!(ms >= 0 && ms <= 60'000)) throw UsageError("--slack must be between 0 and 60000 milliseconds");
    return static_cast<std::int64_t>(ms * 1000);
}

}  // namespace

int fleet_run(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl fleet run",
        "Runs a scenario against many sloestack processes on loopback. Exits with code 1 if a "
        "rule is violated.");
    options.add_options()("seed", "seed of the random traffic and faults",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "proxies",
        "overrides the number of proxies in the file; the number of replica groups is scaled in proportion",
        cxxopts::value<int>())("out", "a new or empty folder for the record, which is kept",
                               cxxopts::value<std::string>())(
        "program", "path of the sloestack to run (default: in the folder of sloestackctl)",
        cxxopts::value<std::string>())("keep", "keep the record even without --out")(
        "json", "print the report as JSON")(
        "environment", "an environment variable NAME=value of the proxies; may be given several times",
        cxxopts::value<std::vector<std::string>>());
    add_slack(options);
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kSuccess;
    const auto slack = slack_us(*parsed);
    const int proxies = parsed->count("proxies") ? (*parsed)["proxies"].as<int>() : 0;
    if (parsed->count("proxies") && (proxies < 1 || proxies > kMaxProxies))
        throw UsageError("--proxies must be between 1 and " + std::to_string(kMaxProxies));
    fault_harness::RunSettings settings;
    settings.plan = fault_harness::draw(
        fault_harness::Scenario::read(fault_harness::read_text(required(*parsed, "file")), proxies),
        (*parsed)["seed"].as<std::uint64_t>());
    settings.proxy =
        parsed->count("program")
            ? (*parsed)["program"].as<std::string>()
            : (std::filesystem::path(fault_harness::this_program_path()).parent_path() / "sloestack")
                  .string();
    if (access(settings.proxy.c_str(), X_OK) != 0)
        throw UsageError(settings.proxy + " is not an executable file");
    if (parsed->count("environment"))
        settings.environment = (*parsed)["environment"].as<std::vector<std::string>>();
    settings.folder = run_folder(*parsed);
    fault_harness::Conductor(settings).run();
    const int out = print_verdict(fault_harness::evaluate(settings.folder, slack), parsed->count("json") > 0);
    const bool keep = parsed->count("out") || parsed->count("keep");
    if (!keep) std::filesystem::remove_all(settings.folder);
    if (keep && !parsed->count("json")) std::printf("record: %s\n", settings.folder.c_str());
    return out;
}

int fleet_report(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet report",
                             "Evaluates the record of a run again, and optionally plots it.");
    options.add_options()("json", "print the report as JSON")(
        "plot", "write tables with a row for each 100 ms, and plot.png");
    add_slack(options);
    const auto parsed = parse(options, arguments, {"folder"});
    if (!parsed) return kSuccess;
    const auto folder = required(*parsed, "folder");
    const int out =
        print_verdict(fault_harness::evaluate(folder, slack_us(*parsed)), parsed->count("json") > 0);
    if (parsed->count("plot") && !fault_harness::plot(folder))
        std::cerr << "sloestackctl: gnuplot is not installed or failed; plot.png was not written\n";
    return out;
}

int fleet_check(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet check",
                             "Validates a scenario and prints the faults that it injects.");
    options.add_options()("seed", "seed of the random faults",
                          cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kSuccess;
    const auto plan = fault_harness::draw(
        fault_harness::Scenario::read(fault_harness::read_text(required(*parsed, "file"))),
        (*parsed)["seed"].as<std::uint64_t>());
    for (const auto& step : plan.steps)
        std::printf("%8.3f to %8.3f s: %s\n", static_cast<double>(step.at_us) / 1e6,
                    static_cast<double>(step.end_us) / 1e6, step.text().c_str());
    return kSuccess;
}

int fleet_compare(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet compare",
                             "Prints means and 95 % confidence intervals of the reports that bench/fleet.sh "
                             "wrote to a folder, and "
                             "compares the second build with the first on the seeds that both have.");
    const auto parsed = parse(options, arguments, {"folder", "first", "second"});
    if (!parsed) return kSuccess;
    std::vector<std::string> names = {required(*parsed, "first")};
    if (parsed->count("second")) names.push_back((*parsed)["second"].as<std::string>());
    std::string title;
    for (const auto& row :
         fault_harness::compare(fault_harness::read_samples(required(*parsed, "folder")), names)) {
        const auto head = row.scenario + ", " + std::to_string(row.proxies) + " proxies";
        if (head != title) std::printf("%s%s\n", title.empty() ? "" : "\n", head.c_str());
        title = head;
        std::printf("  %-26s", row.figure.c_str());
        for (const auto& b : row.builds)
            b.count ? std::printf(" %10.3f +- %-8.3f (%zu)", b.mean, b.half_width, b.count)
                    : std::printf(" %10s %-15s", "-", "");
        if (row.change.count) std::printf("  change %+.3f +- %.3f", row.change.mean, row.change.half_width);
        std::printf("\n");
    }
    return kSuccess;
}

int fleet_part(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet part",
                             "Runs one process of a fleet run. Started by fleet run.");
    options.add_options()("role", "discovery, members (endpoints) or clients", cxxopts::value<std::string>())(
        "number", "index among the processes of the role", cxxopts::value<int>()->default_value("0"));
    const auto parsed = parse(options, arguments, {"folder"});
    if (!parsed) return kSuccess;
    fault_harness::run_part(required(*parsed, "folder"), required(*parsed, "role"),
                            (*parsed)["number"].as<int>());
    return kSuccess;
}

}  // namespace sloestack::ctl
