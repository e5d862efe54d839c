// sloestack: a proxy on sockets round the decision module.
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "config/config.h"
#include "invariant/invariant.h"
#include "log/log.h"
#include "server/server.h"

namespace {

using namespace sloestack;
constexpr int kBadInput = 2;
constexpr Micros kLongestTurn = 60'000'000;

int serve(const config::Config& config) {
    std::signal(SIGPIPE, SIG_IGN);
    server::Server server(config);
    server.obey_signals(config::load_from_environment);
    log::line("serving", config.name);
    while (!server.over()) server.turn(kLongestTurn);
    invariant::Counter::report();
    log::line("stopped", config.name);
    return 0;
}

int run(int argc, char** argv) {
    cxxopts::Options options("sloestack",
                             "A proxy between database clients and the members that hold the data.");
    options.add_options()("command", "serve, check or version", cxxopts::value<std::string>())(
        "h,help", "print this help");
    options.parse_positional({"command"});
    options.positional_help("serve|check|version");
    const auto parsed = options.parse(argc, argv);
    const auto command = parsed.count("command") ? parsed["command"].as<std::string>() : std::string();
    if (parsed.count("help")) {
        std::cout << options.help() << "\n  serve    run the proxy; EDGE_CONFIG names its configuration\n"
                  << "  check    read the configuration and say whether it can be served\n"
                  << "  version  print the version\n";
        return 0;
    }
    if (command == "version") {
        std::cout << "sloestack " << SLOESTACK_VERSION << "\n";
        return 0;
    }
    if (command == "check") {
        const auto config = config::load_from_environment();
        const sloestack::decision::Router tried(config.settings.router, config.seed);
        std::cout << "configuration of " << config.name << " can be served\n";
        return 0;
    }
    if (command == "serve") return serve(config::load_from_environment());
    log::line("bad command line", "command: serve, check or version is wanted");
    return kBadInput;
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
        return 1;
    }
    return kBadInput;
}
