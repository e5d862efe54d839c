// Replays a recording against a live address: plays each step when it is due, with the same connections as
// recorded, and compares each response with the recorded one. Reads the file ahead by a bounded number of
// bytes.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "conversation/recording.h"
#include "deadlines/deadlines.h"
#include "histogram/histogram.h"
#include "schedule/schedule.h"
#include "transport/connection.h"
#include "writer/writer.h"

namespace sloestack::replay {

// A request of the file. Kept until both its live response and its recorded response are known.
struct Request {
    std::uint64_t connection = 0;
    std::uint32_t number = 0;
    int round = 0;
    std::string id, request_class, key, bytes;
    bool resent = false;
    Micros left = 0;  // how long the client waits for the response; 0 if not stated
    Time due = 0, sent_at = 0;
    std::optional<conversation::ResponseEvent> recorded, live;
};

// Called with a null response when a request is sent, and again with its response.
using Checker = std::function<void(const Request&, const conversation::ResponseEvent*)>;

struct Settings {
    std::string path;
    sockaddr_in to{};
    schedule::Settings schedule;
    conversation::RecordingSettings recording;
    std::size_t max_read_ahead_bytes = 4 * 1024 * 1024;  // bytes of requests that were read and not sent yet
    std::size_t max_listed_differences = 1000;  // differences listed in Report::named; all are counted
    Checker checker;                            // may be empty
};

struct Difference {
    std::uint64_t connection = 0;  // number of the stream in the file
    std::uint32_t number = 0;
    int round = 0;
    std::string id, request_class, what;
    conversation::Cause cause = conversation::Cause::none;
};

struct Report {
    std::uint64_t sent = 0, same = 0, different = 0, unexplained = 0, unrecorded = 0;
    std::uint64_t connections = 0, reconnects = 0, broken = 0, resent = 0;
    std::map<std::string, std::uint64_t> answers, skipped, causes;
    struct Class {
        std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, none = 0;
        histogram::Histogram latency_us;
    };
    std::map<std::string, Class> classes;
    std::vector<Difference> named;
    histogram::Histogram late_us;      // lateness of all requests sent
    histogram::Histogram own_late_us;  // lateness of requests that the schedule did not delay
};

class Replay final : private conversation::Listener {
public:
    // Starts at `start`, on the clock of `deadlines`. If `capture` is not null, both directions of all live
    // connections are written to it. Throws pcap::CaptureFileError if the file cannot be read, and
    // std::invalid_argument if a setting is out of range.
    Replay(net::Loop& loop, Deadlines& deadlines, const Settings& settings,
           const conversation::Language& language, Time start, writer::Writer* capture);
    ~Replay();

    // Reads ahead and plays the steps that are due. To be called in each event-loop iteration after the
    // expired deadlines have run.
    void work();
    bool over() const { return finished_; }
    const Report& report() const { return report_; }
    const schedule::Schedule& schedule() const { return schedule_; }
    const conversation::Figures& file() { return recording_->figures(); }
    const std::string& file_fault() const { return recording_->fault(); }

private:
    class LiveConnection;
    using Ticket = schedule::Ticket;

    // Events of the file.
    void opened(const conversation::Opened& o) override;
    void asked(const conversation::RequestEvent& a) override;
    void answered(const conversation::ResponseEvent& a) override;
    void closed(conversation::ConnectionId connection, Time at) override;

    void read_ahead();
    void begin_round();
    Ticket ticket_of(std::uint64_t connection, std::uint32_t number) const;
    void play(const schedule::Due& due);
    void skip(Ticket ticket, const char* why);
    void add_live_response(Ticket ticket, conversation::ResponseEvent answer);
    void compare_responses(Ticket ticket);
    void close(std::uint64_t connection);
    void wake_at(Time at);

    net::Loop& loop_;
    Deadlines& deadlines_;
    Settings settings_;
    const conversation::Language& language_;
    writer::Writer* capture_;
    schedule::Schedule schedule_;
    std::unique_ptr<conversation::Recording> recording_;
    conversation::Memory memory_;
    bool is_file_read_ = false, finished_ = false;
    std::uint64_t opened_connections_ = 0;
    std::size_t read_ahead_bytes_ = 0;
    std::unordered_map<std::uint64_t, std::string>
        startup_messages_;  // by connection of the run, until it is opened
    std::unordered_map<Ticket, Request> requests_;
    std::unordered_map<std::uint64_t, std::unique_ptr<LiveConnection>> live_connections_;
    std::uint64_t last_ticket_ = 0;
    Deadline wake_;
    Report report_;
};

}  // namespace sloestack::replay
