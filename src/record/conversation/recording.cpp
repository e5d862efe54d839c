#include "conversation/recording.h"

#include <algorithm>

namespace sloestack::conversation {
namespace {

Side side_of(streams::Side s) { return s == streams::Side::client ? Side::client : Side::server; }

}  // namespace

Recording::Recording(const std::string& path, const Language& language, const RecordingSettings& settings,
                     Listener& to)
    : reader_(path), language_(language), settings_(settings), to_(to), streams_(settings.streams, *this) {
    check_link(path);
}

Recording::Recording(std::FILE* file, const std::string& name, const Language& language,
                     const RecordingSettings& settings, Listener& to)
    : reader_(file, name),
      language_(language),
      settings_(settings),
      to_(to),
      streams_(settings.streams, *this) {
    check_link(name);
}

void Recording::check_link(const std::string& name) {
    memory_.most = settings_.most_unfinished;
    if (!pcap::is_link_type_supported(reader_.link_type()))
        throw pcap::CaptureFileError(name + ": its link type " + reader_.link_name() + " is not read here");
}

bool Recording::step() {
    if (over_) return false;
    const auto frame = reader_.next();
    if (!frame) {
        over_ = true;
        streams_.finish();
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
    const auto skip = pcap::decode(reader_.link_type(), time_us, frame->bytes, segment_);
    if (skip == pcap::Skip::none)
        streams_.take(segment_);
    else
        ++figures_.skipped[to_text(skip)];
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
    // The two sides of a stream often take turns.
    if (id != last_id_) {
        last_ = &open_[id];
        last_id_ = id;
    }
    if (last_->dialect) last_->dialect->read(side_of(from), bytes, time_us);
}

void Recording::gap(streams::StreamId id, streams::Side from, std::uint64_t, streams::Gap why) {
    if (auto& dialect = open_[id].dialect) dialect->lost(side_of(from), latest_us_, streams::to_text(why));
}

void Recording::closed(streams::StreamId id, std::int64_t time_us, streams::End how) {
    ++figures_.ends[streams::to_text(how)];
    const auto found = open_.find(id);
    // Kept until it has had its last word: that names the stream.
    if (found->second.dialect) found->second.dialect->over(time_us);
    last_id_ = 0;
    for (const auto hash : found->second.ids) give_back(hash);
    open_.erase(found);
}

void Recording::asked(const RequestEvent& a) {
    ++figures_.requests;
    const auto request_class = a.request_class.empty() ? std::string_view("(none)") : a.request_class;
    if (const auto known = figures_.requests_by_class.find(request_class);
        known != figures_.requests_by_class.end())
        ++known->second;
    else
        figures_.requests_by_class.emplace(request_class, 1);
    const auto hash = a.id.empty() ? 0 : digest_of(a.id).low;
    if (hash && ++open_ids_[hash] > 1) ++figures_.doubled_ids;
    last_->ids.push_back(hash);
    to_.asked(a);
}

// Answers come in the order of the requests.
void Recording::answered(const ResponseEvent& a) {
    ++answers_[static_cast<std::size_t>(a.kind)];
    auto& ids = open_[a.connection].ids;
    if (!ids.empty()) {
        give_back(ids.front());
        ids.pop_front();
    }
    to_.answered(a);
}

void Recording::give_back(std::uint64_t hash) {
    const auto open = open_ids_.find(hash);
    if (open != open_ids_.end() && --open->second == 0) open_ids_.erase(open);
}

const Figures& Recording::figures() {
    figures_.tcp = streams_.counters();
    for (const auto kind :
         {Kind::served, Kind::empty, Kind::refused, Kind::failed, Kind::called_off, Kind::none})
        if (const auto count = answers_[static_cast<std::size_t>(kind)])
            figures_.answers[to_text(kind)] = count;
    return figures_;
}

void Recording::cut(const Cut& c) {
    ++figures_.cuts;
    ++figures_.skipped["direction of a stream cut: " + c.reason.substr(0, c.reason.find_first_of(":,"))];
    if (figures_.cut.size() < settings_.most_cuts)
        figures_.cut.push_back({open_[c.connection].name, c.side, c.offset, c.reason});
    to_.cut(c);
}

}  // namespace sloestack::conversation
