#include "pcap/reader.h"

#include <pcap/pcap.h>

namespace sloestack::pcap {

struct Reader::Impl {
    pcap_t* file = nullptr;
    ~Impl() {
        if (file) pcap_close(file);
    }
};

Reader::Reader(const std::string& path) : impl_(std::make_unique<Impl>()) {
    char why[PCAP_ERRBUF_SIZE] = "";
    if (path == "-") throw CaptureFileError("-: a capture is read from a file, not from standard input");
    impl_->file = pcap_open_offline_with_tstamp_precision(path.c_str(), PCAP_TSTAMP_PRECISION_NANO,
                                                          static_cast<char*>(why));
    if (!impl_->file) throw CaptureFileError(path + ": " + static_cast<const char*>(why));
    link_type_ = pcap_datalink(impl_->file);
}

Reader::Reader(std::FILE* file, const std::string& name) : impl_(std::make_unique<Impl>()) {
    char why[PCAP_ERRBUF_SIZE] = "";
    impl_->file =
        pcap_fopen_offline_with_tstamp_precision(file, PCAP_TSTAMP_PRECISION_NANO, static_cast<char*>(why));
    if (!impl_->file) {
        std::fclose(file);
        throw CaptureFileError(name + ": " + static_cast<const char*>(why));
    }
    link_type_ = pcap_datalink(impl_->file);
}

Reader::~Reader() = default;

std::string Reader::link_name() const {
    const auto* name = pcap_datalink_val_to_name(link_type_);
    return name ? name : std::to_string(link_type_);
}

std::optional<Frame> Reader::next() {
    if (!fault_.empty()) return std::nullopt;
    pcap_pkthdr* head = nullptr;
    const u_char* bytes = nullptr;
    const int got = pcap_next_ex(impl_->file, &head, &bytes);
    if (got == 1)
        return Frame{static_cast<std::int64_t>(head->ts.tv_sec) * 1'000'000'000 + head->ts.tv_usec,
                     {reinterpret_cast<const char*>(bytes), head->caplen},
                     head->len};
    if (got == PCAP_ERROR) fault_ = pcap_geterr(impl_->file);
    return std::nullopt;
}

}  // namespace sloestack::pcap
