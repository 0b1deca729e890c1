// OperatorHandler: handles GET /healthz, /ready, /metrics and /get_status, and
// POST /drain. /healthz and /ready require no key.

#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gen/status.h"
#include "net/http_exchange.h"

namespace jujube::entry {

class OperatorHandler {
 public:
  OperatorHandler(std::string key,
                  std::function<EntryStatus()> get_status,
                  std::function<bool()> is_ready,
                  std::function<void()> start_drain)
      : m_key(std::move(key)),
        m_get_status(std::move(get_status)),
        m_is_ready(std::move(is_ready)),
        m_start_drain(std::move(start_drain)) {}

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange) const;

 private:
  const std::string m_key;
  const std::function<EntryStatus()> m_get_status;
  const std::function<bool()> m_is_ready;
  const std::function<void()> m_start_drain;
};

}  // namespace jujube::entry
