// The entry point of libFuzzer. SLOESTACK_TARGET is the name of a function of targets.h.
#include "targets.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    sloestack::fuzz::SLOESTACK_TARGET(data, size);
    return 0;
}
