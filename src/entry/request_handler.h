// RequestHandler: forwards the requests of one worker thread, with overload
// control if the document in force asks for it.
//
// Two forwarders, because the policy by which upstreams are selected is a type.
// Requests in progress end at the forwarder that began them.

#pragma once

#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry/entry_shared.h"
#include "entry/forwarder.h"

namespace jujube::entry {

template <Dialect D,
          steering::SelectionPolicy Usual,
          steering::SelectionPolicy UnderOverload>
class RequestHandler {
 public:
  RequestHandler(EntryShared& shared,
                 ClaimClient& claims,
                 boost::asio::io_context& io,
                 std::uint64_t seed)
      : m_shared(shared),
        m_usual(shared, claims, io.get_executor(), seed, false),
        m_under_overload(shared, claims, io.get_executor(), ~seed, true) {}

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange) {
    return m_shared.m_controls_overload.load(std::memory_order_relaxed)
               ? m_under_overload.Handle(exchange)
               : m_usual.Handle(exchange);
  }

 private:
  EntryShared& m_shared;
  Forwarder<D, Usual> m_usual;
  Forwarder<D, UnderOverload> m_under_overload;
};

}  // namespace jujube::entry
