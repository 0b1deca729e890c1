// OperatorHandler: GET /healthz, /ready, /metrics and /status, and POST
// /drain. The first two need no key.

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
                  std::function<EntryStatus()> status,
                  std::function<bool()> is_ready,
                  std::function<void()> drain)
      : m_key(std::move(key)),
        m_status(std::move(status)),
        m_is_ready(std::move(is_ready)),
        m_drain(std::move(drain)) {}

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange) const;

 private:
  const std::string m_key;
  const std::function<EntryStatus()> m_status;
  const std::function<bool()> m_is_ready;
  const std::function<void()> m_drain;
};

}  // namespace jujube::entry
