#include "wire/frame_opener.h"

#include <cassert>

namespace jujube::wire {

FrameOpener::FrameOpener(std::string_view session_key,
                         std::uint64_t incarnation)
    : m_hmac(session_key), m_incarnation(incarnation) {}

Result<FrameHeader> FrameOpener::Head(std::string_view head) {
  assert(m_head.empty() && "take the payload of the last head first");
  if (head.size() != kFrameHeadBytes)
    return MakeError(ErrorCode::kInvalidInput, "frame: head ends early");
  JUJUBE_TRY(const FrameHeader header,
             DecodeFrameHeader(head.substr(0, kFrameHeaderBytes)));
  if (header.m_incarnation != m_incarnation) {
    return MakeError(
        ErrorCode::kRefused,
        "frame: incarnation " + std::to_string(header.m_incarnation) +
            " on a connection of incarnation " + std::to_string(m_incarnation));
  }
  m_head = head;
  return header;
}

Status FrameOpener::Payload(std::string_view payload) {
  assert(!m_head.empty() && "take the head first");
  const std::string_view head = m_head;
  const std::string_view sequence(reinterpret_cast<const char*>(&m_sequence),
                                  sizeof m_sequence);
  const std::string tag =
      m_hmac.Sign({sequence, head.substr(0, kFrameHeaderBytes), payload});
  const bool same = SameTag(std::string_view(tag).substr(0, kFrameTagBytes),
                            head.substr(kFrameHeaderBytes));
  m_head.clear();
  if (!same) {
    return MakeError(ErrorCode::kRefused,
                     "frame " + std::to_string(m_sequence) +
                         " of the connection fails authentication");
  }
  ++m_sequence;
  return Success();
}

}  // namespace jujube::wire
