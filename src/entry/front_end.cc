#include "entry/front_end.h"

#include <memory>

#include "entry/forwarder_impl.h"
#include "entry/lookup_handler.h"
#include "entry/native_dialect.h"
#include "entry/request_handler.h"
#include "steering/headroom_latency_policy.h"

namespace jujube::entry {
namespace {

using NativeRequestHandler = RequestHandler<NativeDialect,
                                            steering::HeadroomLatencyPolicy,
                                            steering::HeadroomLatencyPolicy>;

// Handlers of one worker thread.
struct NativeHandler {
  NativeHandler(EntryShared& shared,
                ClaimClient& claims,
                boost::asio::io_context& io,
                std::uint64_t seed)
      : m_requests(shared, claims, io, seed), m_lookups(shared) {}

  NativeRequestHandler m_requests;
  LookupHandler m_lookups;
};

}  // namespace

FrontEnd NativeFrontEnd() {
  return {.m_make_handler = [](EntryShared& shared, ClaimClient& claims,
                               boost::asio::io_context& io,
                               std::uint64_t seed) -> net::HttpHandler {
    auto handler = std::make_shared<NativeHandler>(shared, claims, io, seed);
    return [handler](net::HttpExchange& exchange) {
      return LookupHandler::Matches(exchange.Head())
                 ? handler->m_lookups.Handle(exchange)
                 : handler->m_requests.Handle(exchange);
    };
  }};
}

}  // namespace jujube::entry
