// The requests that have been submitted and that the decision module still knows of.
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
    Time deadline = 0;  // the client's
    int attempt_count = 0;
    std::optional<int> streaming_attempt = {};  // the attempt whose answer is being streamed to the client
    Deadline overdue_check = {};
};

class OpenRequests {
public:
    // A new request under the next free id; the reference stays valid until it is erased.
    std::pair<traffic::RequestId, OpenRequest&> add();
    // Null if the request is unknown or has been erased. A closed request is found until then.
    OpenRequest* find(traffic::RequestId id);
    // Detaches the sink from its request and returns it, for the one response still owed to it. Null if the
    // request is unknown or closed already.
    [[nodiscard]] traffic::ResponseSink* close(traffic::RequestId id);

    // The requests closed since the last call. They are erased once the decision module has heard of their
    // end.
    std::vector<traffic::RequestId> take_closed();
    void erase(const std::vector<traffic::RequestId>& ids);

    // How many are not closed.
    std::size_t size() const { return requests_.size() - closed_.size(); }

private:
    std::unordered_map<traffic::RequestId, OpenRequest> requests_;
    std::vector<traffic::RequestId> closed_;
    traffic::RequestId last_id_ = 0;
};

}  // namespace sloestack::dispatch
