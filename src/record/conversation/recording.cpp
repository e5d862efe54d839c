#include "conversation/recording.h"

#include <algorithm>

namespace sloestack::conversation {
namespace {

Side side_of(streams::Side s) { return s == streams::Side::client ? Side::client : Side::server; }

}  // namespace

Recording::Recording(const std::string& path, const Language& language, const RecordingSettings& settings,
                     Listener& to)
    : reader_(path), language_(language), settings_(settings), to_(to), streams_(settings.streams, *this) {
    memory_.most = settings.most_unfinished;
    if (!pcap::knows_link(reader_.link_type()))
        throw pcap::BadFile(path + ": its link type " + reader_.link_name() + " is not read here");
}

bool Recording::step() {
    if (over_) return false;
    const auto frame = reader_.next();
    if (!frame) {
        over_ = true;
        streams_.finish();
        figures_.tcp = streams_.counters();
        return false;
    }
    ++figures_.packets;
    figures_.bytes += frame->bytes.size();
    const auto time_us = frame->time_ns / 1000;
    if (figures_.first_us && time_us < latest_us_) {
        ++figures_.backwards;
        figures_.farthest_back_us = std::max(figures_.farthest_back_us, latest_us_ - time_us);
    }
    if (!figures_.first_us) figures_.first_us = time_us;
    latest_us_ = std::max(latest_us_, time_us);
    figures_.last_us = latest_us_;
    const auto decoded = pcap::decode(reader_.link_type(), time_us, frame->bytes);
    if (const auto* segment = std::get_if<pcap::Segment>(&decoded))
        streams_.take(*segment);
    else
        ++figures_.skipped[to_text(std::get<pcap::Skip>(decoded))];
    figures_.tcp = streams_.counters();
    return true;
}

void Recording::opened(streams::StreamId id, const streams::Flow& flow, std::int64_t) {
    ++figures_.streams;
    ++figures_.servers[pcap::to_text(flow.server)];
    auto& stream = open_[id];
    stream.name = pcap::to_text(flow.client) + " > " + pcap::to_text(flow.server);
    const auto& wanted = settings_.servers;
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), flow.server) != wanted.end())
        stream.dialect = language_.begin(id, memory_, *this);
    else
        ++figures_.skipped["stream to another server"];
}

void Recording::bytes(streams::StreamId id, streams::Side from, std::string_view bytes,
                      std::int64_t time_us) {
    if (auto& dialect = open_[id].dialect) dialect->read(side_of(from), bytes, time_us);
}

void Recording::gap(streams::StreamId id, streams::Side from, std::uint64_t, streams::Gap why) {
    if (auto& dialect = open_[id].dialect) dialect->lost(side_of(from), latest_us_, streams::to_text(why));
}

void Recording::closed(streams::StreamId id, std::int64_t time_us, streams::End how) {
    ++figures_.ends[streams::to_text(how)];
    const auto found = open_.find(id);
    // Kept until it has had its last word: that names the stream.
    if (found->second.dialect) found->second.dialect->over(time_us);
    open_.erase(found);
}

void Recording::asked(const Asked& a) {
    ++figures_.requests;
    ++figures_.requests_by_class[a.klass.empty() ? "(none)" : std::string(a.klass)];
    if (!a.id.empty()) {
        const std::string id(a.id);
        if (++open_ids_[id] > 1) ++figures_.doubled_ids;
        ids_[{a.connection, a.number}] = id;
    }
    to_.asked(a);
}

void Recording::answered(const Answered& a) {
    ++figures_.answers[to_text(a.kind)];
    if (const auto found = ids_.find({a.connection, a.number}); found != ids_.end()) {
        if (const auto open = open_ids_.find(found->second); open != open_ids_.end() && --open->second == 0)
            open_ids_.erase(open);
        ids_.erase(found);
    }
    to_.answered(a);
}

void Recording::cut(const Cut& c) {
    ++figures_.cuts;
    ++figures_.skipped["direction of a stream cut: " + c.reason.substr(0, c.reason.find(':'))];
    if (figures_.cut.size() < settings_.most_cuts)
        figures_.cut.push_back({open_[c.connection].name, c.side, c.offset, c.reason});
    to_.cut(c);
}

}  // namespace sloestack::conversation
