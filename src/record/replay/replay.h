// Plays a recording against a live address: every step when the schedule says, each connection as recorded,
// and each answer compared with the recorded one. Reads the file ahead by a bounded number of bytes.
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

struct Request {  // kept until it is answered and its recorded answer is known
    std::uint64_t connection = 0;
    std::uint32_t number = 0;
    int round = 0;
    std::string id, request_class, key, bytes;
    bool resent = false;
    Micros left = 0;
    Time due = 0, sent_at = 0;
    std::optional<conversation::ResponseEvent> recorded, live;
};

// Told of each request as it leaves, with null, and of its answer.
using Checker = std::function<void(const Request&, const conversation::ResponseEvent*)>;

struct Settings {
    std::string path;
    sockaddr_in to{};
    schedule::Settings schedule;
    conversation::RecordingSettings recording;
    std::size_t most_ahead = 4 * 1024 * 1024;  // bytes of requests read and not yet sent
    std::size_t most_named = 1000;             // differences named one by one; all are counted
    Checker checker;                           // may be empty
};

struct Difference {
    std::uint64_t connection = 0;  // of the file, in the order in which its streams begin
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
    histogram::Histogram late_us;      // of all that was sent, whatever held it
    histogram::Histogram own_late_us;  // of what neither its connection, an id nor a limit held
};

class Replay final : private conversation::Listener {
public:
    // Starts at `start`, on the deadlines' clock. Throws pcap::CaptureFileError or std::invalid_argument.
    // `out` may be null; it gets both sides of all that happens.
    Replay(net::Loop& loop, Deadlines& deadlines, const Settings& settings,
           const conversation::Language& language, Time start, writer::Writer* out);
    ~Replay();

    // Reads ahead and does what is due; to be called every turn, after the deadlines are swept.
    void work();
    bool over() const { return finished_; }
    const Report& report() const { return report_; }
    const schedule::Schedule& schedule() const { return schedule_; }
    const conversation::Figures& file() { return recording_->figures(); }
    const std::string& file_fault() const { return recording_->fault(); }

private:
    class Live;
    using Ticket = schedule::Ticket;

    // What the file holds
    void opened(const conversation::Opened& o) override;
    void asked(const conversation::RequestEvent& a) override;
    void answered(const conversation::ResponseEvent& a) override;
    void closed(conversation::ConnectionId connection, Time at) override;

    void read_ahead();
    void begin_round();
    Ticket ticket_of(std::uint64_t connection, std::uint32_t number) const;
    void carry_out(const schedule::Due& due);
    void skip(Ticket ticket, const char* why);
    void live_answer(Ticket ticket, conversation::ResponseEvent answer);
    void settle(Ticket ticket);
    void close(std::uint64_t connection);
    void wake_at(Time at);

    net::Loop& loop_;
    Deadlines& deadlines_;
    Settings settings_;
    const conversation::Language& language_;
    writer::Writer* out_;
    schedule::Schedule schedule_;
    std::unique_ptr<conversation::Recording> recording_;
    conversation::Memory memory_;
    bool file_over_ = false, finished_ = false;
    std::uint64_t opened_live_ = 0;
    std::size_t ahead_ = 0;
    std::unordered_map<std::uint64_t, std::string> openings_;  // by connection of the run, until it opens
    std::unordered_map<Ticket, Request> requests_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Live>> live_;
    std::uint64_t last_ticket_ = 0;
    Deadline wake_;
    Report report_;
};

}  // namespace sloestack::replay
