// sloestackctl: command-line tools for the sloestack proxy.
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
    {"pcap make", {pcap_make, "generate a capture of mixed request classes, optionally with faults"}},
    {"pcap info", {pcap_info, "summarize a capture file and list what cannot be read"}},
    {"pcap replay", {pcap_replay, "replay a capture against a proxy and compare the responses"}},
    {"pcap rehearse", {pcap_rehearse, "replay a capture against emulators and a proxy started for it"}},
    {"pcap diff", {pcap_diff, "compare the conversations of two capture files"}},
    {"fleet run", {fleet_run, "run a fault scenario with many sloestack processes"}},
    {"fleet report", {fleet_report, "evaluate the record of a run again, and plot it"}},
    {"fleet check", {fleet_check, "validate a scenario and print when it injects which fault"}},
    {"fleet compare", {fleet_compare, "compare the reports of two builds seed by seed"}},
    {"fleet part", {fleet_part, "run one process of a fleet run; started by fleet run"}},
    {"demo", {demo, "start emulators and a proxy, generate traffic and print the results"}},
    {"example-config", {example_config, "print an example configuration for sloestack"}},
};

void print_help() {
    std::cout << "sloestackctl: command-line tools for sloestack\n\nUsage:\n  sloestackctl COMMAND "
                 "[OPTIONS]\n\nCommands:\n";
    for (const auto& [name, command] : kCommands) std::printf("  %-15s %s\n", name.c_str(), command.help);
    std::printf("  %-15s %s\n", "version", "print the version");
    std::cout
        << "\nEach command has --help. Exit codes: 0 success, 1 problems found or failure, 2 invalid input.\n"
        << std::flush;
}

// Raises the limit on open files to its maximum: each of thousands of connections takes a descriptor.
void raise_descriptors() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int run(Arguments words) {
    if (words.empty() || words[0] == "--help" || words[0] == "-h") {
        print_help();
        return words.empty() ? kInvalidInput : kSuccess;
    }
    if (words[0] == "version") {
        std::cout << "sloestackctl " << SLOESTACK_VERSION << "\n";
        return kSuccess;
    }
    auto name = words[0];
    std::size_t name_words = 1;
    if ((name == "pcap" || name == "fleet") && words.size() > 1) {
        name += " " + words[1];
        name_words = 2;
    }
    const auto found = kCommands.find(name);
    if (found == kCommands.end())
        throw UsageError("unknown command \"" + name + "\"; see sloestackctl --help");
    return found->second.run({words.begin() + static_cast<std::ptrdiff_t>(name_words), words.end()});
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
    if (!out.unmatched().empty())
        throw UsageError("unexpected argument \"" + out.unmatched().front() + "\"; see --help");
    return out;
}

std::string required(const cxxopts::ParseResult& parsed, const std::string& name) {
    if (!parsed.count(name)) throw UsageError(name + " is missing; see --help");
    return parsed[name].as<std::string>();
}

}  // namespace sloestack::ctl

int main(int argc, char** argv) {
    using namespace sloestack::ctl;
    std::signal(SIGPIPE, SIG_IGN);
    raise_descriptors();
    try {
        return run({argv + 1, argv + argc});
    } catch (const UsageError& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const sloestack::pcap::CaptureFileError& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const std::invalid_argument& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "sloestackctl: " << error.what() << "\n";
    } catch (const std::exception& error) {
        std::cerr << "sloestackctl: cannot go on: " << error.what() << "\n";
        return kProblemsFound;
    }
    return kInvalidInput;
}
