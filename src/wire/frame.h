// Frames: the unit of exchange between the system's own processes.
//
// On the wire, little-endian, after the handshake (wire/handshake.h):
//
//   magic u32 | type u16 | zero u16 | payload length u32 | correlation u64 |
//   incarnation of the sender u64 | tag 16 bytes | payload
//
// The tag is HMAC-SHA256, cut to 16 bytes, over the sequence number of the
// frame in its direction, the header and the payload, with the session key of
// that direction. A receiver reads kFrameHeadBytes, calls FrameOpener::Head,
// which checks the length against the limit of the type, then reads the payload
// and calls FrameOpener::Payload.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace jujube::wire {

inline constexpr std::uint32_t kFrameMagic = 0x314a4a42;  // "BJJ1"
inline constexpr std::size_t kFrameHeaderBytes = 28;      // without the tag
inline constexpr std::size_t kFrameTagBytes = 16;
inline constexpr std::size_t kFrameHeadBytes =
    kFrameHeaderBytes + kFrameTagBytes;

struct FrameHeader {
  std::uint16_t m_type = 0;            // a FrameType
  std::uint32_t m_payload_length = 0;  // bytes
  std::uint64_t m_correlation = 0;     // of a request and its reply; 0: one way
  std::uint64_t m_incarnation = 0;     // start of the sending process

  friend auto operator<=>(const FrameHeader&, const FrameHeader&) = default;
};

// Header without tag, kFrameHeaderBytes long.
std::string EncodeFrameHeader(const FrameHeader& header);

// Refuses another size, another magic, an unknown type, and a length above
// MaxPayloadBytes(type), so that nothing is allocated for them.
Result<FrameHeader> DecodeFrameHeader(std::string_view bytes);

}  // namespace jujube::wire
