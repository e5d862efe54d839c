// What replay and rehearse share: the options of a schedule, and how a replay's report reads.
#pragma once

#include <memory>

#include "ctl/command.h"
#include "pcap/file.h"
#include "replay/replay.h"
#include "writer/writer.h"

namespace sloestack::ctl {

constexpr Micros kStartsIn = 50'000;  // from the call to the first step of a replay

// Where --write asks for it, the capture file that a replay writes.
class Output {
public:
    explicit Output(const cxxopts::ParseResult& parsed);      // throws pcap::CaptureFileError
    writer::Writer* writer() const { return writer_.get(); }  // null where nothing is written
    void close();                                             // throws pcap::CaptureFileError

private:
    std::unique_ptr<pcap::File> file_;
    std::unique_ptr<writer::Writer> writer_;
};

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
