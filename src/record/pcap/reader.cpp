#include "pcap/reader.h"

#include <pcap/pcap.h>

namespace sloestack::pcap {

struct Reader::Impl {
    pcap_t* handle = nullptr;
    ~Impl() {
        if (handle) pcap_close(handle);
    }
};

Reader::Reader(const std::string& path) : impl_(std::make_unique<Impl>()) {
    char error[PCAP_ERRBUF_SIZE] = "";
    if (path == "-")
        throw CaptureFileError("-: reading a capture from standard input is not supported; give a file name");
    impl_->handle = pcap_open_offline_with_tstamp_precision(path.c_str(), PCAP_TSTAMP_PRECISION_NANO,
                                                            static_cast<char*>(error));
    if (!impl_->handle) throw CaptureFileError(path + ": " + static_cast<const char*>(error));
    link_type_ = pcap_datalink(impl_->handle);
}

Reader::Reader(std::FILE* file, const std::string& name) : impl_(std::make_unique<Impl>()) {
    char error[PCAP_ERRBUF_SIZE] = "";
    impl_->handle =
        pcap_fopen_offline_with_tstamp_precision(file, PCAP_TSTAMP_PRECISION_NANO, static_cast<char*>(error));
    if (!impl_->handle) {
        std::fclose(file);
        throw CaptureFileError(name + ": " + static_cast<const char*>(error));
    }
    link_type_ = pcap_datalink(impl_->handle);
}

Reader::~Reader() = default;

std::string Reader::link_name() const {
    const auto* name = pcap_datalink_val_to_name(link_type_);
    return name ? name : std::to_string(link_type_);
}

std::optional<Frame> Reader::next() {
    if (!fault_.empty()) return std::nullopt;
    pcap_pkthdr* header = nullptr;
    const u_char* bytes = nullptr;
    const int result = pcap_next_ex(impl_->handle, &header, &bytes);
    if (result == 1)
        return Frame{static_cast<std::int64_t>(header->ts.tv_sec) * 1'000'000'000 + header->ts.tv_usec,
                     {reinterpret_cast<const char*>(bytes), header->caplen},
                     header->len};
    if (result == PCAP_ERROR) fault_ = pcap_geterr(impl_->handle);
    return std::nullopt;
}

}  // namespace sloestack::pcap
