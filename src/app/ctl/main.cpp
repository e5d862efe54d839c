// sloestackctl: everything round the proxy that is a tool.
#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>

#include "ctl/command.h"
#include "pcap/reader.h"

namespace sloestack::ctl {
namespace {

struct Command {
    int (*run)(const Arguments&);
    const char* help;
};
const std::map<std::string, Command> kCommands = {
    {"pcap make", {pcap_make, "make a recording of mixed classes, damaged as captures are"}},
    {"pcap info", {pcap_info, "say what a capture file holds and what of it cannot be read"}},
    {"pcap replay", {pcap_replay, "play a capture against a proxy and compare the answers"}},
    {"pcap rehearse", {pcap_rehearse, "the same with stand-ins and a proxy started for it"}},
    {"pcap diff", {pcap_diff, "compare the conversations of two capture files"}},
    {"fleet run", {fleet_run, "play a scenario: many processes of sloestack, faults between them"}},
    {"fleet report", {fleet_report, "judge a run's record anew, and plot it"}},
    {"fleet check", {fleet_check, "say whether a scenario can be played, and what it does when"}},
    {"fleet compare", {fleet_compare, "compare the reports of two builds, seed by seed"}},
    {"fleet part", {fleet_part, "one process of a run; fleet run starts it"}},
    {"demo", {demo, "start stand-ins and a proxy, play traffic and print what came of it"}},
    {"example-config", {example_config, "print a configuration that sloestack can be started with"}},
};

void help() {
    std::cout << "sloestackctl: the tools round sloestack\n\nUsage:\n  sloestackctl COMMAND "
                 "[OPTIONS]\n\nCommands:\n";
    for (const auto& [name, command] : kCommands) std::printf("  %-15s %s\n", name.c_str(), command.help);
    std::printf("  %-15s %s\n", "version", "print the version");
    std::cout << "\nEach has --help. Exit codes: 0 good, 1 found something, 2 bad input.\n" << std::flush;
}

// Thousands of connections take as many descriptors.
void raise_descriptors() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int run(Arguments words) {
    if (words.empty() || words[0] == "--help" || words[0] == "-h") {
        help();
        return words.empty() ? kBadInput : kGood;
    }
    if (words[0] == "version") {
        std::cout << "sloestackctl " << SLOESTACK_VERSION << "\n";
        return kGood;
    }
    auto name = words[0];
    std::size_t taken = 1;
    if ((name == "pcap" || name == "fleet") && words.size() > 1) {
        name += " " + words[1];
        taken = 2;
    }
    const auto found = kCommands.find(name);
    if (found == kCommands.end()) throw BadCall("\"" + name + "\" is no command; see sloestackctl --help");
    return found->second.run({words.begin() + static_cast<std::ptrdiff_t>(taken), words.end()});
}

}  // namespace

std::optional<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments,
                                          const std::vector<std::string>& positional) {
    options.add_options()("h,help", "print this help");
    if (!positional.empty()) {
        std::string names;
        for (const auto& p : positional) {
            options.add_options("files")(p, "", cxxopts::value<std::string>());
            names += (names.empty() ? "" : " ") + p;
        }
        options.parse_positional(positional);
        options.positional_help(names);
    }
    std::vector<const char*> argv = {"sloestackctl"};
    for (const auto& a : arguments) argv.push_back(a.c_str());
    auto out = options.parse(static_cast<int>(argv.size()), argv.data());
    if (out.count("help")) {
        std::cout << options.help({""}) << "\n";
        return std::nullopt;
    }
    if (!out.unmatched().empty()) throw BadCall("\"" + out.unmatched().front() + "\" is one word too many");
    return out;
}

std::string required(const cxxopts::ParseResult& parsed, const std::string& name) {
    if (!parsed.count(name)) throw BadCall(name + " is missing; see --help");
    return parsed[name].as<std::string>();
}

}  // namespace sloestack::ctl

int main(int argc, char** argv) {
    using namespace sloestack::ctl;
    std::signal(SIGPIPE, SIG_IGN);
    raise_descriptors();
    try {
        return run({argv + 1, argv + argc});
    } catch (const BadCall& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const sloestack::pcap::CaptureFileError& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const std::invalid_argument& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const std::exception& error) {
        std::cerr << "sloestackctl: cannot go on: " << error.what() << "\n";
        return kFound;
    }
    return kBadInput;
}
