// The health check of the platform's front: sends an empty query to a proxy, repeatedly, until it gets a
// response.
#pragma once

#include <functional>
#include <memory>

#include "emulator/edge.h"

namespace emulator {

class Readiness final : public sloestack::net::ConnectionEvents {
public:
    // Begins at once. `edge` must outlive this object. `ready` is called once, and may destroy it.
    Readiness(const Line::Host& host, const Edge& edge, const sockaddr_in& at, std::function<void()> ready);

    void connected() override;
    void received() override;
    void ended(sloestack::net::ConnectionEnd how) override;

private:
    void open();

    Line::Host host_;
    const Edge& edge_;
    sockaddr_in at_;
    std::function<void()> ready_;
    sloestack::Deadline retry_;
    std::unique_ptr<Line> line_;
};

}  // namespace emulator
