#include "request/trace_context.h"

#include <algorithm>
#include <span>

#include "core/hash.h"

namespace jujube::request {
namespace {

constexpr std::size_t kLength = 55;  // of version 00
constexpr std::size_t kTraceAt = 3;
constexpr std::size_t kParentAt = 36;
constexpr std::size_t kFlagsAt = 53;

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;  // upper case is invalid in this header
}

bool ParseHex(std::string_view text, std::span<std::uint8_t> bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const int high = HexDigit(text[2 * i]);
    const int low = HexDigit(text[2 * i + 1]);
    if (high < 0 || low < 0)
      return false;
    bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

bool IsZero(std::span<const std::uint8_t> bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](std::uint8_t byte) { return byte == 0; });
}

std::string ToHex(std::span<const std::uint8_t> bytes) {
  return Hex(std::string(bytes.begin(), bytes.end()));
}

}  // namespace

Result<TraceContext> ParseTraceparent(std::string_view text) {
  const auto invalid = [] {
    return MakeError(ErrorCode::kInvalidInput,
                     "traceparent: expected 00-<32 hex>-<16 hex>-<2 hex>, "
                     "lower case, identifiers not all zero");
  };
  if (text.size() < kLength || text[kTraceAt - 1] != '-' ||
      text[kParentAt - 1] != '-' || text[kFlagsAt - 1] != '-')
    return invalid();
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  TraceContext context;
  if (!ParseHex(text, version) ||
      !ParseHex(text.substr(kTraceAt), context.m_trace) ||
      !ParseHex(text.substr(kParentAt), context.m_parent) ||
      !ParseHex(text.substr(kFlagsAt), flags))
    return invalid();
  constexpr std::uint8_t kInvalidVersion = 0xff;
  const bool has_rest = text.size() > kLength;
  if (version[0] == kInvalidVersion || (version[0] == 0 && has_rest) ||
      (has_rest && text[kLength] != '-') || IsZero(context.m_trace) ||
      IsZero(context.m_parent))
    return invalid();
  context.m_flags = flags[0];
  return context;
}

std::string ToTraceparent(const TraceContext& context) {
  return "00-" + ToHex(context.m_trace) + "-" + ToHex(context.m_parent) + "-" +
         ToHex({&context.m_flags, 1});
}

}  // namespace jujube::request
