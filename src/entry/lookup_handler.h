// LookupHandler: handles GET /lookup?service=NAME[&caller=IP].

#pragma once

#include <boost/asio/awaitable.hpp>

#include "entry/entry_shared.h"
#include "net/http_exchange.h"

namespace jujube::entry {

class LookupHandler {
 public:
  explicit LookupHandler(EntryShared& shared) : m_shared(shared) {}

  // Whether the request is a look-up.
  static bool Matches(const RequestHead& head);

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange);

 private:
  Result<LookupAnswer> ComputeAnswer(net::HttpExchange& exchange) const;

  EntryShared& m_shared;
};

}  // namespace jujube::entry
