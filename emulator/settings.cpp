#include "emulator/settings.h"

#include "emulator/values.h"

namespace emulator {

nlohmann::json proxy_config(const std::string& listen, const std::string& discovery,
                            const nlohmann::json& known, int sockets) {
    using nlohmann::json;
    json classes = json::array(), reads = json::array(), bounds = json::array();
    for (int k = 0; k < kRosterClasses; ++k) {
        const auto& c = kClasses[k];
        classes.push_back({{"name", c.name},
                           {"effect", c.write ? "idempotency_key" : "read_like"},
                           {"group", "cell"},
                           {"memory-span-us", 5'000'000},
                           {"promise-us", c.latency_objective_us},
                           {"deadline-us", c.timeout_us},
                           {"worth", c.priority_weight},
                           {"late-worth", c.write ? 0.5 : 0.0}});
        reads.push_back(c.write ? "mutate" : c.max_staleness_us ? "lag_bound" : "eventual");
        bounds.push_back(c.max_staleness_us);
    }
    const json settings = {{"balancers", 1},
                           {"zone", 0},
                           {"azs", {"walu-bay", "laucala", "nasinu"}},
                           {"classes", classes},
                           {"discovery", "on_request"},
                           {"charges", {{"cross-zone", 0.04}}},
                           {"specifics",
                            {{"class-read", reads},
                             {"staleness-bound-us", bounds},
                             {"progress-told", true},
                             {"role-listed", "trailing"},
                             {"checks", "none"}}},
                           {"feedback", {{"how", "answers"}, {"fields", {"x0", "x1", "inflight"}}}},
                           {"limits",
                            {{"most-tries", 10},
                             {"probes", true},
                             {"cancel", true},
                             {"second-copies", true},
                             {"retry-after", true},
                             {"connect-timeout-us", 250'000},
                             {"conn-idle-us", 15'000'000},
                             {"max-retry-after-us", 2'000'000}}},
                           {"rules",
                            {{"drain-grace-us", 250'000},
                             {"ask-every-us", 5'000'000},
                             {"cold-from", 0.29},
                             {"warm-after-us", 18'000'000},
                             {"fall-multiple", 3},
                             {"fall-us", 3'000'000}}}};
    json out = {{"name", "n1"},
                {"listen", listen},
                {"discovery", discovery},
                {"seed", "8c1f30d27a5be964"},
                {"limits", {{"cores", 1.0}, {"memory_mb", 512}, {"sockets", sockets}}},
                {"settings", settings}};
    if (!known.is_null()) out["known"] = known;
    return out;
}

void add_sessions(nlohmann::json& config, bool brought) {
    auto& settings = config["settings"];
    const auto& c = kClasses[kSessionRead];
    settings["classes"].push_back({{"name", c.name},
                                   {"effect", "read_like"},
                                   {"promise-us", c.latency_objective_us},
                                   {"deadline-us", c.timeout_us},
                                   {"worth", c.priority_weight},
                                   {"late-worth", 0.0}});
    auto& specifics = settings["specifics"];
    specifics["class-read"].push_back("causal");
    specifics["staleness-bound-us"].push_back(0);
    specifics["write-marks"] = brought ? "brought" : "kept";
}

}  // namespace emulator
