// The command line of the proxy, sloestack.
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "config/config.h"
#include "invariant/invariant.h"
#include "log/log.h"
#include "server/server.h"

namespace {

using namespace sloestack;

constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;
constexpr Micros kMaxIterationWaitUs = 60'000'000;

int serve(const config::Config& config) {
    std::signal(SIGPIPE, SIG_IGN);
    server::Server server(config);
    server.handle_signals(config::load_from_environment);
    log::line("serving", config.name);
    while (!server.is_stopped()) server.run_iteration(kMaxIterationWaitUs);
    invariant::Counter::report();
    log::line("stopped", config.name);
    return EXIT_SUCCESS;
}

// Validates the configuration as `serve` does, except for
// the endpoint list under "known", without opening a socket.
int check(const config::Config& config) {
    const decision::Router validated(config.settings.router, config.seed);
    std::cout << "configuration of " << config.name << " is valid\n";
    return EXIT_SUCCESS;
}

int print_version() {
    std::cout << "sloestack " << SLOESTACK_VERSION << "\n";
    return EXIT_SUCCESS;
}

int print_help(const cxxopts::Options& options) {
    std::cout << options.help() << "\n  serve    run the proxy; EDGE_CONFIG names its configuration\n"
              << "  check    check that the configuration is valid, without serving\n"
              << "  version  print the version\n";
    return EXIT_SUCCESS;
}

int run(int argc, char** argv) {
    cxxopts::Options options("sloestack",
                             "A proxy between database clients and the endpoints that hold the data.");
    options.add_options()("command", "serve, check or version", cxxopts::value<std::string>())(
        "h,help", "print this help");
    options.parse_positional({"command"});
    options.positional_help("serve|check|version");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) return print_help(options);
    const auto command = parsed.count("command") ? parsed["command"].as<std::string>() : std::string();
    if (command == "version") return print_version();
    if (command == "check") return check(config::load_from_environment());
    if (command == "serve") return serve(config::load_from_environment());
    log::line("bad command line", "command: must be serve, check or version");
    return kExitBadInput;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const config::ConfigError& error) {
        log::line("bad configuration", error.what());
    } catch (const std::invalid_argument& error) {
        log::line("bad configuration", error.what());
    } catch (const cxxopts::exceptions::exception& error) {
        log::line("bad command line", error.what());
    } catch (const std::exception& error) {
        log::line("cannot go on", error.what());
        return kExitFailure;
    }
    return kExitBadInput;
}
