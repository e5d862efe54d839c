// The record of a run on disk: one file per process of the fault harness, one event per line.
#pragma once

#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "emulator/event.h"

namespace fault_harness {

class Recorder final : public emulator::EventSink {
public:
    explicit Recorder(const std::string& path);  // throws std::runtime_error if the file cannot be created
    void saw(const emulator::Event& event) override;
    void close();  // throws std::runtime_error if a write failed

private:
    std::string path_;
    std::ofstream out_;
};

// Returns all events of the .jsonl files in `folder`, ordered by time. Throws std::invalid_argument naming
// the file and line if a line is not an event.
std::vector<emulator::Event> read_record(const std::string& folder);

}  // namespace fault_harness
