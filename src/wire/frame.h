// Frames: the messages between the processes of this system.
//
// On the wire, little-endian, after the handshake (wire/handshake.h):
//
//   magic u32 | type u16 | zero u16 | payload length u32 | correlation u64 |
//   incarnation of the sender u64 | tag 16 bytes | payload
//
// The tag is HMAC-SHA256, truncated to 16 bytes, over the sequence number of
// the frame in its direction, the header and the payload, with the session key
// of that direction. A receiver reads kFrameHeadBytes and calls
// FrameOpener::Head, which checks the payload length against the limit of the
// type. It then reads the payload and calls FrameOpener::Payload, which checks
// the tag.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace jujube::wire {

inline constexpr std::uint32_t kFrameMagic = 0x314a4a42;  // "BJJ1"
inline constexpr std::size_t kFrameHeaderBytes = 28;  // header without the tag
inline constexpr std::size_t kFrameTagBytes = 16;
// Header and tag, 44 bytes: the head of a frame. Not to be confused with
// kFrameHeaderBytes.
inline constexpr std::size_t kFrameHeadBytes =
    kFrameHeaderBytes + kFrameTagBytes;

struct FrameHeader {
  std::uint16_t m_type = 0;            // a FrameType
  std::uint32_t m_payload_length = 0;  // bytes
  std::uint64_t m_correlation =
      0;  // same in a request and its reply; 0: no reply
  std::uint64_t m_incarnation = 0;  // of the sender; new after each restart

  friend auto operator<=>(const FrameHeader&, const FrameHeader&) = default;
};

// Returns kFrameHeaderBytes: the header without the tag.
std::string EncodeFrameHeader(const FrameHeader& header);

// Rejects a wrong size, a wrong magic number, a nonzero reserved field, an
// unknown type and a payload length above MaxPayloadBytes(type), so that no
// payload buffer is allocated for an invalid header.
Result<FrameHeader> DecodeFrameHeader(std::string_view bytes);

}  // namespace jujube::wire
