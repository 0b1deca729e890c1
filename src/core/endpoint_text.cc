#include "core/endpoint_text.h"

#include <arpa/inet.h>
#include <charconv>

namespace jujube {

std::string EndpointText(const Endpoint& endpoint) {
  return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  Endpoint endpoint{.m_address = std::string(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
  in_addr parsed{};
  if (error != std::errc() || end != port.data() + port.size() ||
      endpoint.m_port == 0 ||
      ::inet_pton(AF_INET, endpoint.m_address.c_str(), &parsed) != 1)
    return std::nullopt;
  return endpoint;
}

}  // namespace jujube
