// The fuzz targets: each takes any bytes and must end without a crash, a hang or a broken bound.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sloestack::fuzz {

void capture(const std::uint8_t* data, std::size_t size);       // a whole capture file
void segments(const std::uint8_t* data, std::size_t size);      // TCP segments, in a compact form
void conversation(const std::uint8_t* data, std::size_t size);  // both directions of one connection
void tds_messages(const std::uint8_t* data, std::size_t size);  // either side of a TDS connection

}  // namespace sloestack::fuzz
