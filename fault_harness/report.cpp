#include "fault_harness/report.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

#include "emulator/checker.h"
#include "fault_harness/folder.h"
#include "fault_harness/process.h"
#include "fault_harness/record.h"
#include "fault_harness/tally.h"

namespace fault_harness {
namespace {

using nlohmann::json;
constexpr double kTooBusyMs = 10;

// What the proxies' logs tell, over all their lives.
struct Told {
    // Why requests were given up. A life that was killed tells what it had logged last, up to 10 s before.
    json causes = json::object();
    // Of lives begun again: how long until discovery had told a list, and until members had been heard; ms.
    std::vector<std::int64_t> learning, serving;
};

// How many, the median and the most of them.
json spread(std::vector<std::int64_t> ms) {
    if (ms.empty()) return {{"count", 0}};
    std::sort(ms.begin(), ms.end());
    return {{"count", ms.size()}, {"median_ms", ms[ms.size() / 2]}, {"most_ms", ms.back()}};
}

// A line of a proxy's log in the present names: a run's record may be of an older version.
std::string with_present_names(std::string line) {
    static constexpr std::pair<std::string_view, std::string_view> kRenamed[] = {
        {"module: comeback: ", "decision: startup phase: "}, {"figures: ", "metrics: "}};
    for (const auto& [old_name, name] : kRenamed)
        if (const auto at = line.find(old_name); at != std::string::npos)
            line.replace(at, old_name.size(), name);
    return line;
}

Told read_logs(const std::string& folder) {
    Told told;
    auto& out = told.causes;
    const auto add = [&](const json& figures) {
        const auto by_class = figures.value("reasons", json::object());
        for (const auto& [request_class, reasons] : by_class.items())
            for (const auto& [cause, count] : reasons.items())
                if (count.is_number() && count.get<std::uint64_t>() > 0)
                    out[cause] = out.value(cause, std::uint64_t{0}) + count.get<std::uint64_t>();
    };
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".log") continue;
        std::ifstream in(file.path());
        json last;
        int lives = 0;
        for (std::string line; std::getline(in, line);) {
            constexpr std::string_view kBegins = "sloestack: serving: ", kMoved = "decision: startup phase: ",
                                       kMetrics = "metrics: ";
            if (line.rfind(kBegins, 0) == 0) {
                ++lives;
                if (!last.is_null()) add(last), last = nullptr;
            }
            line = with_present_names(std::move(line));
            if (const auto moved = line.find(kMoved); moved != std::string::npos && lives > 1) {
                std::istringstream words(line.substr(moved + kMoved.size()));
                std::string state, after;
                std::int64_t ms = 0;
                if (words >> state >> after >> ms)
                    (state == "learning" ? told.learning : told.serving).push_back(ms);
            }
            const auto at = line.find(kMetrics);
            if (at == std::string::npos) continue;
            auto figures = json::parse(line.substr(at + kMetrics.size()), nullptr, false);
            if (figures.is_object()) last = std::move(figures);
        }
        if (!last.is_null()) add(last);
    }
    return told;
}

json to_json(const Return::Kind& k) {
    return {{"steady", k.steady}, {"highest", k.highest}, {"overshoot", k.overshoot()}};
}

Tally tallied(const Run& run, const std::vector<emulator::Event>& events) {
    const auto& s = run.plan.scenario;
    Tally out(s.proxies, run.begins, s.length_us, s.fleet.members);
    for (const auto& e : events) out.saw(e);
    return out;
}

}  // namespace

