// What replay and rehearse share: the options of a schedule, and how a replay's report reads.
#pragma once

#include <memory>

#include "ctl/command.h"
#include "pcap/file.h"
#include "replay/replay.h"

namespace sloestack::ctl {

void add_play_options(cxxopts::Options& options);
// Throws BadCall naming the option that is wrong.
replay::Settings play_settings(const cxxopts::ParseResult& parsed, const std::string& path);
conversation::RecordingSettings recording_settings(const cxxopts::ParseResult& parsed);
nlohmann::json to_json(const conversation::Figures& figures, const std::string& fault);
nlohmann::json to_json(const replay::Report& report, const schedule::Counters& counters);
nlohmann::json quantiles(const histogram::Histogram& h);
void print(const replay::Report& report, const schedule::Counters& counters);
// Whether every difference has a cause that a proxy decided.
bool explained(const replay::Report& report);

}  // namespace sloestack::ctl
