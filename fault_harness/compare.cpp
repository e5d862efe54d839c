#include "fault_harness/compare.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

namespace fault_harness {
namespace {

using nlohmann::json;

// Two-sided 95 % quantiles of Student's t distribution for 1, 2, ... degrees of freedom; above the table the
// quantile of the normal distribution is used.
constexpr double kStudentT95[] = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
                                  2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086};
constexpr double kNormal95 = 1.96;

std::optional<double> number(const json& in, std::initializer_list<const char*> path) {
    const json* at = &in;
    for (const auto* key : path) {
        if (!at->is_object() || !at->contains(key)) return std::nullopt;
        at = &(*at)[key];
    }
    return at->is_number() ? std::optional(at->get<double>()) : std::nullopt;
}

}  // namespace

Interval interval(const std::vector<double>& values) {
    Interval out;
    out.count = values.size();
    if (values.empty()) return out;
    for (const auto v : values) out.mean += v / static_cast<double>(values.size());
    if (values.size() < 2) return out;
    double squares = 0;
    for (const auto v : values) squares += (v - out.mean) * (v - out.mean);
    const auto n = static_cast<double>(values.size());
    const double t = values.size() - 2 < std::size(kStudentT95) ? kStudentT95[values.size() - 2] : kNormal95;
    out.half_width = t * std::sqrt(squares / (n - 1) / n);
    return out;
}

std::vector<std::pair<std::string, std::optional<double>>> compared_figures(const json& f) {
    std::vector<std::pair<std::string, std::optional<double>>> out;
    const auto add = [&](const char* name, std::initializer_list<const char*> path) {
        out.emplace_back(name, number(f, path));
    };
    add("in time before", {"return", "share_before"});
    add("full service after, s", {"return", "full_after_s"});
    add("out of service, s", {"return", "out_of_service_s"});
    const auto requests = number(f, {"return", "requests"});
    const auto share = [&](const char* name, const char* key) {
        const auto count = number(f, {"return", key});
        out.emplace_back(
            name, requests && count && *requests > 0 ? std::optional(*count / *requests) : std::nullopt);
    };
    share("in time since the fault", "in_aim");
    share("refused since", "refused");
    share("no answer since", "none");
    for (const char* kind : {"attempts", "links", "calls", "probes"}) {
        out.emplace_back(std::string(kind) + " a second before", number(f, {"return", kind, "steady"}));
        out.emplace_back(std::string(kind) + " at most", number(f, {"return", kind, "highest"}));
        out.emplace_back(std::string(kind) + " overshoot", number(f, {"return", kind, "overshoot"}));
    }
    add("links in all", {"links"});
    add("rig late, ms", {"rig_late_ms", "median"});
    if (f.contains("rules_broken"))
        out.emplace_back("rules broken", static_cast<double>(f["rules_broken"].size()));
    return out;
}

std::vector<Row> compare(const std::vector<Sample>& samples, const std::vector<std::string>& names) {
    // `figure_order`: figure names by scenario and proxies. `values`: by figure, then build and seed.
    std::map<std::pair<std::string, int>, std::vector<std::string>> figure_order;
    std::map<std::tuple<std::string, int, std::string>,
             std::map<std::string, std::map<std::uint64_t, double>>>
        values;
    for (const auto& s : samples)
        for (const auto& [figure, value] : compared_figures(s.figures)) {
            auto& figures = figure_order[{s.scenario, s.proxies}];
            if (std::find(figures.begin(), figures.end(), figure) == figures.end()) figures.push_back(figure);
            if (value) values[{s.scenario, s.proxies, figure}][s.build][s.seed] = *value;
        }
    std::vector<Row> out;
    for (const auto& [where, figures] : figure_order)
        for (const auto& figure : figures) {
            auto& of = values[{where.first, where.second, figure}];
            Row row{where.first, figure, where.second, {}, {}};
            for (const auto& name : names) {
                std::vector<double> all;
                for (const auto& [seed, value] : of[name]) all.push_back(value);
                row.builds.push_back(interval(all));
            }
            std::vector<double> changes;
            if (names.size() == 2)
                for (const auto& [seed, value] : of[names[0]])
                    if (const auto other = of[names[1]].find(seed); other != of[names[1]].end())
                        changes.push_back(other->second - value);
            row.change = interval(changes);
            out.push_back(std::move(row));
        }
    return out;
}

std::vector<Sample> read_samples(const std::string& folder) {
    std::vector<Sample> out;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".json") continue;
        std::istringstream parts(file.path().stem().string());
        Sample s;
        std::string proxies, seed;
        std::getline(parts, s.build, '.');
        std::getline(parts, s.scenario, '.');
        std::getline(parts, proxies, '.');
        std::getline(parts, seed, '.');
        std::ifstream in(file.path());
        s.figures = json::parse(in, nullptr, false);
        try {
            s.proxies = std::stoi(proxies);
            s.seed = std::stoull(seed);
        } catch (const std::exception&) {
            s.figures = nullptr;
        }
        if (!s.figures.is_object())
            throw std::invalid_argument(file.path().string() +
                                        " is not a report: the name must be "
                                        "BUILD.SCENARIO.PROXIES.SEED.json, the content a JSON object");
        out.push_back(std::move(s));
    }
    return out;
}

}  // namespace fault_harness
