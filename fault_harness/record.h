// A run's record on disk: one file of events a process of the rig, one event a line.
#pragma once

#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "emulator/event.h"

namespace fault_harness {

class Recorder final : public emulator::EventSink {
public:
    explicit Recorder(const std::string& path);  // throws std::runtime_error where it cannot be written
    void saw(const emulator::Event& event) override;
    void close();  // throws std::runtime_error where not all of it could be written

private:
    std::string path_;
    std::ofstream out_;
};

// All events in `folder`, by time; throws std::invalid_argument naming a file and line that is no event.
std::vector<emulator::Event> read_record(const std::string& folder);

}  // namespace fault_harness
