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
constexpr double kMaxTimerDelayMs = 10;

// Summary of the proxies' logs, over all starts of all proxies.
struct LogSummary {
    // Number of rejected requests by reason, from the last metrics that each process logged. A killed proxy
    // may have logged them up to 10 s before it was killed.
    json causes = json::object();
    // For restarts: time from the start until discovery delivered a list, and until endpoints responded; in
    // ms.
    std::vector<std::int64_t> learning, serving;
};

// Returns count, median and maximum.
json summarize_ms(std::vector<std::int64_t> ms) {
    if (ms.empty()) return {{"count", 0}};
    std::sort(ms.begin(), ms.end());
    return {{"count", ms.size()}, {"median_ms", ms[ms.size() / 2]}, {"most_ms", ms.back()}};
}

// Replaces names that older versions of the proxy wrote to their log, so that older records can be read.
std::string with_current_names(std::string line) {
    static constexpr std::pair<std::string_view, std::string_view> kRenamed[] = {
        {"module: comeback: ", "decision: startup phase: "}, {"figures: ", "metrics: "}};
    for (const auto& [old_name, name] : kRenamed)
        if (const auto at = line.find(old_name); at != std::string::npos)
            line.replace(at, old_name.size(), name);
    return line;
}

LogSummary read_logs(const std::string& folder) {
    LogSummary logs;
    auto& out = logs.causes;
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
        int starts = 0;
        for (std::string line; std::getline(in, line);) {
            constexpr std::string_view kStartPrefix = "sloestack: serving: ",
                                       kPhasePrefix = "decision: startup phase: ",
                                       kMetricsPrefix = "metrics: ";
            if (line.rfind(kStartPrefix, 0) == 0) {
                ++starts;
                if (!last.is_null()) add(last), last = nullptr;
            }
            line = with_current_names(std::move(line));
            if (const auto phase_at = line.find(kPhasePrefix); phase_at != std::string::npos && starts > 1) {
                std::istringstream fields(line.substr(phase_at + kPhasePrefix.size()));
                std::string state, after;
                std::int64_t ms = 0;
                if (fields >> state >> after >> ms)
                    (state == "learning" ? logs.learning : logs.serving).push_back(ms);
            }
            const auto at = line.find(kMetricsPrefix);
            if (at == std::string::npos) continue;
            auto figures = json::parse(line.substr(at + kMetricsPrefix.size()), nullptr, false);
            if (figures.is_object()) last = std::move(figures);
        }
        if (!last.is_null()) add(last);
    }
    return logs;
}

json to_json(const Recovery::Rate& k) {
    return {{"steady", k.steady}, {"highest", k.highest}, {"overshoot", k.overshoot()}};
}

Tally tally_events(const Run& run, const std::vector<emulator::Event>& events) {
    const auto& s = run.plan.scenario;
    Tally out(s.proxies, run.start_time, s.length_us, s.fleet.members);
    for (const auto& e : events) out.add(e);
    return out;
}

}  // namespace

