// LookupHandler: answers GET /lookup?service=S[&caller=IP].

#pragma once

#include <boost/asio/awaitable.hpp>

#include "entry/entry_shared.h"
#include "net/http_exchange.h"

namespace jujube::entry {

class LookupHandler {
 public:
  explicit LookupHandler(EntryShared& shared) : m_shared(shared) {}

  // True for targets that this handler answers.
  static bool Matches(const RequestHead& head);

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange);

 private:
  Result<LookupAnswer> Find(net::HttpExchange& exchange) const;

  EntryShared& m_shared;
};

}  // namespace jujube::entry
