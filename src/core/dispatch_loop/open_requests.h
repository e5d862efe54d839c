// The submitted requests whose end has not yet been reported to the decision module.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "deadlines/deadlines.h"
#include "traffic/request.h"

namespace sloestack::dispatch {

struct OpenRequest {
    traffic::ResponseSink* sink = nullptr;  // not owned; null once the request is closed
    std::shared_ptr<const traffic::Statement> statement = {};
    int request_class = 0;
    int replica_group = 0;
    decision::SessionId session = 0;
    Time deadline = 0;  // stated by the client
    int attempt_count = 0;
    std::optional<int> streaming_attempt = {};  // the attempt whose value is being streamed to the client
    Deadline overdue_check = {};
};

class OpenRequests {
public:
    // Adds a request under the next free id. The reference is valid until the request is erased.
    std::pair<traffic::RequestId, OpenRequest&> add();
    // Returns null if the request is unknown or has been
    // erased. Closed requests are found until they are erased.
    OpenRequest* find(traffic::RequestId id);
    // Detaches the sink from its request and returns it, so that the caller can send it the response. Returns
    // null if the request is unknown or closed already.
    [[nodiscard]] traffic::ResponseSink* close(traffic::RequestId id);

    // Returns the requests closed since the last call. The caller erases them once their end has been
    // reported to the decision module.
    std::vector<traffic::RequestId> take_closed();
    void erase(const std::vector<traffic::RequestId>& ids);

    // The number of requests that are not closed.
    std::size_t size() const { return requests_.size() - closed_.size(); }

private:
    std::unordered_map<traffic::RequestId, OpenRequest> requests_;
    std::vector<traffic::RequestId> closed_;
    traffic::RequestId last_id_ = 0;
};

}  // namespace sloestack::dispatch