Verdict evaluate(const std::string& folder, std::int64_t slack_us) {
    const auto run = read_run(folder);
    const auto events = read_record(folder);
    emulator::Rules rules;
    rules.drain_grace += slack_us;
    rules.slack += slack_us;
    rules.late += slack_us;
    emulator::Checker checker(rules);
    for (const auto& e : events) checker.saw(e);
    const auto tally = tally_events(run, events);
    const auto& s = run.plan.scenario;
    const auto recovery = tally.recovery(s.steady_from_us, run.plan.first_fault_us());
    Bin sum;
    for (const auto& b : tally.total()) sum += b;
    const auto logs = read_logs(folder);
    Verdict out;
    out.violations = checker.broken();
    json ends = json::object();
    for (const auto& [key, count] : tally.outcomes())
        ends[emulator::kClasses[key.first].name][key.second] = count;
    out.figures = {
        {"proxies", s.proxies},
        {"members", s.fleet.banks * s.fleet.members},
        {"seed", run.plan.seed},
        {"ends", ends},
        {"tries",
         {{"answers", sum.responses},
          {"refused", sum.rejected},
          {"failed", sum.failed},
          {"none", sum.unanswered},
          {"unsent", sum.unsent}}},
        {"attempts", sum.attempts},
        {"turned_away", sum.rejected_by_endpoint},
        {"links", sum.connections},
        {"links_refused", sum.connections_rejected},
        {"probes", sum.health_checks},
        {"calls", sum.polls},
        {"calls_failed", sum.polls_failed},
        {"ran", checker.ran()},
        {"excused", checker.excused()},
        {"causes", logs.causes},
        {"learning", summarize_ms(logs.learning)},
        {"serving", summarize_ms(logs.serving)},
    };
    const auto timer_delays = tally.timer_delays();
    if (!timer_delays.empty())
        out.figures["rig_late_ms"] = {
            {"median", static_cast<double>(timer_delays[timer_delays.size() / 2]) / 1e3},
            {"most", static_cast<double>(timer_delays.back()) / 1e3}};
    if (recovery.measured)
        out.figures["return"] = {
            {"share_before", recovery.share_before},
            {"p99_before_ms", static_cast<double>(recovery.p99_before) / 1e3},
            {"last_up_s",
             recovery.last_up ? static_cast<double>(recovery.last_up - run.start_time) / 1e6 : 0},
            {"full_after_s",
             recovery.full_after < 0 ? json() : json(static_cast<double>(recovery.full_after) / 1e6)},
            {"out_of_service_s", static_cast<double>(recovery.degraded_bins) * kBinUs / 1e6},
            {"attempts", to_json(recovery.attempts)},
            {"links", to_json(recovery.connections)},
            {"links_needed", to_json(recovery.connections_needed)},
            {"calls", to_json(recovery.polls)},
            {"probes", to_json(recovery.health_checks)},
            {"requests", recovery.requests},
            {"in_aim", recovery.in_objective},
            {"refused", recovery.rejected},
            {"failed", recovery.failed},
            {"none", recovery.unanswered},
            {"unsent", recovery.unsent}};
    out.figures["rules_broken"] = out.violations;
    return out;
}

void print(const Verdict& v) {
    const auto& f = v.figures;
    const auto count = [&](const char* name) { return f.at(name).get<unsigned long long>(); };
    std::printf("%d proxies, %d members, seed %llu\n", f.at("proxies").get<int>(), f.at("members").get<int>(),
                count("seed"));
    std::printf("%-14s %9s %9s %9s %9s %9s\n", "class", "served", "rejected", "failed", "none", "unsent");
    for (const auto& [request_class, ends] : f.at("ends").items()) {
        std::printf("%-14s", request_class.c_str());
        for (const char* end : {"served", "refused", "failed", "none", "unsent"})
            std::printf(" %9llu", ends.value(end, 0ULL));
        std::printf("\n");
    }
    std::printf(
        "%llu attempts, %llu rejected by endpoints, %llu connections (%llu rejected), %llu health checks, "
        "%llu polls "
        "(%llu failed)\n",
        count("attempts"), count("turned_away"), count("links"), count("links_refused"), count("probes"),
        count("calls"), count("calls_failed"));
    if (!f.at("causes").empty()) {
        std::printf("rejections by reason, from the proxies' metrics:");
        for (const auto& [cause, n] : f.at("causes").items())
            std::printf(" %s %llu", cause.c_str(), n.get<unsigned long long>());
        std::printf("\n");
    }
    if (f.contains("return")) {
        const auto& r = f["return"];
        std::printf("before: %.2f %% in time, p99 %.0f ms; last proxy ready at %.2f s; full service ",
                    100 * r["share_before"].get<double>(), r["p99_before_ms"].get<double>(),
                    r["last_up_s"].get<double>());
        r["full_after_s"].is_null() ? std::printf("not restored in this run")
                                    : std::printf("restored %.1f s later", r["full_after_s"].get<double>());
        std::printf(", %.1f s without full service\n", r["out_of_service_s"].get<double>());
        for (const char* kind : {"attempts", "links", "links_needed", "calls", "probes"})
            std::printf("%-12s %8.1f per second before, %8.1f at most: %.2f times\n", kind,
                        r[kind]["steady"].get<double>(), r[kind]["highest"].get<double>(),
                        r[kind]["overshoot"].get<double>());
    }
    for (const char* state : {"learning", "serving"})
        if (const auto& s = f.at(state); s.contains("median_ms"))
            std::printf("%s after a restart: median %lld ms, at most %lld ms, %llu restarts\n", state,
                        s["median_ms"].get<long long>(), s["most_ms"].get<long long>(),
                        s["count"].get<unsigned long long>());
    if (f.contains("rig_late_ms")) {
        const auto late = f["rig_late_ms"]["median"].get<double>();
        std::printf("timer delay of the fault harness: median %.1f ms, at most %.1f ms%s\n", late,
                    f["rig_late_ms"]["most"].get<double>(),
                    late > kMaxTimerDelayMs ? "; the machine was too busy for meaningful figures" : "");
    }
    if (const auto excused = count("excused"); excused)
        std::printf("%llu requests were in flight at a proxy that was killed or stopped\n", excused);
    for (const auto& b : v.violations) std::printf("rule violated: %s\n", b.c_str());
    if (v.violations.empty()) std::printf("no rule violated\n");
}

