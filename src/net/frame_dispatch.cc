#include "net/frame_dispatch.h"

namespace jujube::net {

Status FrameDispatch::Dispatch(const FrameSource& source,
                               std::uint16_t type,
                               std::string_view payload) const {
  const auto handler = m_handlers.find(type);
  if (handler == m_handlers.end()) {
    return MakeError(
        ErrorCode::kInvalidInput,
        "frame type " + std::to_string(type) + " is not accepted here");
  }
  return handler->second(source, payload);
}

}  // namespace jujube::net
