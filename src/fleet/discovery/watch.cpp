#include "discovery/watch.h"

#include "comeback/comeback.h"
#include "log/log.h"

namespace sloestack::discovery {
namespace {

// How long discovery may hold a call back. What it has to tell counts as told 2 s after that at the latest,
// so a silent call is given up before then.
constexpr Micros kWait = 10'000'000;
constexpr Micros kSilence = 1'800'000;
constexpr std::size_t kMostUnread = 256 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& at, std::string host, Reader& lists,
             std::optional<std::int64_t> revision, traffic::ListReader& reader, std::uint64_t seed)
    : loop_(loop),
      deadlines_(deadlines),
      at_(at),
      host_(std::move(host)),
      lists_(lists),
      revision_(revision),
      reader_(reader),
      hold_(nettletrestle::route::first_hold(seed, kWait)) {}

void Watch::start() {
    if (running_) return;
    running_ = true;
    call();
}

void Watch::move(const sockaddr_in& at, std::string host) {
    at_ = at;
    host_ = std::move(host);
    revision_.reset();
    response_.reset();
    connection_.reset();
    patience_.clear();
    running_ = false;
    start();
}

void Watch::call() {
    response_.emplace();
    reused_ = connection_ != nullptr;
    if (connection_) return write_call();
    up_ = false;
    patience_.set(deadlines_, deadlines_.now() + kSilence, [this] { failed("cannot connect in time"); });
    connection_ = net::Connection::open(loop_, at_, kMostUnread, *this);
    if (!connection_) failed("no socket");
}

void Watch::connected() {
    up_ = true;
    write_call();
}

void Watch::write_call() {
    patience_.set(deadlines_, deadlines_.now() + kSilence + (revision_ ? hold_ : 0), [this] { silent(); });
    std::string call = "GET /registry/instances";
    if (revision_)
        call += "?after=" + std::to_string(*revision_) + "&wait_ms=" + std::to_string(hold_ / 1000);
    connection_->write(call + " HTTP/1.1\r\nHost: " + host_ + "\r\nAccept: application/json\r\n\r\n");
}

void Watch::received() {
    if (!response_) return failed("an answer to no call");
    try {
        connection_->consume(response_->feed(connection_->unread()));
        if (response_->done()) answered();
    } catch (const std::runtime_error& error) {
        failed(error.what());
    }
}

void Watch::answered() {
    const auto response = std::move(*response_);
    response_.reset();
    if (response.status() != 200) return failed("status " + std::to_string(response.status()));
    auto list = lists_.read(response.body(), revision_);
    if (revision_) hold_ = kWait;
    revision_ = list.revision;
    if (!response.keeps_open()) connection_.reset();
    reader_.listed(list.complete ? nettletrestle::ListKind::complete : nettletrestle::ListKind::changes,
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
        answered();
    } catch (const std::runtime_error& error) {
        failed(error.what());
    }
}

// What a silent watch has missed counts as told soon after its wait was over, so it is opened anew at once,
// and not after a failed call's wait. Harm: none that adds up, since each proxy's were held for a time of
// their own.
void Watch::silent() {
    if (!revision_) return failed("no answer in time");
    log::line("discovery silent", "the watch is opened anew");
    hold_ = kWait;
    response_.reset();
    connection_.reset();
    call();
}

void Watch::failed(const std::string& why) {
    log::line("discovery failed", why);
    running_ = false;
    response_.reset();
    connection_.reset();
    patience_.clear();
    reader_.listed(nettletrestle::ListKind::failed, {});
}

}  // namespace sloestack::discovery
