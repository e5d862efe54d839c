#include <sloestack/router.h>

#include <iostream>

int main() {
    using namespace sloestack::decision;
    Settings settings;
    ClassSettings read;
    read.need = Need::any;
    read.aim_us = 200'000;
    read.deadline_us = 800'000;
    settings.classes.push_back(read);
    Router router(settings, 42);

    ServerEntry server;
    server.server = 7;
    auto list = std::make_shared<std::vector<ServerEntry>>(1, server);
    Arrival arrival;
    arrival.request = 1;
    arrival.not_after = 1'800'000;

    std::vector<Action> actions;
    router.step(1'000'000, {ServerList{ListKind::cached, list}, arrival}, actions);
    for (const auto& action : actions)
        if (const auto* send = std::get_if<Send>(&action)) {
            std::cout << "request " << send->request << " to server " << send->server << '\n';
            return 0;
        }
    return 1;
}
