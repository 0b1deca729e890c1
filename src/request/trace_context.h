// TraceContext: the W3C traceparent header as a value.
//
//   traceparent: 00-<trace, 32 hex>-<parent, 16 hex>-<flags, 2 hex>
//
// Source: W3C Recommendation "Trace Context", level 1.

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace jujube::request {

struct TraceContext {
  std::array<std::uint8_t, 16> m_trace{};  // not all zero
  std::array<std::uint8_t, 8> m_parent{};  // not all zero
  std::uint8_t m_flags = 0;                // bit 0: sampled

  friend auto operator<=>(const TraceContext&, const TraceContext&) = default;
};

// Accepts version 00 and the known part of later versions; kInvalidInput for
// anything else, upon which a new trace is started.
Result<TraceContext> ParseTraceparent(std::string_view text);

// Version 00.
std::string ToTraceparent(const TraceContext& context);

}  // namespace jujube::request
