#include "conversation/recording.h"

#include <algorithm>

namespace sloestack::conversation {
namespace {

Side side_of(streams::Side s) { return s == streams::Side::client ? Side::client : Side::server; }

}  // namespace

Recording::Recording(const std::string& path, const Language& language, const RecordingSettings& settings,
                     Listener& listener)
    : reader_(path),
      language_(language),
      settings_(settings),
      listener_(listener),
      streams_(settings.streams, *this) {
    check_link_type(path);
}

Recording::Recording(std::FILE* file, const std::string& name, const Language& language,
                     const RecordingSettings& settings, Listener& listener)
    : reader_(file, name),
      language_(language),
      settings_(settings),
      listener_(listener),
      streams_(settings.streams, *this) {
    check_link_type(name);
}

void Recording::check_link_type(const std::string& name) {
    memory_.most = settings_.max_incomplete_bytes;
    if (!pcap::is_link_type_supported(reader_.link_type()))
        throw pcap::CaptureFileError(name + ": link type " + reader_.link_name() + " is not supported");
}

bool Recording::step() {
    if (finished_) return false;
    const auto frame = reader_.next();
    if (!frame) {
        finished_ = true;
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
    auto& stream = open_streams_[id];
    stream.name = pcap::to_text(flow.client) + " > " + pcap::to_text(flow.server);
    const auto& servers = settings_.servers;
    if (servers.empty() || std::find(servers.begin(), servers.end(), flow.server) != servers.end())
        stream.dialect = language_.begin(id, memory_, *this);
    else
        ++figures_.skipped["stream to another server"];
}

void Recording::bytes(streams::StreamId id, streams::Side from, std::string_view bytes,
                      std::int64_t time_us) {
    // Caches the last stream, since consecutive segments often belong to one stream.
    if (id != last_stream_id_) {
        last_stream_ = &open_streams_[id];
        last_stream_id_ = id;
    }
    if (last_stream_->dialect) last_stream_->dialect->read(side_of(from), bytes, time_us);
}

void Recording::gap(streams::StreamId id, streams::Side from, std::uint64_t, streams::Gap reason) {
    if (auto& dialect = open_streams_[id].dialect)
        dialect->lost(side_of(from), latest_us_, streams::to_text(reason));
}

void Recording::closed(streams::StreamId id, std::int64_t time_us, streams::End end) {
    ++figures_.ends[streams::to_text(end)];
    const auto found = open_streams_.find(id);
    // Removed only after the dialect's last events, which look up the stream's name.
    if (found->second.dialect) found->second.dialect->over(time_us);
    last_stream_id_ = 0;
    for (const auto hash : found->second.ids) release_id(hash);
    open_streams_.erase(found);
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
    last_stream_->ids.push_back(hash);
    listener_.asked(a);
}

// Responses arrive in the order of the requests.
void Recording::answered(const ResponseEvent& a) {
    ++responses_[static_cast<std::size_t>(a.kind)];
    auto& ids = open_streams_[a.connection].ids;
    if (!ids.empty()) {
        release_id(ids.front());
        ids.pop_front();
    }
    listener_.answered(a);
}

void Recording::release_id(std::uint64_t hash) {
    const auto open = open_ids_.find(hash);
    if (open != open_ids_.end() && --open->second == 0) open_ids_.erase(open);
}

const Figures& Recording::figures() {
    figures_.tcp = streams_.counters();
    for (const auto kind :
         {Kind::served, Kind::empty, Kind::refused, Kind::failed, Kind::called_off, Kind::none})
        if (const auto count = responses_[static_cast<std::size_t>(kind)])
            figures_.answers[to_text(kind)] = count;
    return figures_;
}

void Recording::cut(const Cut& c) {
    ++figures_.cuts;
    ++figures_.skipped["direction of a stream cut: " + c.reason.substr(0, c.reason.find_first_of(":,"))];
    if (figures_.cut.size() < settings_.max_listed_cuts)
        figures_.cut.push_back({open_streams_[c.connection].name, c.side, c.offset, c.reason});
    listener_.cut(c);
}

}  // namespace sloestack::conversation
