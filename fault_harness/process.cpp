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

constexpr int kChannel = 3;

}  // namespace

Process::~Process() {
    if (!running()) return;
    signal(SIGKILL);
    wait();
}

void Process::start(const Command& command) {
    std::vector<const char*> words, variables;
    for (const auto& w : command.words) words.push_back(w.c_str());
    for (const auto& v : command.variables) variables.push_back(v.c_str());
    words.push_back(nullptr);
    variables.push_back(nullptr);
    const auto parent = getpid();
    const auto* log = command.log.empty() ? "/dev/null" : command.log.c_str();
    id_ = fork();
    if (id_ < 0) throw std::runtime_error("cannot start " + command.words.front());
    if (id_ > 0) return;
    // However this program ends, its children do not outlive it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    if (!command.shown) {
        const int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
    }
    if (command.channel >= 0) dup2(command.channel, kChannel);
    close_range(command.channel >= 0 ? kChannel + 1 : kChannel, ~0u, 0);
    execve(words.front(), const_cast<char**>(words.data()), const_cast<char**>(variables.data()));
    _exit(127);
}

void Process::signal(int number) const {
    if (running()) ::kill(id_, number);
}

std::optional<int> Process::ended() {
    int status = 0;
    if (!running() || waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
    id_ = -1;
    return status;
}

void Process::wait() {
    if (running()) waitpid(id_, nullptr, 0);
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

std::string this_program() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

}  // namespace fault_harness
