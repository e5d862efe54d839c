// sloestackctl fleet: many processes of the program, faults between them, and the judgement of what came of
// it.
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

constexpr int kMostProxies = 1000;

// A folder of the caller's, which must be new or empty, or one of its own.
std::string folder_of(const cxxopts::ParseResult& parsed) {
    if (!parsed.count("out")) {
        char made[] = "/tmp/sloestack-fleet-XXXXXX";
        if (!mkdtemp(static_cast<char*>(made))) throw BadCall("no folder for the run; see --out");
        return static_cast<char*>(made);
    }
    const auto out = parsed["out"].as<std::string>();
    std::error_code failed;
    std::filesystem::create_directories(out, failed);
    if (failed || !std::filesystem::is_empty(out)) throw BadCall(out + " is no empty folder");
    return out;
}

int told(const fault_harness::Verdict& verdict, bool as_json) {
    if (as_json)
        std::cout << verdict.figures.dump(2) << "\n";
    else
        fault_harness::print(verdict);
    return verdict.broken.empty() ? kGood : kFound;
}

// A machine that stands still for a while must not decide a test's verdict.
void add_slack(cxxopts::Options& options) {
    options.add_options()("slack", "ms, added to every limit on time that the rules have",
                          cxxopts::value<double>()->default_value("0"));
}
std::int64_t slack_us(const cxxopts::ParseResult& parsed) {
    const auto ms = parsed["slack"].as<double>();
    if (!(ms >= 0 && ms <= 60'000)) throw BadCall("--slack must lie between 0 and 60000");
    return static_cast<std::int64_t>(ms * 1000);
}

}  // namespace

int fleet_run(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl fleet run",
        "Plays a scenario against many processes of sloestack on loopback. Exit code 1 where a "
        "rule was broken.");
    options.add_options()("seed", "of traffic, faults and draws",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "proxies", "in place of the file's, with as many banks in proportion", cxxopts::value<int>())(
        "out", "an empty folder for the record, which stays", cxxopts::value<std::string>())(
        "program", "the sloestack to start, in place of the one beside this", cxxopts::value<std::string>())(
        "keep", "keep the record also where --out names no folder")("json", "report as JSON");
    add_slack(options);
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kGood;
    const auto slack = slack_us(*parsed);
    const int proxies = parsed->count("proxies") ? (*parsed)["proxies"].as<int>() : 0;
    if (parsed->count("proxies") && (proxies < 1 || proxies > kMostProxies))
        throw BadCall("--proxies must lie between 1 and " + std::to_string(kMostProxies));
    fault_harness::RunSettings settings;
    settings.plan = fault_harness::draw(
        fault_harness::Scenario::read(fault_harness::read_text(required(*parsed, "file")), proxies),
        (*parsed)["seed"].as<std::uint64_t>());
    settings.proxy =
        parsed->count("program")
            ? (*parsed)["program"].as<std::string>()
            : (std::filesystem::path(fault_harness::this_program()).parent_path() / "sloestack").string();
    if (access(settings.proxy.c_str(), X_OK) != 0) throw BadCall(settings.proxy + " cannot be started");
    settings.folder = folder_of(*parsed);
    fault_harness::Conductor(settings).play();
    const int out = told(fault_harness::judge(settings.folder, slack), parsed->count("json") > 0);
    const bool keep = parsed->count("out") || parsed->count("keep");
    if (!keep) std::filesystem::remove_all(settings.folder);
    if (keep && !parsed->count("json")) std::printf("record: %s\n", settings.folder.c_str());
    return out;
}

int fleet_report(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet report", "Judges the record of a run anew, and plots it.");
    options.add_options()("json", "report as JSON")("plot",
                                                    "write tables of each tenth of a second, and plot.png");
    add_slack(options);
    const auto parsed = parse(options, arguments, {"folder"});
    if (!parsed) return kGood;
    const auto folder = required(*parsed, "folder");
    const int out = told(fault_harness::judge(folder, slack_us(*parsed)), parsed->count("json") > 0);
    if (parsed->count("plot") && !fault_harness::plot(folder))
        std::cerr << "sloestackctl: no plot was made: gnuplot failed\n";
    return out;
}

int fleet_check(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet check",
                             "Says whether a scenario can be played, and what it does.");
    options.add_options()("seed", "of faults and draws", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto parsed = parse(options, arguments, {"file"});
    if (!parsed) return kGood;
    const auto plan = fault_harness::draw(
        fault_harness::Scenario::read(fault_harness::read_text(required(*parsed, "file"))),
        (*parsed)["seed"].as<std::uint64_t>());
    for (const auto& step : plan.steps)
        std::printf("%8.3f to %8.3f s: %s\n", static_cast<double>(step.at_us) / 1e6,
                    static_cast<double>(step.end_us) / 1e6, step.text().c_str());
    return kGood;
}

int fleet_compare(const Arguments& arguments) {
    cxxopts::Options options(
        "sloestackctl fleet compare",
        "Means with their 95 % intervals of the reports that bench/fleet.sh left in a folder, and "
        "the second build against the first on the seeds that both have.");
    const auto parsed = parse(options, arguments, {"folder", "first", "second"});
    if (!parsed) return kGood;
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
            b.count ? std::printf(" %10.3f +- %-8.3f (%zu)", b.mean, b.half, b.count)
                    : std::printf(" %10s %-15s", "-", "");
        if (row.change.count) std::printf("  change %+.3f +- %.3f", row.change.mean, row.change.half);
        std::printf("\n");
    }
    return kGood;
}

int fleet_part(const Arguments& arguments) {
    cxxopts::Options options("sloestackctl fleet part", "One process of a run; started by fleet run.");
    options.add_options()("role", "discovery, members or clients", cxxopts::value<std::string>())(
        "number", "which of them", cxxopts::value<int>()->default_value("0"));
    const auto parsed = parse(options, arguments, {"folder"});
    if (!parsed) return kGood;
    fault_harness::run_part(required(*parsed, "folder"), required(*parsed, "role"),
                            (*parsed)["number"].as<int>());
    return kGood;
}

}  // namespace sloestack::ctl
