#include "observe/trace.h"

#include <array>
#include <charconv>

#include <boost/json.hpp>

namespace jujube::observe {

namespace {

namespace json = boost::json;

constexpr std::size_t kTraceparentBytes = 55;  // of version 00
constexpr unsigned kSampledFlag = 1;
constexpr int kOtlpKindServer = 2;   // SPAN_KIND_SERVER
constexpr int kOtlpStatusError = 2;  // STATUS_CODE_ERROR

std::string ToHex16(std::uint64_t number) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = text.size(); i-- > 0; number >>= 4U)
    text[i] = kDigits[number & 15U];
  return text;
}

// W3C Trace Context allows lower-case digits only.
std::optional<std::uint64_t> ParseHex(std::string_view text) {
  if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

bool HasTraceparentFormat(std::string_view header) {
  if (header.size() < kTraceparentBytes || header[2] != '-' ||
      header[35] != '-' || header[52] != '-')
    return false;
  const std::string_view version = header.substr(0, 2);
  if (version == "ff" || !ParseHex(version))
    return false;
  if (header.size() == kTraceparentBytes)
    return true;
  return version != "00" && header[kTraceparentBytes] == '-';
}

// Invalid UTF-8 would make the whole line invalid JSON.
std::string AsciiOnly(std::string_view text) {
  std::string ascii(text);
  for (char& c : ascii)
    if (static_cast<unsigned char>(c) >= 0x80)
      c = '?';
  return ascii;
}

json::object OtlpValue(const SpanValue& value) {
  if (const auto* text = std::get_if<std::string>(&value))
    return {{"stringValue", AsciiOnly(*text)}};
  if (const auto* number = std::get_if<std::int64_t>(&value))
    return {{"intValue", std::to_string(*number)}};
  if (const auto* number = std::get_if<double>(&value))
    return {{"doubleValue", *number}};
  return {{"boolValue", std::get<bool>(value)}};
}

json::object OtlpAttribute(std::string_view name, const SpanValue& value) {
  return {{"key", AsciiOnly(name)}, {"value", OtlpValue(value)}};
}

json::object OtlpSpan(const Span& span) {
  json::array attributes;
  for (const SpanAttribute& attribute : span.m_attributes)
    attributes.push_back(OtlpAttribute(attribute.m_name, attribute.m_value));
  json::object object{
      {"traceId", ToString(span.m_context.m_trace)},
      {"spanId", ToString(span.m_context.m_span)},
      {"name", AsciiOnly(span.m_name)},
      {"kind", kOtlpKindServer},
      {"startTimeUnixNano", std::to_string(span.m_start.count())},
      {"endTimeUnixNano", std::to_string(span.m_end.count())},
      {"attributes", attributes}};
  if (span.m_parent != SpanId())
    object["parentSpanId"] = ToString(span.m_parent);
  if (span.m_failed)
    object["status"] = json::object{{"code", kOtlpStatusError}};
  return object;
}

}  // namespace

std::string ToString(const TraceId& id) {
  return ToHex16(id.m_high) + ToHex16(id.m_low);
}

std::string ToString(const SpanId& id) {
  return ToHex16(id.m_value);
}

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (!HasTraceparentFormat(header))
    return std::nullopt;
  const auto high = ParseHex(header.substr(3, 16));
  const auto low = ParseHex(header.substr(19, 16));
  const auto span = ParseHex(header.substr(36, 16));
  const auto flags = ParseHex(header.substr(53, 2));
  if (!high || !low || !span || !flags)
    return std::nullopt;
  const TraceContext context{.m_trace = {.m_high = *high, .m_low = *low},
                             .m_span = {*span},
                             .m_sampled = (*flags & kSampledFlag) != 0};
  if (context.m_trace == TraceId() || context.m_span == SpanId())
    return std::nullopt;
  return context;
}

std::string ToTraceparent(const TraceContext& context) {
  return "00-" + ToString(context.m_trace) + "-" + ToString(context.m_span) +
         (context.m_sampled ? "-01" : "-00");
}

bool IsSampled(const TraceId& trace, std::uint16_t sample_permille) {
  return trace.m_low % 1000 < sample_permille;
}

std::string ToOtlpJson(const Span& span, std::string_view host) {
  const json::object resource{
      {"attributes",
       json::array{OtlpAttribute("service.name", std::string("jujubelift")),
                   OtlpAttribute("host.name", std::string(host))}}};
  const json::object scope_spans{{"spans", json::array{OtlpSpan(span)}}};
  const json::object resource_spans{{"resource", resource},
                                    {"scopeSpans", json::array{scope_spans}}};
  return json::serialize(
      json::object{{"resourceSpans", json::array{resource_spans}}});
}

}  // namespace jujube::observe
