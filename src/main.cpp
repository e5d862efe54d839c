// sloestack: a proxy on sockets round the decision module.
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "clients/door.h"
#include "config/config.h"
#include "discovery/list.h"
#include "discovery/watch.h"
#include "invariant/invariant.h"
#include "log/log.h"
#include "members/pool.h"
#include "net/loop.h"
#include "proxy/proxy.h"

namespace {

using namespace sloestack;
using nettletrestle::ListKind;

constexpr int kBadInput = 2;
constexpr Micros kReportEvery = 10'000'000;
constexpr const char* kUser = "portal";
constexpr const char* kDatabase = "crm";

members::PoolSettings pool_settings(const settings::InstanceSettings& s) {
    members::PoolSettings out;
    out.user = {kUser, kDatabase};
    if (s.connect_timeout_us > 0) out.connect_timeout_us = s.connect_timeout_us;
    if (s.idle_limit_us > 0) out.idle_limit_us = s.idle_limit_us;
    out.drain_grace_us = s.router.drain_grace_us;
    out.gone_is_advice = s.router.gone_is_advice;
    return out;
}

bool sessions_named(const nettletrestle::Settings& s) {
    for (const auto& c : s.classes)
        if (c.need == nettletrestle::Need::session) return true;
    return false;
}

int serve(const config::Config& config) {
    std::signal(SIGPIPE, SIG_IGN);
    const Clock clock;
    net::Loop loop;
    Deadlines deadlines(clock);
    const auto shares = net::share(config.sockets);
    net::Quota clients(shares.clients), overflow(shares.overflow), members(shares.members);

    proxy::Proxy proxy(deadlines, config.settings.router, config.seed);
    members::Pool pool(loop, deadlines, members, pool_settings(config.settings), proxy);
    discovery::Reader lists(config.settings.zone_names);
    std::int64_t revision = 0;
    std::vector<traffic::Entry> known;
    if (!config.known.is_null()) {
        auto list = lists.read(config.known);
        revision = list.revision;
        known = std::move(list.members);
    }
    discovery::Watch watch(loop, deadlines, config.discovery, config.discovery_host, lists, revision, proxy);
    proxy.attach({pool, [&] { watch.start(); },
                  [&](ListKind kind, const auto& entries) { pool.listed(kind, entries); }});
    proxy.listed(ListKind::cached, std::move(known));
    proxy.turn();
    clients::Door door(loop, deadlines, clients, overflow, config.listen, proxy, config.settings.class_names,
                       sessions_named(config.settings.router));
    loop.on_signal(SIGTERM, [&] { door.stop(); });
    loop.on_signal(SIGINT, [&] { door.stop(); });
    log::line("serving", config.name);

    Deadline report;
    const std::function<void()> report_often = [&] {
        invariant::Counter::report();
        report.set(deadlines, deadlines.now() + kReportEvery, report_often);
    };
    report_often();
    while (!door.over()) {
        const auto next = deadlines.next();
        loop.run_once(next ? std::optional<Micros>(*next - deadlines.now()) : std::nullopt);
        proxy.turn();
        loop.end_turn();
    }
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
        nettletrestle::Router(config.settings.router, config.seed);
        std::cout << "configuration of " << config.name << " can be served\n";
        return 0;
    }
    if (command == "serve") return serve(config::load_from_environment());
    throw std::invalid_argument("command: serve, check or version is wanted");
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const config::BadConfig& error) {
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
