#include "sessions/cancel_keys.h"

#include "sessions/client_session.h"

namespace sloestack::downstream {

CancelKey CancelKeys::add(ClientSession& session) {
    ++last_process_;
    const CancelKey key{last_process_, static_cast<std::uint32_t>(random_())};
    sessions_[key.process] = {key.secret, &session};
    return key;
}

bool CancelKeys::cancel(const CancelKey& key) const {
    const auto found = sessions_.find(key.process);
    if (found == sessions_.end() || found->second.secret != key.secret) return false;
    found->second.session->cancel();
    return true;
}

}  // namespace sloestack::downstream
