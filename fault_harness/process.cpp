#include "fault_harness/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace fault_harness {
namespace {

constexpr int kChannelFd = 3;

}  // namespace

Process::~Process() {
    if (!is_running()) return;
    signal(SIGKILL);
    wait();
}

void Process::start(const Command& command) {
    std::vector<const char*> arguments, environment;
    for (const auto& w : command.arguments) arguments.push_back(w.c_str());
    for (const auto& v : command.environment) environment.push_back(v.c_str());
    arguments.push_back(nullptr);
    environment.push_back(nullptr);
    const auto parent = getpid();
    const auto* log = command.log_path.empty() ? "/dev/null" : command.log_path.c_str();
    id_ = fork();
    if (id_ < 0) throw std::runtime_error("cannot start " + command.arguments.front());
    if (id_ > 0) return;
    // The kernel kills the child when this program exits, in whatever way.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    if (!command.inherit_output) {
        const int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
    }
    if (command.channel_fd >= 0) dup2(command.channel_fd, kChannelFd);
    close_range(command.channel_fd >= 0 ? kChannelFd + 1 : kChannelFd, ~0u, 0);
    execve(arguments.front(), const_cast<char**>(arguments.data()), const_cast<char**>(environment.data()));
    _exit(127);
}

void Process::signal(int number) const {
    if (is_running()) ::kill(id_, number);
}

std::optional<int> Process::poll_exit_status() {
    int status = 0;
    if (!is_running() || waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
    id_ = -1;
    return status;
}

void Process::wait() {
    if (is_running()) waitpid(id_, nullptr, 0);
    id_ = -1;
}

long Process::resident_kb() const {
    std::ifstream in("/proc/" + std::to_string(id_) + "/status");
    for (std::string word; in >> word;)
        if (word == "VmRSS:") {
            long out = 0;
            in >> out;
            return out;
        }
    return 0;
}

std::string this_program_path() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

}  // namespace fault_harness
