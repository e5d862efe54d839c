// The configuration of one proxy of a small deployment: the classes and limits of the roster deployment, with
// the settings that a case changes.
#pragma once

#include <string>

#include "standin.h"

namespace review {

struct ClassSettings {
    std::string name;
    std::string read;  // specifics.class-read
    std::string effect;
    int deadline_ms;
    int promise_ms;
    int bound_ms = 0;
};

struct DeploymentSettings {
    std::vector<ClassSettings> classes;
    std::string checks = "none";
    std::string write_marks = "brought";
    std::string role_listed = "trailing";
    bool has_probes = true;
    int connect_timeout_ms = 250;
};

inline std::string config_json(const std::string& name, int listen_port, int discovery_port,
                               const std::string& known, const DeploymentSettings& settings) {
    std::ostringstream out;
    out << "{\"name\":\"" << name << "\",\"listen\":\"" << host_port(listen_port) << "\",\"discovery\":\""
        << host_port(discovery_port) << "\",\"seed\":\"8c1f30d27a5be964\",\n"
        << "\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":1024},\n\"known\":" << known
        << ",\n\"settings\":{\"azs\":[\"a\"],\"balancers\":3,\"rank\":0,\"zone\":0,\"tick-us\":5000,\n"
        << "\"clients\":{\"marks-retry\":true},\"discovery\":\"on_request\",\n"
        << "\"charges\":{\"cross-zone\":0.04},\n\"classes\":[";
    const char* separator = "";
    for (const auto& each : settings.classes) {
        out << separator << "{\"name\":\"" << each.name << "\",\"effect\":\"" << each.effect
            << "\",\"group\":\"cell\",\"memory-span-us\":5000000,\"deadline-us\":" << each.deadline_ms * 1000
            << ",\"promise-us\":" << each.promise_ms * 1000
            << ",\"worth\":1.0,\"late-worth\":0.5,\"stream\":false}";
        separator = ",\n";
    }
    out << "],\n\"feedback\":{\"fields\":[\"x0\",\"x1\",\"active\"],\"how\":\"answers\"},\n"
        << "\"limits\":{\"cancel\":true,\"conn-idle-us\":15000000,\"connect-timeout-us\":"
        << settings.connect_timeout_ms * 1000
        << ",\"max-retry-after-us\":2000000,\"most-tries\":10,\"probes\":"
        << (settings.has_probes ? "true" : "false") << ",\"retry-after\":false,\"second-copies\":true},\n"
        << "\"rules\":{\"answer-slack-us\":20000,\"ask-every-us\":10000000,\"cold-from\":0.29,"
        << "\"drain-grace-us\":250000,\"fall-multiple\":3.0,\"fall-us\":3000000,\"warm-after-us\":18000000},"
           "\n"
        << "\"specifics\":{\"checks\":\"" << settings.checks
        << "\",\"patience-us\":50000,\"progress-told\":true,\"role-listed\":\"" << settings.role_listed
        << "\",\"write-marks\":\"" << settings.write_marks << "\",\"class-read\":[";
    separator = "";
    for (const auto& each : settings.classes) {
        out << separator << "\"" << each.read << "\"";
        separator = ",";
    }
    out << "],\"staleness-bound-us\":[";
    separator = "";
    for (const auto& each : settings.classes) {
        out << separator << each.bound_ms * 1000;
        separator = ",";
    }
    out << "]}}}\n";
    return out.str();
}

inline std::map<std::string, std::string> environment_of(const std::string& config, const std::string& name,
                                                         int listen_port, int discovery_port,
                                                         const std::string& tmpdir) {
    return {{"EDGE_CONFIG", config},
            {"EDGE_NAME", name},
            {"EDGE_LISTEN", host_port(listen_port)},
            {"EDGE_DISCOVERY", host_port(discovery_port)},
            {"TMPDIR", tmpdir}};
}

// Waits until the proxy answers an empty query with EmptyQueryResponse, as the front does before it takes the
// proxy in.
inline bool await_ready(int port, std::int64_t within_ms) {
    const auto until = now_us() + within_ms * 1000;
    while (now_us() < until) {
        ClientConnection client;
        if (client.open(port) && client.send_query("")) {
            const auto answer = client.read_answer(now_us() + 1'000'000);
            if (answer.end == ReadEnd::ok && answer.kind == Answer::Kind::none) return true;
        }
        sleep_ms(50);
    }
    return false;
}

}  // namespace review
