// Declarations that the commands of sloestackctl share: exit codes, entry points and argument parsing.
#pragma once

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace sloestack::ctl {

enum Exit { kSuccess = 0, kProblemsFound = 1, kInvalidInput = 2 };

// Invalid command line. The program prints the message and exits with code 2.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Arguments = std::vector<std::string>;  // the arguments after the command name
int pcap_make(const Arguments& arguments);
int pcap_info(const Arguments& arguments);
int pcap_replay(const Arguments& arguments);
int pcap_rehearse(const Arguments& arguments);
int pcap_diff(const Arguments& arguments);
int fleet_run(const Arguments& arguments);
int fleet_report(const Arguments& arguments);
int fleet_check(const Arguments& arguments);
int fleet_compare(const Arguments& arguments);
int fleet_part(const Arguments& arguments);
int demo(const Arguments& arguments);
int example_config(const Arguments& arguments);

// Parses `arguments`. Returns std::nullopt if --help was given and the help text has been printed. Throws
// UsageError on a surplus positional argument and cxxopts::exceptions::exception on an invalid option.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments,
                                          const std::vector<std::string>& positional);
// Returns the value of option or positional argument `name`. Throws UsageError if it is missing.
std::string required(const cxxopts::ParseResult& parsed, const std::string& name);

}  // namespace sloestack::ctl
