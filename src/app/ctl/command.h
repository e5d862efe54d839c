// What the commands of sloestackctl share: their exit codes, and how they are called.
#pragma once

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace sloestack::ctl {

enum Exit { kGood = 0, kFound = 1, kBadInput = 2 };

// A call that cannot be carried out as it is: exit code 2 and the sentence.
struct BadCall : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Arguments = std::vector<std::string>;  // those behind the command's name
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

// Parses `arguments`; a missing or surplus positional, or a bad option, is a BadCall. Nothing where help was
// asked for and has been printed.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments,
                                          const std::vector<std::string>& positional);
std::string required(const cxxopts::ParseResult& parsed, const std::string& name);

}  // namespace sloestack::ctl
