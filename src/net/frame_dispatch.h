// FrameDispatch: decodes received messages and calls their handlers.
//
//   net::FrameDispatch handlers;
//   handlers.On<ClaimRequest>(
//       [&](const net::FrameSource& source, const ClaimRequest& request) {
//         source.Reply(store.Claim(request));  // now or later
//       });

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

#include "core/result.h"
#include "gen/frames.h"
#include "net/frame_source.h"

namespace jujube::net {

class FrameDispatch {
 public:
  // Registers the handler of a message type, replacing an earlier one. It runs
  // on the thread of the connection and must neither block nor throw.
  template <class Message, class Handler>
  void On(Handler handler) {
    m_handlers[static_cast<std::uint16_t>(FrameTraits<Message>::kType)] =
        [handler = std::move(handler)](const FrameSource& source,
                                       std::string_view payload) -> Status {
      JUJUBE_TRY(const Message message, FrameTraits<Message>::Decode(payload));
      handler(source, message);
      return Success();
    };
  }

  // Calls the handler of the type. kInvalidInput: the type has no handler, or
  // the payload is malformed; the caller then closes the connection.
  Status Dispatch(const FrameSource& source,
                  std::uint16_t type,
                  std::string_view payload) const;

 private:
  using Handler = std::function<Status(const FrameSource&, std::string_view)>;
  std::map<std::uint16_t, Handler> m_handlers;
};

}  // namespace jujube::net
