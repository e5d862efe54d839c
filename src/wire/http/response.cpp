#include "http/response.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sloestack::http {
namespace {

std::string lower(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string_view trim(std::string_view text) {
    const auto from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

std::size_t number(std::string_view text, int base) {
    std::size_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
    if (error != std::errc() || end != text.data() + text.size())
        throw ResponseError("a length is no number");
    if (out > ResponseParser::kMaxBodyBytes) throw ResponseError("the body is too large");
    return out;
}

}  // namespace

std::size_t ResponseParser::feed(std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size() && !done()) {
        const auto rest = bytes.substr(taken);
        switch (state_) {
            case State::sized:
            case State::chunk: {
                const auto part = rest.substr(0, left_);
                append(part);
                taken += part.size();
                left_ -= part.size();
                if (left_ == 0) state_ = state_ == State::sized ? State::done : State::chunk_end;
                break;
            }
            case State::until_close:
                append(rest);
                taken += rest.size();
                break;
            default: {  // a line
                const auto end = rest.find('\n');
                const auto part = rest.substr(0, end);
                head_ += part.size() + 1;
                if (head_ > kMaxHeadBytes) throw ResponseError("the head is too large");
                line_.append(part);
                taken += part.size();
                if (end == std::string_view::npos) break;
                ++taken;
                if (!line_.empty() && line_.back() == '\r') line_.pop_back();
                const auto text = std::move(line_);
                line_.clear();
                line(text);
            }
        }
    }
    return taken;
}

void ResponseParser::end_of_input() {
    if (state_ == State::until_close) state_ = State::done;
    keep_open_ = false;
}

void ResponseParser::line(std::string_view text) {
    switch (state_) {
        case State::status:
            return status_line(text);
        case State::headers:
            return text.empty() ? head_done() : header(text);
        case State::chunk_size:
            head_ = 0;
            left_ = number(trim(text.substr(0, text.find(';'))), 16);
            state_ = left_ ? State::chunk : State::trailers;
            return;
        case State::chunk_end:
            if (!text.empty()) throw ResponseError("a chunk is longer than its size");
            state_ = State::chunk_size;
            return;
        default:  // trailers
            if (text.empty()) state_ = State::done;
    }
}

void ResponseParser::status_line(std::string_view text) {
    if (text.substr(0, 7) != "HTTP/1." || text.size() < 12 || text[8] != ' ')
        throw ResponseError("not an HTTP/1 response");
    keep_open_ = text[7] != '0';
    status_ = static_cast<int>(number(text.substr(9, 3), 10));
    state_ = State::headers;
}

void ResponseParser::header(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) throw ResponseError("a header without a colon");
    const auto name = lower(text.substr(0, colon));
    const auto value = lower(trim(text.substr(colon + 1)));
    if (name == "content-length") {
        left_ = number(value, 10);
        sized_ = true;
    } else if (name == "transfer-encoding") {
        if (value != "chunked") throw ResponseError("an unknown transfer encoding");
        chunked_ = true;
    } else if (name == "connection") {
        if (value == "close") keep_open_ = false;
        if (value == "keep-alive") keep_open_ = true;
    }
}

void ResponseParser::head_done() {
    if (status_ >= 100 && status_ < 200) {  // an interim response; the real one follows
        *this = ResponseParser();
    } else if (status_ == 204 || status_ == 304) {
        state_ = State::done;
    } else if (chunked_) {
        state_ = State::chunk_size;
    } else if (sized_) {
        state_ = left_ ? State::sized : State::done;
    } else {
        state_ = State::until_close;
        keep_open_ = false;
    }
}

void ResponseParser::append(std::string_view bytes) {
    if (body_.size() + bytes.size() > kMaxBodyBytes) throw ResponseError("the body is too large");
    body_.append(bytes);
}

}  // namespace sloestack::http
