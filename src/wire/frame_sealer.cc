#include "wire/frame_sealer.h"

#include <cassert>

#include "gen/frames.h"

namespace jujube::wire {

FrameSealer::FrameSealer(std::string_view session_key,
                         std::uint64_t incarnation)
    : m_hmac(session_key), m_incarnation(incarnation) {}

std::string FrameSealer::Head(std::uint16_t type,
                              std::uint64_t correlation,
                              std::string_view payload) {
  assert(payload.size() <= MaxPayloadBytes(type));
  std::string header_and_tag = EncodeFrameHeader(
      {.m_type = type,
       .m_payload_length = static_cast<std::uint32_t>(payload.size()),
       .m_correlation = correlation,
       .m_incarnation = m_incarnation});
  const std::string_view sequence(reinterpret_cast<const char*>(&m_sequence),
                                  sizeof m_sequence);
  header_and_tag += m_hmac.Sign({sequence, header_and_tag, payload})
                        .substr(0, kFrameTagBytes);
  ++m_sequence;
  return header_and_tag;
}

}  // namespace jujube::wire