Verdict judge(const std::string& folder, std::int64_t slack_us) {
    const auto run = read_run(folder);
    const auto events = read_record(folder);
    emulator::Rules rules;
    rules.drain_grace += slack_us;
    rules.slack += slack_us;
    rules.late += slack_us;
    emulator::Checker checker(rules);
    for (const auto& e : events) checker.saw(e);
    const auto tally = tallied(run, events);
    const auto& s = run.plan.scenario;
    const auto back = tally.back_to_service(s.steady_from_us, run.plan.first_fault_us());
    Bin sum;
    for (const auto& b : tally.total()) sum += b;
    const auto told = read_logs(folder);
    Verdict out;
    out.broken = checker.broken();
    json ends = json::object();
    for (const auto& [key, count] : tally.ends())
        ends[emulator::kClasses[key.first].name][key.second] = count;
    out.figures = {
        {"proxies", s.proxies},
        {"members", s.fleet.banks * s.fleet.members},
        {"seed", run.plan.seed},
        {"ends", ends},
        {"tries",
         {{"answers", sum.answers},
          {"refused", sum.refused},
          {"failed", sum.failed},
          {"none", sum.none},
          {"unsent", sum.unsent}}},
        {"attempts", sum.attempts},
        {"turned_away", sum.turned},
        {"links", sum.links},
        {"links_refused", sum.links_refused},
        {"probes", sum.probes},
        {"calls", sum.calls},
        {"calls_failed", sum.calls_failed},
        {"ran", checker.ran()},
        {"excused", checker.excused()},
        {"causes", told.causes},
        {"learning", spread(told.learning)},
        {"serving", spread(told.serving)},
    };
    const auto busy = tally.busy();
    if (!busy.empty())
        out.figures["rig_late_ms"] = {{"median", static_cast<double>(busy[busy.size() / 2]) / 1e3},
                                      {"most", static_cast<double>(busy.back()) / 1e3}};
    if (back.measured)
        out.figures["return"] = {
            {"share_before", back.share_before},
            {"p99_before_ms", static_cast<double>(back.p99_before) / 1e3},
            {"last_up_s", back.last_up ? static_cast<double>(back.last_up - run.begins) / 1e6 : 0},
            {"full_after_s", back.full_after < 0 ? json() : json(static_cast<double>(back.full_after) / 1e6)},
            {"out_of_service_s", static_cast<double>(back.worst_bins) * kBin / 1e6},
            {"attempts", to_json(back.attempts)},
            {"links", to_json(back.links)},
            {"links_needed", to_json(back.links_needed)},
            {"calls", to_json(back.calls)},
            {"probes", to_json(back.probes)},
            {"requests", back.requests},
            {"in_aim", back.in_aim},
            {"refused", back.refused},
            {"failed", back.failed},
            {"none", back.none},
            {"unsent", back.unsent}};
    out.figures["rules_broken"] = out.broken;
    return out;
}

void print(const Verdict& v) {
    const auto& f = v.figures;
    const auto count = [&](const char* name) { return f.at(name).get<unsigned long long>(); };
    std::printf("%d proxies, %d members, seed %llu\n", f.at("proxies").get<int>(), f.at("members").get<int>(),
                count("seed"));
    std::printf("%-14s %9s %9s %9s %9s %9s\n", "class", "served", "refused", "failed", "none", "unsent");
    for (const auto& [request_class, ends] : f.at("ends").items()) {
        std::printf("%-14s", request_class.c_str());
        for (const char* end : {"served", "refused", "failed", "none", "unsent"})
            std::printf(" %9llu", ends.value(end, 0ULL));
        std::printf("\n");
    }
    std::printf(
        "%llu attempts, %llu turned away, %llu links (%llu refused), %llu probes, %llu calls (%llu failed)\n",
        count("attempts"), count("turned_away"), count("links"), count("links_refused"), count("probes"),
        count("calls"), count("calls_failed"));
    if (!f.at("causes").empty()) {
        std::printf("given up, as the proxies' figures tell:");
        for (const auto& [cause, n] : f.at("causes").items())
            std::printf(" %s %llu", cause.c_str(), n.get<unsigned long long>());
        std::printf("\n");
    }
    if (f.contains("return")) {
        const auto& r = f["return"];
        std::printf("before: %.2f %% in time, p99 %.0f ms; last process up at %.2f s; full service ",
                    100 * r["share_before"].get<double>(), r["p99_before_ms"].get<double>(),
                    r["last_up_s"].get<double>());
        r["full_after_s"].is_null() ? std::printf("not again in this run")
                                    : std::printf("%.1f s after it", r["full_after_s"].get<double>());
        std::printf(", %.1f s out of it\n", r["out_of_service_s"].get<double>());
        for (const char* kind : {"attempts", "links", "links_needed", "calls", "probes"})
            std::printf("%-12s %8.1f a second before, %8.1f at most: %.2f times\n", kind,
                        r[kind]["steady"].get<double>(), r[kind]["highest"].get<double>(),
                        r[kind]["overshoot"].get<double>());
    }
    for (const char* state : {"learning", "serving"})
        if (const auto& s = f.at(state); s.contains("median_ms"))
            std::printf("%s %lld ms after a new start at the median, %lld at most, %llu starts\n", state,
                        s["median_ms"].get<long long>(), s["most_ms"].get<long long>(),
                        s["count"].get<unsigned long long>());
    if (f.contains("rig_late_ms")) {
        const auto late = f["rig_late_ms"]["median"].get<double>();
        std::printf(
            "the rig's own turns came late by %.1f ms in a usual second, %.1f ms at most%s\n", late,
            f["rig_late_ms"]["most"].get<double>(),
            late > kTooBusyMs ? ": the machine was too busy, the figures say little of the fleet" : "");
    }
    if (const auto excused = count("excused"); excused)
        std::printf("%llu requests were with a process that was killed or stood still\n", excused);
    for (const auto& b : v.broken) std::printf("rule broken: %s\n", b.c_str());
    if (v.broken.empty()) std::printf("no rule was broken\n");
}

