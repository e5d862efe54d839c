#include <sloestack/router.h>

#include <iostream>

int main() {
    using namespace sloestack::decision;
    Settings settings;
    RequestClassSettings read;
    read.consistency = Consistency::any;
    read.latency_objective_us = 200'000;
    read.deadline_us = 800'000;
    settings.classes.push_back(read);
    Router router(settings, 42);

    EndpointEntry entry;
    entry.endpoint = 7;
    auto list = std::make_shared<std::vector<EndpointEntry>>(1, entry);
    Arrival arrival;
    arrival.request = 1;
    arrival.deadline = 1'800'000;

    std::vector<Action> actions;
    router.step(1'000'000, {EndpointList{EndpointListKind::cached, list}, arrival}, actions);
    for (const auto& action : actions)
        if (const auto* forward = std::get_if<Forward>(&action)) {
            std::cout << "request " << forward->request << " to endpoint " << forward->endpoint << '\n';
            return 0;
        }
    return 1;
}
