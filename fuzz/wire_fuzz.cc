// libFuzzer target: bytes from a peer must not make the decoders read out of
// bounds, allocate without limit or terminate the process.
//
//   cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 \
//     -DJUJUBE_FUZZ=ON -DJUJUBE_BENCH=OFF
//   ninja -C build-fuzz wire_fuzz
//   build-fuzz/wire_fuzz -seed=1 -runs=300000 -max_len=4096 -rss_limit_mb=512
//
// The second byte selects the handshake, frame, snapshot or message decoders,
// and the first one the message type. The remaining bytes are the input.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "feed/subscriber.h"
#include "gen/frames.h"
#include "wire/frame_opener.h"
#include "wire/frame_sealer.h"
#include "wire/handshake.h"

namespace jujube {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";

void Require(bool condition) {
  if (!condition)
    std::abort();
}

// A message that decodes must encode to the same bytes.
template <class Message>
void FuzzMessage(std::uint16_t type, std::string_view bytes) {
  if (type != static_cast<std::uint16_t>(FrameTraits<Message>::kType))
    return;
  const auto message = FrameTraits<Message>::Decode(bytes);
  if (message)
    Require(Encode(message.value()) == bytes);
}

template <class... Messages>
void FuzzMessages(std::uint16_t type, std::string_view bytes) {
  (FuzzMessage<Messages>(type, bytes), ...);
}

void FuzzHandshake(std::string_view bytes) {
  const wire::HandshakeParty party{
      .m_nonce = std::string(wire::kNonceBytes, 'n'), .m_incarnation = 1};
  Require(!wire::AcceptServerHello(kKey, party, bytes));
  const std::string hello = wire::ClientHello(party);
  const auto reply = wire::ServerHello(kKey, hello, party).value();
  Require(!wire::AcceptClientProof(kKey, hello, reply, bytes));
  (void)wire::ServerHello(kKey, bytes, party);
}

void FuzzFrame(std::string_view bytes) {
  wire::FrameOpener verifier(kKey, 1);
  const auto header = verifier.Head(bytes.substr(0, wire::kFrameHeadBytes));
  if (!header)
    return;
  const std::string_view payload = bytes.substr(wire::kFrameHeadBytes);
  Require(header.value().m_payload_length <=
          MaxPayloadBytes(header.value().m_type));
  Require(!verifier.Payload(payload));  // the fuzzer cannot forge a tag
}

void FuzzSnapshotChunk(std::string_view bytes) {
  feed::Subscriber subscriber;
  const FeedSnapshotChunk chunk{.m_index = 1,
                                .m_total_bytes = bytes.size(),
                                .m_data = std::string(bytes)};
  (void)subscriber.OnChunk(chunk);
}

}  // namespace
}  // namespace jujube

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace jujube;  // NOLINT
  if (size < 2)
    return 0;
  const std::uint16_t type = data[0];
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 2,
                               size - 2);
  switch (data[1] % 4) {
    case 0:
      FuzzHandshake(bytes);
      break;
    case 1:
      FuzzFrame(bytes);
      break;
    case 2:
      FuzzSnapshotChunk(bytes);
      break;
    default:
      FuzzMessages<VoteRequest, VoteReply, AppendRequest, AppendReply,
                   SnapshotChunk, SnapshotReply, TimeoutNow, Introduction,
                   FeedSubscribe, FeedChange, FeedSnapshotChunk, FeedStatus,
                   ClaimRequest, ClaimReply, ClaimFinish, ClaimFinishReply,
                   AllotmentRequest, AllotmentReply, RegistryDelta>(type,
                                                                    bytes);
  }
  return 0;
}
