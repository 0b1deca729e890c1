// FrameOpener: checks the frames of one direction of a connection.
//
//   JUJUBE_TRY(const FrameHeader header, opener.Head(head_bytes));
//   // read header.m_payload_length bytes
//   JUJUBE_TRY(opener.Payload(payload_bytes));
//
// Any error means that the connection must be closed.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "wire/frame.h"
#include "wire/hmac.h"

namespace jujube::wire {

class FrameOpener {
 public:
  // session_key: of this direction. incarnation: of the peer, as it gave it in
  // the handshake.
  FrameOpener(std::string_view session_key, std::uint64_t incarnation);

  // Takes kFrameHeadBytes. kInvalidInput: malformed or too large; kRefused:
  // the incarnation is not the one of the handshake.
  Result<FrameHeader> Head(std::string_view head);

  // Takes the payload of the last head. kRefused: changed, replayed, reordered
  // or sealed with another key.
  Status Payload(std::string_view payload);

 private:
  Hmac m_hmac;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;  // of the next frame
  std::string m_head;            // awaiting its payload; empty: none
};

}  // namespace jujube::wire
