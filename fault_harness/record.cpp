#include "fault_harness/record.h"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

namespace fault_harness {

Recorder::Recorder(const std::string& path) : path_(path), out_(path) {
    if (!out_) throw std::runtime_error("cannot write " + path);
}

void Recorder::saw(const emulator::Event& event) { out_ << emulator::to_line(event) << '\n'; }

void Recorder::close() {
    out_.close();
    if (!out_) throw std::runtime_error("cannot write " + path_);
}

std::vector<emulator::Event> read_record(const std::string& folder) {
    std::vector<std::string> paths;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        if (file.path().extension() == ".jsonl") paths.push_back(file.path().string());
    std::sort(paths.begin(), paths.end());
    std::vector<emulator::Event> out;
    for (const auto& path : paths) {
        std::ifstream in(path);
        std::size_t number = 0;
        for (std::string line; std::getline(in, line);) {
            ++number;
            try {
                out.push_back(emulator::from_line(line));
            } catch (const std::invalid_argument& error) {
                throw std::invalid_argument(path + ":" + std::to_string(number) + ": " + error.what());
            }
        }
    }
    std::stable_sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return out;
}

}  // namespace fault_harness
