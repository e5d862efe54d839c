// The entry that libFuzzer calls; SLOESTACK_TARGET is one of targets.h.
#include "targets.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    sloestack::fuzz::SLOESTACK_TARGET(data, size);
    return 0;
}
