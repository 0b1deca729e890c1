#include "net/http_fields.h"

#include <algorithm>
#include <array>

namespace jujube::net {

namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char lower = ToLower(c);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const int high = i + 2 < text.size() ? HexDigit(text[i + 1]) : -1;
    const int low = i + 2 < text.size() ? HexDigit(text[i + 2]) : -1;
    if (text[i] == '%' && high >= 0 && low >= 0) {
      decoded += static_cast<char>(high * 16 + low);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoreCase(header.m_name, name))
      return header.m_value;
  }
  return std::nullopt;
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection", "keep-alive",        "proxy-connection",
      "te",         "transfer-encoding", "upgrade",
      "trailer",    "content-length",    "expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view hop_by_hop_name) {
                       return EqualsIgnoreCase(hop_by_hop_name, name);
                     });
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> QueryParameter(std::string_view target,
                                          std::string_view name) {
  const std::size_t start = target.find('?');
  if (start == std::string_view::npos)
    return std::nullopt;
  std::string_view query = target.substr(start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return PercentDecode(pair.substr(equals + 1));
  }
  return std::nullopt;
}

}  // namespace jujube::net
