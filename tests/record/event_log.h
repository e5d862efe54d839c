// A listener that records its events as text, and one connection of a dialect that reports to it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "conversation/conversation.h"

namespace sloestack::conversation {

struct EventLog final : Listener {
    std::vector<std::string> lines;
    std::vector<Digest> digests;
    void opened(const Opened& o) override { lines.push_back("opened " + std::to_string(o.bytes.size())); }
    void greeted(ConnectionId, Time, const Digest&) override { lines.push_back("greeted"); }
    void asked(const RequestEvent& a) override {
        lines.push_back("asked " + std::to_string(a.number) + " " + std::string(a.id) + " " +
                        std::string(a.request_class) + " " + std::string(a.key) + " " +
                        std::to_string(a.left) + (a.ahead ? " ahead" : "") + (a.repeat ? " repeat" : ""));
    }
    void answered(const ResponseEvent& a) override {
        lines.push_back("answered " + std::to_string(a.number) + " " + to_text(a.kind) + " " + a.code +
                        (a.advice ? " " + std::to_string(*a.advice) : ""));
        digests.push_back(a.digest);
    }
    void cut(const Cut& c) override {
        lines.push_back(std::string("cut ") + (c.side == Side::client ? "client " : "server ") +
                        std::to_string(c.offset) + " " + c.reason);
    }
};

struct DialectSession {
    explicit DialectSession(const Language& language = postgres())
        : dialect(language.begin(1, memory, events)) {}
    Memory memory;
    EventLog events;
    std::unique_ptr<Dialect> dialect;
    // Passes `bytes` to the dialect in pieces of `step` bytes.
    void send(Side from, const std::string& bytes, std::size_t step = std::string::npos) {
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            dialect->read(from, std::string_view(bytes).substr(at, step), 7);
            if (step == std::string::npos) break;
        }
    }
};

}  // namespace sloestack::conversation