bool plot(const std::string& folder) {
    const auto run = read_run(folder);
    const auto tally = tallied(run, read_record(folder));
    const auto row = [](std::ofstream& out, std::size_t i, const Bin& b) {
        out << static_cast<double>(i) * kBin / 1e6;
        for (const auto n :
             {b.requests, b.in_aim, b.refused, b.failed, b.none, b.unsent, b.attempts, b.turned, b.links,
              b.links_refused, b.probes, b.calls, b.calls_failed, static_cast<std::uint64_t>(b.up)})
            out << '\t' << n;
        out << '\n';
    };
    constexpr const char* kNames =
        "s\trequests\tin_aim\trefused\tfailed\tnone\tunsent\tattempts\tturned\tlinks\tlinks_"
        "refused\tprobes\tcalls\t"
        "calls_failed\tup\n";
    std::ofstream series(folder + "/series.tsv"), each(folder + "/processes.tsv"), gp(folder + "/plot.gp");
    series << kNames;
    each << "proxy\t" << kNames;
    const auto total = tally.total();
    for (std::size_t i = 0; i < total.size(); ++i) row(series, i, total[i]);
    for (int p = 0; p < run.plan.scenario.proxies; ++p)
        for (std::size_t i = 0; i < tally.of(p).size(); ++i) {
            each << p << '\t';
            row(each, i, tally.of(p)[i]);
        }
    gp << "set terminal pngcairo size 1200,1400\nset output '" << folder << "/plot.png'\n"
       << "set multiplot layout 5,1\nset xlabel 's'\nset key outside\n"
       << "f='" << folder << "/series.tsv'\n"
       << "set title 'requests in time, of 1'\nset yrange [0:1.05]\n"
       << "plot f using 1:($2>0?$3/$2:NaN) every ::1 with lines title 'in time'\nset autoscale y\n"
       << "set title 'a second'\n"
       << "plot f using 1:($8*10) every ::1 with lines title 'attempts', f using 1:(($4+$5+$6+$7)*10) every "
          "::1 "
          "with lines title 'not served'\n"
       << "plot f using 1:($10*10) every ::1 with lines title 'links', f using 1:($12*10) every ::1 with "
          "lines "
          "title 'probes'\n"
       << "plot f using 1:($13*10) every ::1 with lines title 'calls', f using 1:($14*10) every ::1 with "
          "lines "
          "title 'failed calls'\n"
       << "set title 'processes up'\nplot f using 1:15 every ::1 with lines title 'up'\n";
    series.close();
    each.close();
    gp.close();
    constexpr const char* kGnuplot = "/usr/bin/gnuplot";
    if (!std::filesystem::exists(kGnuplot)) return false;
    Process process;
    process.start({{kGnuplot, folder + "/plot.gp"}, {"PATH=/usr/bin:/bin"}, folder + "/parts.log", -1});
    process.wait();
    return std::filesystem::exists(folder + "/plot.png");
}

}  // namespace fault_harness
