#include "sessions/response_writer.h"

#include <algorithm>
#include <array>

#include "invariant/invariant.h"
#include "log/log.h"
#include "pgwire/build.h"
#include "sessions/response_messages.h"

namespace sloestack::downstream {
namespace {

using metrics::ResponseKind;

// How much of a streamed response may be buffered here before its source is paused.
constexpr std::size_t kStreamWindowBytes = std::size_t{64} * 1024;
constexpr std::array<char, std::size_t{64} * 1024> kZeros{};

}  // namespace

void ResponseWriter::submit(ParsedStatement statement) {
    auto query = std::make_unique<Query>(*this, statement.request.arrival.request_class);
    query->id = std::move(statement.id);
    query->submitted_at = context_.deadlines.now();
    queries_.push_back(std::move(query));
    auto& last = *queries_.back();
    last.request = context_.dispatcher.submit(std::move(statement.request), last);
}

void ResponseWriter::respond(std::string bytes, int request_class) {
    if (queries_.empty()) return connection_->write(bytes);
    queries_.push_back(std::make_unique<Query>(*this, request_class));
    buffer_response(*queries_.back(), std::move(bytes));
}

void ResponseWriter::cancel_first() {
    auto& first = *queries_.front();
    cancel_request(first);
    context_.metrics.count_response(first.request_class, ResponseKind::failed);
    complete(first, error_response(pgwire::code::kQueryCanceled, "canceled at the client's request"));
}

void ResponseWriter::fail_all() {
    if (is_streaming()) fill_up(*queries_.front());
    for (auto& query : queries_) {
        auto bytes = take_buffered_response(*query);
        if (query->request || query->padding) {
            if (query->request) context_.metrics.count_response(query->request_class, ResponseKind::failed);
            cancel_request(*query);
            bytes = error_response(pgwire::code::kAdminShutdown, "the proxy is stopping");
        }
        connection_->write(bytes);
    }
}

void ResponseWriter::fill_up(Query& query) {
    while (query.value_bytes_left > 0) {
        const auto size = std::min(query.value_bytes_left, kZeros.size());
        // Without a copy: `kZeros` needs no owner.
        connection_->write({kZeros.data(), size}, std::shared_ptr<const void>());
        query.value_bytes_left -= size;
    }
}

void ResponseWriter::discard_all() {
    for (auto& query : queries_) {
        take_buffered_response(*query);
        cancel_request(*query);
    }
    queries_.clear();
}

void ResponseWriter::on_value(Query& query, const traffic::ResultValue& value) {
    context_.metrics.count_response(query.request_class, ResponseKind::served);
    complete(query, value_response(value));
}

void ResponseWriter::on_value_started(Query& query, const traffic::ResultValue& head, std::size_t size,
                                      traffic::ResponseSource& source) {
    auto bytes = value_response_head(head, size);
    query.source = &source;
    query.value_bytes_left = size;
    if (!is_first(query)) {
        source.set_paused(true);
        return buffer_response(query, std::move(bytes));
    }
    connection_->write(bytes);
    owner_.response_progressed();
}

void ResponseWriter::on_value_chunk(Query& query, std::string_view bytes) {
    if (!SLOESTACK_INVARIANT(is_first(query), "only the first open query streams its response")) return;
    connection_->write(bytes);
    query.value_bytes_left -= bytes.size();
    const std::size_t window = context_.account.is_exceeded() ? 0 : kStreamWindowBytes;
    if (connection_->unwritten_bytes() > window) query.source->set_paused(true);
    owner_.response_progressed();
}

void ResponseWriter::on_value_completed(Query& query, const std::string& command_tag) {
    context_.metrics.count_response(query.request_class, ResponseKind::served);
    complete(query, value_response_end(command_tag));
}

void ResponseWriter::on_value_aborted(Query& query) {
    if (!is_first(query)) {
        // No part of the response has been written.
        take_buffered_response(query);
        return on_failed(query);
    }
    context_.metrics.count_response(query.request_class, ResponseKind::failed);
    detach_request(query, RequestEnd::abandoned);
    if (!has_queries_behind_first()) return owner_.response_incomplete();
    query.padding = std::make_unique<ValuePadding>(query.value_bytes_left, query);
    query.source = query.padding.get();
    const bool must_wait = connection_->unwritten_bytes() > kStreamWindowBytes;
    if (!must_wait) query.padding->set_paused(false);
}

void ResponseWriter::on_padding_completed(Query& query) {
    context_.loop.delete_later(std::move(query.padding));
    complete(query, error_response(pgwire::code::kSystemError, "the endpoint broke the response off"),
             RequestEnd::abandoned);
}

void ResponseWriter::on_rejected(Query& query, Micros retry_after) {
    context_.metrics.count_response(query.request_class, ResponseKind::rejected);
    complete(query, rejection_response(retry_after), RequestEnd::not_executed);
}

void ResponseWriter::on_failed(Query& query) {
    context_.metrics.count_response(query.request_class, ResponseKind::failed);
    complete(query, error_response(pgwire::code::kSystemError, "no endpoint responded in time"),
             RequestEnd::abandoned);
}

traffic::ClientPresence ResponseWriter::client_presence(const Query& query) {
    const auto presence = owner_.client_presence();
    if (presence != traffic::ClientPresence::disconnected) return presence;
    context_.session_metrics.count_dropped_request();
    const Time now = context_.deadlines.now();
    if (context_.dropped_request_lines.allows(now))
        log::line("client disconnected",
                  "request " + query.id + " gets no attempt, " +
                      std::to_string((now - query.submitted_at) / kMicrosPerMillisecond) +
                      " ms after it was read");
    return presence;
}

void ResponseWriter::complete(Query& query, std::string bytes, RequestEnd end) {
    detach_request(query, end);
    query.source = nullptr;
    if (!is_first(query)) return buffer_response(query, std::move(bytes));
    connection_->write(bytes);
    queries_.pop_front();
    continue_with_next();
}

void ResponseWriter::continue_with_next() {
    last_response_at_ = context_.deadlines.now();
    while (!queries_.empty() && !queries_.front()->request) {
        connection_->write(take_buffered_response(*queries_.front()));
        queries_.pop_front();
    }
    if (queries_.empty()) return owner_.all_responses_written();
    owner_.response_written();
    if (!is_streaming()) return;
    auto& first = *queries_.front();
    connection_->write(take_buffered_response(first));
    owner_.response_progressed();
    first.source->set_paused(false);  // last, because it may deliver chunks and the end of the value at once
}

void ResponseWriter::buffer_response(Query& query, std::string bytes) {
    SLOESTACK_INVARIANT(query.buffered_response.empty(), "a query has at most one buffered response");
    context_.account.add(bytes.size());
    query.buffered_response = std::move(bytes);
}

std::string ResponseWriter::take_buffered_response(Query& query) {
    context_.account.remove(query.buffered_response.size());
    return std::exchange(query.buffered_response, {});
}

traffic::RequestId ResponseWriter::detach_request(Query& query, RequestEnd end) {
    if (!query.id.empty()) {
        if (may_execute_again(query, end))
            context_.request_ids.close(query.id);
        else
            context_.request_ids.retain(query.id, context_.deadlines.now());
    }
    query.id.clear();
    return std::exchange(query.request, 0);
}

// Only reads may overlap, and a read whose response is complete is not running.
bool ResponseWriter::may_execute_again(const Query& query, RequestEnd end) const {
    if (end == RequestEnd::not_executed) return true;
    const auto index = static_cast<std::size_t>(query.request_class);
    return end == RequestEnd::responded && context_.class_may_overlap[index];
}

void ResponseWriter::cancel_request(Query& query) {
    query.source = nullptr;
    if (const auto request = detach_request(query, RequestEnd::abandoned))
        context_.dispatcher.cancel_request(request);
}

}  // namespace sloestack::downstream
