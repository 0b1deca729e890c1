// Call: a request to another process, awaited in a coroutine.

#pragma once

#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/frame_client.h"

namespace jujube::net {

// The coroutine must run on the thread of the client.
template <class Reply, class Request>
boost::asio::awaitable<CallResult<Reply>> Call(FrameClient& client,
                                               const Request& request,
                                               MonoTime deadline) {
  // Encoded before the first suspension, so request need not live longer.
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                     void(CallResult<Reply>)>(
      [&client, deadline](auto handler, Request sent) {
        // std::function needs a copyable callback.
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        client.Call<Reply>(sent, deadline,
                           [shared](const CallResult<Reply>& result) {
                             std::move (*shared)(result);
                           });
      },
      boost::asio::use_awaitable, request);
}

}  // namespace jujube::net
