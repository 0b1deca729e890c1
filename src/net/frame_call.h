// Call: awaits a FrameClient call in a coroutine.

#pragma once

#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/frame_client.h"

namespace jujube::net {

// The coroutine must run on the thread of the client. request is copied.
template <class Reply, class Request>
boost::asio::awaitable<CallResult<Reply>> Call(FrameClient& client,
                                               const Request& request,
                                               MonoTime deadline) {
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                     void(CallResult<Reply>)>(
      [&client, deadline](auto handler, Request request_copy) {
        // std::function needs a copyable callback.
        auto shared_handler =
            std::make_shared<decltype(handler)>(std::move(handler));
        client.Call<Reply>(request_copy, deadline,
                           [shared_handler](const CallResult<Reply>& result) {
                             std::move (*shared_handler)(result);
                           });
      },
      boost::asio::use_awaitable, request);
}

// Rejects temporaries: g++ 12 destroys an aggregate that is built inside a
// co_await expression twice. Pass a named request instead.
template <class Reply, class Request>
boost::asio::awaitable<CallResult<Reply>> Call(FrameClient& client,
                                               const Request&& request,
                                               MonoTime deadline) = delete;

}  // namespace jujube::net
