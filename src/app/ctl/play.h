// Shared by the commands replay, rehearse, info and diff: replay options, report output and conversion to
// JSON.
#pragma once

#include <memory>

#include "ctl/command.h"
#include "pcap/file.h"
#include "replay/replay.h"
#include "writer/writer.h"

namespace sloestack::ctl {

constexpr Micros kStartDelayUs = 50'000;  // from the start of the command to the first step of a replay

// The capture file that a replay writes if --write is given.
class Output {
public:
    explicit Output(const cxxopts::ParseResult& parsed);      // throws pcap::CaptureFileError
    writer::Writer* writer() const { return writer_.get(); }  // null without --write
    void close();                                             // throws pcap::CaptureFileError

private:
    std::unique_ptr<pcap::File> file_;
    std::unique_ptr<writer::Writer> writer_;
};

void add_play_options(cxxopts::Options& options);
// Throws UsageError naming the invalid option.
replay::Settings play_settings(const cxxopts::ParseResult& parsed, const std::string& path);
conversation::RecordingSettings recording_settings(const cxxopts::ParseResult& parsed);
nlohmann::json to_json(const conversation::Figures& figures, const std::string& fault);
nlohmann::json to_json(const replay::Report& report, const schedule::Counters& counters);
nlohmann::json quantiles(const histogram::Histogram& h);
void print(const replay::Report& report, const schedule::Counters& counters);
// Returns true if every difference is caused by a decision of the proxy.
bool is_explained(const replay::Report& report);

}  // namespace sloestack::ctl
