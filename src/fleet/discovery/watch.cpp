#include "discovery/watch.h"

#include <algorithm>

#include "log/log.h"

namespace sloestack::discovery {
namespace {

constexpr Micros kLeastHold = 1'000;  // a call that is not held is answered at once, with or without changes
constexpr std::size_t kMostUnread = 256 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& at, std::string host, Reader& lists,
             std::optional<std::int64_t> revision, traffic::EndpointListListener& reader,
             const decision::PollTimeouts& times)
    : loop_(loop),
      deadlines_(deadlines),
      at_(at),
      host_(std::move(host)),
      lists_(lists),
      revision_(revision),
      reader_(reader),
      times_(times) {}

void Watch::start() {
    if (running_) return;
    running_ = true;
    call();
}

void Watch::move(const sockaddr_in& at, std::string host) {
    at_ = at;
    host_ = std::move(host);
    revision_.reset();
    lists_.moved();
    response_.reset();
    connection_.reset();
    patience_.clear();
    times_.on_address_change();
    running_ = false;
    start();
}

void Watch::call() {
    response_.emplace();
    begun_at_ = deadlines_.now();
    next_ = times_.next();
    reused_ = connection_ != nullptr;
    if (connection_) return write_call();
    up_ = false;
    const auto connected_by = begun_at_ + std::min(next_.timeout_us, decision::PollBackoff::kPollTimeoutUs);
    patience_.set(deadlines_, connected_by, [this] { failed("cannot connect in time"); });
    connection_ = net::Connection::open(loop_, at_, kMostUnread, *this);
    if (!connection_) failed("no socket");
}

void Watch::connected() {
    up_ = true;
    write_call();
}

// The time that its connection took comes off the hold: the sum is what counts.
void Watch::write_call() {
    std::string call = "GET /registry/instances";
    if (revision_) {
        const Micros hold = std::max(kLeastHold, next_.hold_us - (deadlines_.now() - begun_at_));
        call += "?after=" + std::to_string(*revision_) + "&wait_ms=" + std::to_string(hold / 1000);
    }
    patience_.set(deadlines_, begun_at_ + next_.timeout_us, [this] { silent(); });
    connection_->write(call + " HTTP/1.1\r\nHost: " + host_ + "\r\nAccept: application/json\r\n\r\n");
}

void Watch::received() {
    if (!response_) return failed("an answer to no call");
    try {
        connection_->consume(response_->feed(connection_->unread()));
        if (response_->done()) on_list();
    } catch (const std::runtime_error& error) {
        failed(error.what());
    }
}

void Watch::on_list() {
    const auto response = std::move(*response_);
    response_.reset();
    if (response.status() != 200) return failed("status " + std::to_string(response.status()), true);
    auto list = lists_.read(response.body(), revision_);
    times_.on_list(is_held());
    revision_ = list.revision;
    called_ = true;
    if (!response.keeps_open()) connection_.reset();
    reader_.on_endpoint_list(
        list.complete ? decision::EndpointListKind::complete : decision::EndpointListKind::changes,
        std::move(list.members));
    call();  // at once: later than 200 ms after the answer it would be a new watch
}

void Watch::ended(net::Ending how) {
    connection_.reset();
    if (!response_) return;
    // A connection that had been kept open may have been closed as the call crossed: not a failed call.
    if (up_ && reused_ && response_->status() == 0) return call();
    if (how == net::Ending::end_of_input) response_->end_of_input();
    if (!response_->done()) return failed(up_ ? "the connection broke" : "cannot connect");
    try {
        on_list();
    } catch (const std::runtime_error& error) {
        failed(error.what());
    }
}

// What a silent watch has missed is on its way to count as told, so it is opened anew at once, and not after
// a failed call's wait. Harm: none that adds up, since each proxy's were held for a time of their own.
void Watch::silent() {
    if (!is_held()) return failed("no answer in time");
    log::line("discovery silent", "watch reopened");
    times_.on_silence(true);
    response_.reset();
    connection_.reset();
    call();
}

void Watch::failed(const std::string& why, bool refused) {
    log::line("discovery failed", why);
    refused ? times_.on_rejection(is_held()) : times_.on_silence(is_held());
    running_ = false;
    called_ = true;
    response_.reset();
    connection_.reset();
    patience_.clear();
    reader_.on_poll_failed({refused, deadlines_.now() - begun_at_});
}

}  // namespace sloestack::discovery
