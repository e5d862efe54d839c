#include "dispatch_loop/open_requests.h"

#include <utility>

namespace sloestack::dispatch {

std::pair<traffic::RequestId, OpenRequest&> OpenRequests::add() {
    const auto id = ++last_id_;
    return {id, requests_[id]};
}

OpenRequest* OpenRequests::find(traffic::RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

traffic::ResponseSink* OpenRequests::close(traffic::RequestId id) {
    auto* request = find(id);
    if (!request || !request->sink) return nullptr;
    request->overdue_check.clear();
    closed_.push_back(id);
    return std::exchange(request->sink, nullptr);
}

std::vector<traffic::RequestId> OpenRequests::take_closed() {
    std::vector<traffic::RequestId> out;
    out.swap(closed_);
    return out;
}

void OpenRequests::erase(const std::vector<traffic::RequestId>& ids) {
    for (const auto id : ids) requests_.erase(id);
}

}  // namespace sloestack::dispatch
