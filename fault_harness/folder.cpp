#include "fault_harness/folder.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace fault_harness {

std::string read_text(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    if (!in) throw std::invalid_argument("cannot read " + path);
    return out.str();
}

void write_run(const std::string& folder, const Run& run) {
    std::ofstream scenario(folder + "/scenario.json"), out(folder + "/run.json");
    scenario << run.plan.scenario.text;
    out << nlohmann::json{{"seed", run.plan.seed},
                          {"proxies", run.plan.scenario.proxies},
                          {"block", run.block},
                          {"member_parts", run.endpoint_parts},
                          {"client_parts", run.client_parts},
                          {"begins", run.start_time}}
               .dump(2);
    scenario.close();
    out.close();
    if (!scenario || !out) throw std::runtime_error("cannot write scenario.json and run.json in " + folder);
}

Run read_run(const std::string& folder) {
    const auto json = nlohmann::json::parse(read_text(folder + "/run.json"), nullptr, false);
    try {
        Run run;
        const auto scenario =
            Scenario::read(read_text(folder + "/scenario.json"), json.at("proxies").get<int>());
        run.plan = draw(scenario, json.at("seed").get<std::uint64_t>());
        run.block = json.at("block").get<int>();
        run.endpoint_parts = json.at("member_parts").get<int>();
        run.client_parts = json.at("client_parts").get<int>();
        run.start_time = json.at("begins").get<Time>();
        return run;
    } catch (const nlohmann::json::exception&) {
        throw std::invalid_argument(folder + "/run.json: not the description of a run");
    }
}

}  // namespace fault_harness
