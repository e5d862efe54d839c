// The fuzz targets. Each takes any bytes and must return without a crash, a hang or an exceeded limit.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sloestack::fuzz {

void capture(const std::uint8_t* data, std::size_t size);       // a capture file
void segments(const std::uint8_t* data, std::size_t size);      // TCP segments, 12 bytes each
void conversation(const std::uint8_t* data, std::size_t size);  // both directions of a PostgreSQL connection
void tds_messages(const std::uint8_t* data,
                  std::size_t size);  // packets of either direction of a TDS connection

}  // namespace sloestack::fuzz
