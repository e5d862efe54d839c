// A capture file read as conversations: packets, streams and a dialect put together, one packet a call, in
// bounded memory; with the figures of what was read and what was not.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "conversation/conversation.h"
#include "pcap/reader.h"
#include "streams/streams.h"

namespace sloestack::conversation {

struct RecordingSettings {
    streams::Limits streams;
    std::size_t most_unfinished = 16 * 1024 * 1024;  // bytes of messages that are not whole yet
    std::vector<pcap::Endpoint> servers;             // only streams to these; empty: to any
    std::size_t most_cuts = 1000;                    // named one by one; beyond that they are counted
};

struct CutStream {
    std::string stream;  // "client > server"
    Side side = Side::client;
    std::uint64_t offset = 0;
    std::string reason;
};

struct Figures {
    std::uint64_t packets = 0, bytes = 0, backwards = 0;
    std::int64_t farthest_back_us = 0;
    std::optional<std::int64_t> first_us, last_us;
    std::uint64_t streams = 0, requests = 0;
    std::map<std::string, std::uint64_t, std::less<>> requests_by_class;
    std::map<std::string, std::uint64_t> answers, ends, servers;
    std::map<std::string, std::uint64_t> skipped;  // packets and streams, by reason
    std::uint64_t doubled_ids = 0;                 // requests whose id was open already
    std::vector<CutStream> cut;
    std::uint64_t cuts = 0;
    streams::Counters tcp;
};

class Recording final : private streams::Events, private Listener {
public:
    // Throws pcap::CaptureFileError.
    Recording(const std::string& path, const Language& language, const RecordingSettings& settings,
              Listener& to);
    Recording(std::FILE* file, const std::string& name, const Language& language,
              const RecordingSettings& settings, Listener& to);

    // Reads one packet and tells what it brings; false at the end, when all that is open has been told as
    // over.
    bool step();
    const Figures& figures();
    const std::string& fault() const {
        return reader_.fault();
    }  // why the file ends early; empty where it does not
    std::string link_name() const { return reader_.link_name(); }
    std::size_t held() const { return streams_.held() + memory_.held; }

private:
    void check_link(const std::string& name);
    struct Stream {
        std::unique_ptr<Dialect> dialect;  // none where its server is none of those wanted
        std::string name;
        std::deque<std::uint64_t> ids;  // hashes of the open requests' ids, 0 where one has none
    };
    void give_back(std::uint64_t hash);
    void opened(streams::StreamId id, const streams::Flow& flow, std::int64_t time_us) override;
    void bytes(streams::StreamId id, streams::Side from, std::string_view bytes,
               std::int64_t time_us) override;
    void gap(streams::StreamId id, streams::Side from, std::uint64_t offset, streams::Gap why) override;
    void closed(streams::StreamId id, std::int64_t time_us, streams::End how) override;

    void opened(const Opened& o) override { to_.opened(o); }
    void greeted(ConnectionId c, Time at, const Digest& d) override { to_.greeted(c, at, d); }
    void asked(const RequestEvent& a) override;
    void answered(const ResponseEvent& a) override;
    void cut(const Cut& c) override;
    void closed(ConnectionId c, Time at) override { to_.closed(c, at); }

    pcap::Reader reader_;
    const Language& language_;
    RecordingSettings settings_;
    Listener& to_;
    streams::Streams streams_;
    Memory memory_;
    std::unordered_map<streams::StreamId, Stream> open_;
    streams::StreamId last_id_ = 0;
    Stream* last_ = nullptr;  // the stream of last_id_
    std::unordered_map<std::uint64_t, int> open_ids_;
    std::array<std::uint64_t, 6> answers_{};  // by Kind
    pcap::Segment segment_;
    Figures figures_;
    std::int64_t latest_us_ = 0;
    bool over_ = false;
};

}  // namespace sloestack::conversation
