#include "http/request.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sloestack::http {
namespace {

// Returns the position after the empty line that ends the head, or `std::nullopt` if `text` does not have it
// yet.
std::optional<std::size_t> end_of_head(std::string_view text, std::size_t from) {
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1, 1) == "\n") return at + 2;
        if (text.substr(at + 1, 2) == "\r\n") return at + 3;
    }
    return std::nullopt;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
}

std::string percent_decode(std::string_view text) {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            out.push_back(text[at] == '+' ? ' ' : text[at]);
            continue;
        }
        unsigned code = 0;
        const auto digits = text.substr(at + 1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
        if (digits.size() < 2 || error != std::errc() || end != digits.data() + 2)
            throw RequestError("a query parameter has a percent escape without two hexadecimal digits");
        out.push_back(static_cast<char>(code));
        at += 2;
    }
    return out;
}

}  // namespace

void RequestParser::feed(std::string_view bytes) {
    if (!head_done_) {
        const auto is_control = [](unsigned char byte) {
            return (byte < 0x20 && byte != '\r' && byte != '\n' && byte != '\t') || byte == 0x7f;
        };
        const auto old_size = head_.size();
        head_.append(bytes.substr(0, kMaxHeadBytes + 1 - old_size));
        const auto end = end_of_head(head_, old_size < 3 ? 0 : old_size - 3);
        if (end) head_.resize(*end);
        // Rejects binary input at its first control character instead of waiting for an end of the head.
        if (std::any_of(head_.begin() + static_cast<std::ptrdiff_t>(std::min(old_size, head_.size())),
                        head_.end(), is_control))
            throw RequestError("the head contains a control character");
        if (!end && head_.size() > kMaxHeadBytes) throw RequestError("the head is larger than 8 KiB");
        if (!end) return;
        bytes.remove_prefix(std::min(bytes.size(), *end > old_size ? *end - old_size : 0));
        head_done_ = true;
        read_head();
    }
    body_left_ -= std::min(body_left_, bytes.size());
}

void RequestParser::read_head() {
    std::string_view left = head_;
    for (bool first = true; !left.empty(); first = false) {
        const auto end = left.find('\n');
        auto line = left.substr(0, end);
        left.remove_prefix(end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        if (line.find('\r') != std::string_view::npos)
            throw RequestError("a line of the head contains a carriage return");
        if (first)
            read_request_line(line);
        else if (!line.empty())
            read_header(line);
    }
}

void RequestParser::read_request_line(std::string_view line) {
    const auto first = line.find(' '), last = line.rfind(' ');
    if (first == 0 || first == last || line.substr(last + 1, 7) != "HTTP/1." || line.size() != last + 9)
        throw RequestError("the request line is not METHOD TARGET HTTP/1.x");
    method_ = line.substr(0, first);
    if (!std::all_of(method_.begin(), method_.end(),
                     [](unsigned char letter) { return std::isupper(letter); }))
        throw RequestError("the method has characters other than capital letters");
    const auto target = line.substr(first + 1, last - first - 1);
    if (target.empty() || target[0] != '/' || target.find(' ') != std::string_view::npos)
        throw RequestError("the request target does not begin with / or contains a space");
    const auto query_at = target.find('?');
    path_ = target.substr(0, query_at);
    if (query_at != std::string_view::npos) query_ = target.substr(query_at + 1);
}

void RequestParser::read_header(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        throw RequestError("a header line has no name before a colon");
    const auto name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos)
        throw RequestError("a header name contains white space");
    if (equal_ignoring_case(name, "transfer-encoding"))
        throw RequestError("Transfer-Encoding is not supported");
    if (!equal_ignoring_case(name, "content-length")) return;
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
    if (error != std::errc() || end != value.data() + value.size() || size > kMaxBodyBytes ||
        (has_content_length_ && size != body_left_))
        throw RequestError("Content-Length is not a number, is above 64 KiB or contradicts an earlier one");
    body_left_ = size;
    has_content_length_ = true;
}

std::optional<std::string> RequestParser::parameter(std::string_view name) const {
    std::string_view left = query_;
    while (!left.empty()) {
        const auto pair = left.substr(0, left.find('&'));
        left.remove_prefix(std::min(left.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (percent_decode(pair.substr(0, equals)) != name) continue;
        return equals == std::string_view::npos ? std::string() : percent_decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

}  // namespace sloestack::http
