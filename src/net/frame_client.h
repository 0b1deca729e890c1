// FrameClient: a persistent connection to one endpoint.
//
//   net::FrameClient client(context, options, {"10.0.0.1", 7400}, {});
//   client.Start();
//   client.Call<ClaimReply>(request, deadline,
//                           [](const net::CallResult<ClaimReply>& result) {
//     if (result) ...
//     else if (result.m_delivery == net::Delivery::kNotSent) ...
//   });
//
// In a coroutine, net/frame_call.h:
//   const auto result = co_await net::Call<ClaimReply>(client, request,
//   deadline);
//
// It reconnects with jittered exponential backoff until Stop. A call without a
// connection fails immediately with kNotSent, so that the caller can try
// another endpoint. Not thread-safe: call every member on the thread of its
// io_context.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/result.h"
#include "gen/types.h"
#include "net/call_result.h"
#include "net/frame_dispatch.h"
#include "net/frame_options.h"

namespace boost::asio {
class io_context;
}

namespace jujube::net {

class FrameClient {
 public:
  // handlers: handlers of the one-way messages that the peer may send.
  FrameClient(boost::asio::io_context& context,
              FrameOptions options,
              Endpoint endpoint,
              FrameDispatch handlers);
  ~FrameClient();  // stops
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  // Called with true after each handshake and with false after each lost
  // connection or failed attempt. Set before Start. Use it to send the first
  // messages of a new connection, such as a subscription. The callback may stop
  // or destroy the client.
  void OnConnection(std::function<void(bool connected)> callback);

  void Start();

  // Closes the connection and fails all pending calls. Afterwards no callback
  // runs, except those of calls that could not be sent, which are posted.
  void Stop();

  bool IsConnected() const;
  std::uint64_t PeerIncarnation() const;  // 0 while not connected

  // Queues a one-way message. Returns false if the client is not connected, the
  // message is over its size limit or the queue is full. True does not mean
  // that the message was delivered.
  template <class Message>
  bool Send(const Message& message) {
    return SendEncoded(FrameTraits<Message>::kType,
                       std::make_shared<const std::string>(Encode(message)));
  }
  bool SendEncoded(FrameType type, SharedPayload payload);

  // Sends a request. The callback runs exactly once, never from within Call. A
  // reply after the deadline is dropped and counted as late.
  template <class Reply, class Request, class Callback>
  void Call(const Request& request, MonoTime deadline, Callback callback) {
    CallEncoded(
        FrameTraits<Request>::kType,
        std::make_shared<const std::string>(Encode(request)), deadline,
        [callback = std::move(callback)](const CallResult<std::string>& raw,
                                         std::uint16_t type) mutable {
          callback(DecodeReply<Reply>(raw, type));
        });
  }

 private:
  struct Impl;
  using RawCallback = std::function<void(const CallResult<std::string>& raw,
                                         std::uint16_t type)>;

  void CallEncoded(FrameType type,
                   SharedPayload payload,
                   MonoTime deadline,
                   RawCallback callback);

  template <class Reply>
  static CallResult<Reply> DecodeReply(const CallResult<std::string>& raw,
                                       std::uint16_t type) {
    if (!raw)
      return {.m_error = raw.m_error, .m_delivery = raw.m_delivery};
    if (type != static_cast<std::uint16_t>(FrameTraits<Reply>::kType)) {
      return {.m_error =
                  MakeError(ErrorCode::kInvalidInput,
                            "reply has frame type " + std::to_string(type))};
    }
    auto decoded = FrameTraits<Reply>::Decode(*raw.m_reply);
    if (!decoded)
      return {.m_error = std::move(decoded).error()};
    return {.m_reply = std::move(decoded).value()};
  }

  std::shared_ptr<Impl> m_impl;
};

}  // namespace jujube::net
