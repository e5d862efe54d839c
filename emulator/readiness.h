// Asks what the platform's front asks of a proxy: an empty query, again and again until it is answered.
#pragma once

#include <functional>
#include <memory>

#include "emulator/edge.h"

namespace emulator {

class Readiness final : public sloestack::net::ConnectionEvents {
public:
    // `edge` must outlive it. `ready` is called once, and may destroy it.
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
    sloestack::Deadline again_;
    std::unique_ptr<Line> line_;
};

}  // namespace emulator
