// A crowd of clients that occupy connections to one proxy and send no request: nothing at all, a start-up
// message, or a part of a message. A connection that the proxy closes is opened again after a while.
#pragma once

#include <memory>
#include <vector>

#include "deadlines/deadlines.h"
#include "emulator/values.h"
#include "transport/connection.h"

namespace emulator {

class Crowd {
public:
    // Connects `size` clients to `proxy` at once. All references must outlive this object, whose destruction
    // closes the connections.
    Crowd(sloestack::net::Loop& loop, sloestack::Deadlines& deadlines, const sockaddr_in& proxy, int size,
          std::uint64_t seed);
    ~Crowd();

private:
    class Member;

    sloestack::net::Loop& loop_;
    sloestack::Deadlines& deadlines_;
    sockaddr_in proxy_;
    Random random_;
    std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace emulator
