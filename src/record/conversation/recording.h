// Reads a capture file as conversations: decodes packets, reassembles streams and parses them with a dialect,
// one packet per call and in bounded memory. Counts what was read and what was skipped.
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
    std::size_t max_incomplete_bytes = 16 * 1024 * 1024;  // bytes of incomplete messages, over all streams
    std::vector<pcap::Endpoint> servers;                  // reads only streams to these servers; all if empty
    std::size_t max_listed_cuts = 1000;  // listed in Figures::cut; further ones are only counted
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
    std::map<std::string, std::uint64_t> skipped;  // packets, streams and directions by reason
    std::uint64_t doubled_ids = 0;                 // requests whose id an unanswered request already has
    std::vector<CutStream> cut;
    std::uint64_t cuts = 0;
    streams::Counters tcp;
};

class Recording final : private streams::Events, private Listener {
public:
    // Opens the file. Throws pcap::CaptureFileError if that fails or its link type is not supported.
    // `language` and `listener` must outlive the recording; events arrive during step().
    Recording(const std::string& path, const Language& language, const RecordingSettings& settings,
              Listener& listener);
    // The same for an open file, which it takes ownership of; `name` is used in error messages.
    Recording(std::FILE* file, const std::string& name, const Language& language,
              const RecordingSettings& settings, Listener& listener);

    // Reads one packet and reports its events. At the end of the file ends all open streams and returns
    // false.
    bool step();
    const Figures& figures();
    const std::string& fault() const {
        return reader_.fault();
    }  // why the file ended early; empty if it did not
    std::string link_name() const { return reader_.link_name(); }
    // Bytes buffered for incomplete streams and messages.
    std::size_t held() const { return streams_.held() + memory_.held; }

private:
    void check_link_type(const std::string& name);
    struct Stream {
        std::unique_ptr<Dialect> dialect;  // null if the server is not in RecordingSettings::servers
        std::string name;
        std::deque<std::uint64_t>
            ids;  // hashes of the ids of unanswered requests; 0 for a request without an id
    };
    void release_id(std::uint64_t hash);
    void opened(streams::StreamId id, const streams::Flow& flow, std::int64_t time_us) override;
    void bytes(streams::StreamId id, streams::Side from, std::string_view bytes,
               std::int64_t time_us) override;
    void gap(streams::StreamId id, streams::Side from, std::uint64_t offset, streams::Gap reason) override;
    void closed(streams::StreamId id, std::int64_t time_us, streams::End end) override;

    void opened(const Opened& o) override { listener_.opened(o); }
    void greeted(ConnectionId c, Time at, const Digest& d) override { listener_.greeted(c, at, d); }
    void asked(const RequestEvent& a) override;
    void answered(const ResponseEvent& a) override;
    void cut(const Cut& c) override;
    void closed(ConnectionId c, Time at) override { listener_.closed(c, at); }

    pcap::Reader reader_;
    const Language& language_;
    RecordingSettings settings_;
    Listener& listener_;
    streams::Streams streams_;
    Memory memory_;
    std::unordered_map<streams::StreamId, Stream> open_streams_;
    streams::StreamId last_stream_id_ = 0;
    Stream* last_stream_ = nullptr;  // the stream of last_stream_id_
    std::unordered_map<std::uint64_t, int> open_ids_;
    std::array<std::uint64_t, 6> responses_{};  // by Kind
    pcap::Segment segment_;
    Figures figures_;
    std::int64_t latest_us_ = 0;
    bool finished_ = false;
};

}  // namespace sloestack::conversation
