// A child process. Signals go only to processes that this program started, by process id.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace fault_harness {

struct Command {
    std::vector<std::string> arguments;    // argv; the first is the path of the program
    std::vector<std::string> environment;  // NAME=value; the only environment variables of the child
    std::string log_path;         // file to which standard output and error are appended; empty: discarded
    int channel_fd = -1;          // becomes file descriptor 3 of the child; -1: none
    bool inherit_output = false;  // the child inherits this program's output; `log_path` is ignored
};

class Process {
public:
    Process() = default;
    ~Process();  // kills the process with SIGKILL and reaps it
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start(const Command& command);  // must not be running; throws std::runtime_error if fork fails
    bool is_running() const { return id_ > 0; }
    void signal(int number) const;
    // Returns the status of waitpid once after the process has exited, std::nullopt before and afterwards.
    // Does not block.
    std::optional<int> poll_exit_status();
    void wait();               // blocks until the process exits
    long resident_kb() const;  // 0 if unknown

private:
    pid_t id_ = -1;
};

std::string this_program_path();  // path of the running executable

}  // namespace fault_harness