bool plot(const std::string& folder) {
    const auto run = read_run(folder);
    const auto tally = tally_events(run, read_record(folder));
    const auto row = [](std::ofstream& out, std::size_t i, const Bin& b) {
        out << static_cast<double>(i) * kBinUs / 1e6;
        for (const auto n : {b.requests, b.in_objective, b.rejected, b.failed, b.unanswered, b.unsent,
                             b.attempts, b.rejected_by_endpoint, b.connections, b.connections_rejected,
                             b.health_checks, b.polls, b.polls_failed, static_cast<std::uint64_t>(b.up)})
            out << '\t' << n;
        out << '\n';
    };
    constexpr const char* kColumns =
        "s\trequests\tin_aim\trefused\tfailed\tnone\tunsent\tattempts\tturned\tlinks\tlinks_"
        "refused\tprobes\tcalls\t"
        "calls_failed\tup\n";
    std::ofstream series(folder + "/series.tsv"), each(folder + "/processes.tsv"), gp(folder + "/plot.gp");
    series << kColumns;
    each << "proxy\t" << kColumns;
    const auto total = tally.total();
    for (std::size_t i = 0; i < total.size(); ++i) row(series, i, total[i]);
    for (int p = 0; p < run.plan.scenario.proxies; ++p)
        for (std::size_t i = 0; i < tally.proxy_bins(p).size(); ++i) {
            each << p << '\t';
            row(each, i, tally.proxy_bins(p)[i]);
        }
    gp << "set terminal pngcairo size 1200,1400\nset output '" << folder << "/plot.png'\n"
       << "set multiplot layout 5,1\nset xlabel 's'\nset key outside\n"
       << "f='" << folder << "/series.tsv'\n"
       << "set title 'share of requests in time'\nset yrange [0:1.05]\n"
       << "plot f using 1:($2>0?$3/$2:NaN) every ::1 with lines title 'in time'\nset autoscale y\n"
       << "set title 'per second'\n"
       << "plot f using 1:($8*10) every ::1 with lines title 'attempts', f using 1:(($4+$5+$6+$7)*10) every "
          "::1 "
          "with lines title 'not served'\n"
       << "plot f using 1:($10*10) every ::1 with lines title 'connections', f using 1:($12*10) every ::1 "
          "with "
          "lines "
          "title 'health checks'\n"
       << "plot f using 1:($13*10) every ::1 with lines title 'polls', f using 1:($14*10) every ::1 with "
          "lines "
          "title 'failed polls'\n"
       << "set title 'proxies ready'\nplot f using 1:15 every ::1 with lines title 'ready'\n";
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
