// PlatformHandler: handles POST /announce of upstreams.

#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gen/membership.h"
#include "net/http_exchange.h"

namespace jujube::entry {

class PlatformHandler {
 public:
  PlatformHandler(std::string key,
                  std::function<void(const Announcement&)> on_announcement)
      : m_key(std::move(key)), m_on_announcement(std::move(on_announcement)) {}

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange) const;

 private:
  const std::string m_key;
  const std::function<void(const Announcement&)> m_on_announcement;
};

}  // namespace jujube::entry
