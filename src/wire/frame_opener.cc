#include "wire/frame_opener.h"

#include <cassert>

namespace jujube::wire {

FrameOpener::FrameOpener(std::string_view session_key,
                         std::uint64_t incarnation)
    : m_hmac(session_key), m_incarnation(incarnation) {}

Result<FrameHeader> FrameOpener::Head(std::string_view header_and_tag) {
  assert(m_header_and_tag.empty() &&
         "the payload of the previous frame has not been verified");
  if (header_and_tag.size() != kFrameHeadBytes)
    return MakeError(ErrorCode::kInvalidInput,
                     "frame: header has the wrong size");
  JUJUBE_TRY(const FrameHeader header,
             DecodeFrameHeader(header_and_tag.substr(0, kFrameHeaderBytes)));
  if (header.m_incarnation != m_incarnation) {
    return MakeError(ErrorCode::kRefused,
                     "frame: incarnation " +
                         std::to_string(header.m_incarnation) +
                         " does not match the handshake, which has " +
                         std::to_string(m_incarnation));
  }
  m_header_and_tag = header_and_tag;
  return header;
}

Status FrameOpener::Payload(std::string_view payload) {
  assert(!m_header_and_tag.empty() &&
         "the header must be decoded before the payload");
  const std::string_view header_and_tag = m_header_and_tag;
  const std::string_view sequence(reinterpret_cast<const char*>(&m_sequence),
                                  sizeof m_sequence);
  const std::string tag = m_hmac.Sign(
      {sequence, header_and_tag.substr(0, kFrameHeaderBytes), payload});
  const bool is_authentic =
      ConstantTimeEqual(std::string_view(tag).substr(0, kFrameTagBytes),
                        header_and_tag.substr(kFrameHeaderBytes));
  m_header_and_tag.clear();
  if (!is_authentic) {
    return MakeError(ErrorCode::kRefused,
                     "frame " + std::to_string(m_sequence) +
                         " of the connection failed authentication");
  }
  ++m_sequence;
  return Success();
}

}  // namespace jujube::wire
