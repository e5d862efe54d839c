// A child process that this program has started, and may signal: by its id, and no other.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace fault_harness {

struct Command {
    std::vector<std::string> words;      // the first is the program's path
    std::vector<std::string> variables;  // NAME=value; nothing else is passed on
    std::string log;                     // standard output and error are added to it; empty: thrown away
    int channel = -1;                    // becomes descriptor 3
    bool shown = false;                  // its output goes where this program's goes, and to no log
};

class Process {
public:
    Process() = default;
    ~Process();  // killed and reaped
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start(const Command& command);  // throws std::runtime_error; it must not run
    bool running() const { return id_ > 0; }
    void signal(int number) const;
    // Its status as waitpid tells it, once, when it has ended.
    std::optional<int> ended();
    void wait();
    long resident_kb() const;  // 0 where it cannot be told

private:
    pid_t id_ = -1;
};

std::string this_program();  // its path

}  // namespace fault_harness
