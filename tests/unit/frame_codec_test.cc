#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "gen/frames.h"
#include "wire/frame_opener.h"
#include "wire/frame_sealer.h"
#include "wire/handshake.h"

namespace jujube::wire {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";
constexpr auto kType = static_cast<std::uint16_t>(FrameType::kFeedStatus);

HandshakeParty Party(char nonce, std::uint64_t incarnation) {
  return {.m_nonce = std::string(kNonceBytes, nonce),
          .m_incarnation = incarnation};
}

void FlipBit(std::string* bytes, std::size_t bit) {
  char& byte = (*bytes)[bit / 8];
  byte =
      static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (bit % 8)));
}

struct Sealed {
  std::string m_head;
  std::string m_payload;
};

Sealed Seal(FrameSealer* sealer, const std::string& payload) {
  return {sealer->Head(kType, 9, payload), payload};
}

Status Open(FrameOpener* opener, const Sealed& frame) {
  JUJUBE_TRY(const FrameHeader header, opener->Head(frame.m_head));
  if (header.m_payload_length != frame.m_payload.size())
    return MakeError(ErrorCode::kInvalidInput, "other length");
  return opener->Payload(frame.m_payload);
}

TEST(FrameHandshake, BothEndsDeriveTheSameKeys) {
  const auto client = Party('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello(kKey, hello, Party('s', 8)).value();
  const auto accepted = AcceptServerHello(kKey, client, reply).value();
  const auto server =
      AcceptClientProof(kKey, hello, reply, accepted.m_proof).value();
  EXPECT_EQ(server.m_send_key, accepted.m_session.m_receive_key);
  EXPECT_EQ(server.m_receive_key, accepted.m_session.m_send_key);
  EXPECT_NE(server.m_send_key, server.m_receive_key);
  EXPECT_EQ(server.m_peer_incarnation, 5U);
  EXPECT_EQ(accepted.m_session.m_peer_incarnation, 8U);
}

// Guards against a foreign process that joins without the key, at either end.
TEST(FrameHandshake, WrongKeyIsRefusedAtBothEnds) {
  const auto client = Party('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello("another key of ours", hello, Party('s', 8));
  EXPECT_FALSE(AcceptServerHello(kKey, client, reply.value()));
  const std::string proof =
      AcceptServerHello("another key of ours", client, reply.value())
          .value()
          .m_proof;
  EXPECT_FALSE(AcceptClientProof(kKey, hello, reply.value(), proof));
}

// Guards against the use of a recorded handshake, and against a server proof
// that is sent back as the proof of a client.
TEST(FrameHandshake, RecordedOrReflectedProofIsRefused) {
  const auto client = Party('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello(kKey, hello, Party('s', 8)).value();
  const auto proof = AcceptServerHello(kKey, client, reply).value().m_proof;
  const auto later = ServerHello(kKey, hello, Party('t', 8)).value();
  EXPECT_FALSE(AcceptClientProof(kKey, hello, later, proof));
  EXPECT_FALSE(
      AcceptClientProof(kKey, hello, reply, reply.substr(kClientHelloBytes)));
  EXPECT_FALSE(AcceptServerHello(kKey, Party('d', 5), reply));
}

// Guards against an unauthenticated field of the handshake.
TEST(FrameHandshake, EveryBitFlipIsRefused) {
  const auto client = Party('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello(kKey, hello, Party('s', 8)).value();
  const auto proof = AcceptServerHello(kKey, client, reply).value().m_proof;
  for (std::size_t bit = 0; bit < reply.size() * 8; ++bit) {
    std::string changed = reply;
    FlipBit(&changed, bit);
    EXPECT_FALSE(AcceptServerHello(kKey, client, changed)) << bit;
  }
  for (std::size_t bit = 0; bit < hello.size() * 8; ++bit) {
    std::string changed = hello;
    FlipBit(&changed, bit);
    EXPECT_FALSE(AcceptClientProof(kKey, changed, reply, proof)) << bit;
  }
  for (std::size_t size = 0; size < reply.size(); ++size)
    EXPECT_FALSE(AcceptServerHello(kKey, client, reply.substr(0, size)));
}

TEST(FrameCodec, FramesInOrderAreAccepted) {
  FrameSealer sealer(kKey, 7);
  FrameOpener opener(kKey, 7);
  for (const char* payload : {"one", "", "three"})
    EXPECT_TRUE(Open(&opener, Seal(&sealer, payload)));
}

// Guards against a changed length, type, correlation or payload.
TEST(FrameCodec, EveryBitFlipIsRefused) {
  FrameSealer sealer(kKey, 7);
  const Sealed frame = Seal(&sealer, "payload");
  const std::string bytes = frame.m_head + frame.m_payload;
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string changed = bytes;
    FlipBit(&changed, bit);
    FrameOpener opener(kKey, 7);
    EXPECT_FALSE(Open(&opener, {changed.substr(0, kFrameHeadBytes),
                                changed.substr(kFrameHeadBytes)}))
        << bit;
  }
}

// Guards against an old frame that is sent again, and against a swap.
TEST(FrameCodec, ReplayedAndReorderedFramesAreRefused) {
  FrameSealer sealer(kKey, 7);
  const Sealed first = Seal(&sealer, "first");
  const Sealed second = Seal(&sealer, "second");
  FrameOpener replayed(kKey, 7);
  EXPECT_TRUE(Open(&replayed, first));
  EXPECT_FALSE(Open(&replayed, first));
  FrameOpener reordered(kKey, 7);
  EXPECT_FALSE(Open(&reordered, second));
}

// Guards against frames of an earlier start of the peer, and of another
// session or direction.
TEST(FrameCodec, OtherIncarnationOrKeyIsRefused) {
  FrameSealer sealer(kKey, 7);
  const Sealed frame = Seal(&sealer, "x");
  FrameOpener other_incarnation(kKey, 8);
  EXPECT_FALSE(Open(&other_incarnation, frame));
  FrameOpener other_key("0123456789abcdef0123456789abcdeg", 7);
  EXPECT_FALSE(Open(&other_key, frame));
}

// Guards against memory of the size that a hostile length asks for: the head
// alone is enough to refuse it.
TEST(FrameCodec, LengthAboveTheLimitOfItsTypeIsRefusedFromTheHead) {
  for (std::uint16_t type = 0; type < 100; ++type) {
    const auto max = static_cast<std::uint32_t>(MaxPayloadBytes(type));
    const std::string tag(kFrameTagBytes, '\0');
    FrameOpener opener(kKey, 0);
    EXPECT_FALSE(opener.Head(
        EncodeFrameHeader({.m_type = type, .m_payload_length = max + 1}) +
        tag));
    EXPECT_EQ(
        opener
            .Head(EncodeFrameHeader({.m_type = type, .m_payload_length = max}) +
                  tag)
            .has_value(),
        max > 0);
  }
}

TEST(FrameCodec, TruncatedHeadIsRefused) {
  FrameSealer sealer(kKey, 7);
  const std::string head = Seal(&sealer, "x").m_head;
  FrameOpener opener(kKey, 7);
  for (std::size_t size = 0; size < head.size(); ++size)
    EXPECT_FALSE(opener.Head(head.substr(0, size))) << size;
}

}  // namespace
}  // namespace jujube::wire
