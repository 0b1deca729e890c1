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
constexpr auto kFrameType = static_cast<std::uint16_t>(FrameType::kFeedStatus);

HandshakeParty MakeParty(char nonce, std::uint64_t incarnation) {
  return {.m_nonce = std::string(kNonceBytes, nonce),
          .m_incarnation = incarnation};
}

void FlipBit(std::string* bytes, std::size_t bit) {
  char& byte = (*bytes)[bit / 8];
  byte =
      static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (bit % 8)));
}

struct SignedFrame {
  std::string m_header_and_tag;
  std::string m_payload;
};

SignedFrame SignFrame(FrameSealer* signer, const std::string& payload) {
  return {signer->Head(kFrameType, 9, payload), payload};
}

Status VerifyFrame(FrameOpener* verifier, const SignedFrame& frame) {
  JUJUBE_TRY(const FrameHeader header, verifier->Head(frame.m_header_and_tag));
  if (header.m_payload_length != frame.m_payload.size())
    return MakeError(ErrorCode::kInvalidInput,
                     "payload length differs from the header");
  return verifier->Payload(frame.m_payload);
}

TEST(FrameHandshake, BothEndsDeriveTheSameKeys) {
  const auto client = MakeParty('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello(kKey, hello, MakeParty('s', 8)).value();
  const auto accepted = AcceptServerHello(kKey, client, reply).value();
  const auto server =
      AcceptClientProof(kKey, hello, reply, accepted.m_proof).value();
  EXPECT_EQ(server.m_send_key, accepted.m_session.m_receive_key);
  EXPECT_EQ(server.m_receive_key, accepted.m_session.m_send_key);
  EXPECT_NE(server.m_send_key, server.m_receive_key);
  EXPECT_EQ(server.m_peer_incarnation, 5U);
  EXPECT_EQ(accepted.m_session.m_peer_incarnation, 8U);
}

// Guards against a process without the key that connects or accepts.
TEST(FrameHandshake, WrongKeyIsRefusedAtBothEnds) {
  const auto client = MakeParty('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply =
      ServerHello("another key of ours", hello, MakeParty('s', 8));
  EXPECT_FALSE(AcceptServerHello(kKey, client, reply.value()));
  const std::string proof =
      AcceptServerHello("another key of ours", client, reply.value())
          .value()
          .m_proof;
  EXPECT_FALSE(AcceptClientProof(kKey, hello, reply.value(), proof));
}

// Guards against a replayed handshake, and against a server proof that is
// reflected as the proof of the client.
TEST(FrameHandshake, RecordedOrReflectedProofIsRefused) {
  const auto client = MakeParty('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello(kKey, hello, MakeParty('s', 8)).value();
  const auto proof = AcceptServerHello(kKey, client, reply).value().m_proof;
  const auto other_reply = ServerHello(kKey, hello, MakeParty('t', 8)).value();
  EXPECT_FALSE(AcceptClientProof(kKey, hello, other_reply, proof));
  EXPECT_FALSE(
      AcceptClientProof(kKey, hello, reply, reply.substr(kClientHelloBytes)));
  EXPECT_FALSE(AcceptServerHello(kKey, MakeParty('d', 5), reply));
}

// Guards against a field of the handshake that the proofs do not cover.
TEST(FrameHandshake, EveryBitFlipIsRefused) {
  const auto client = MakeParty('c', 5);
  const std::string hello = ClientHello(client);
  const auto reply = ServerHello(kKey, hello, MakeParty('s', 8)).value();
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
  FrameSealer signer(kKey, 7);
  FrameOpener verifier(kKey, 7);
  for (const char* payload : {"one", "", "three"})
    EXPECT_TRUE(VerifyFrame(&verifier, SignFrame(&signer, payload)));
}

// Guards against a header field or payload byte that the tag does not cover.
TEST(FrameCodec, EveryBitFlipIsRefused) {
  FrameSealer signer(kKey, 7);
  const SignedFrame frame = SignFrame(&signer, "payload");
  const std::string bytes = frame.m_header_and_tag + frame.m_payload;
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string changed = bytes;
    FlipBit(&changed, bit);
    FrameOpener verifier(kKey, 7);
    EXPECT_FALSE(VerifyFrame(&verifier, {changed.substr(0, kFrameHeadBytes),
                                         changed.substr(kFrameHeadBytes)}))
        << bit;
  }
}

// Guards against replayed and reordered frames.
TEST(FrameCodec, ReplayedAndReorderedFramesAreRefused) {
  FrameSealer signer(kKey, 7);
  const SignedFrame first = SignFrame(&signer, "first");
  const SignedFrame second = SignFrame(&signer, "second");
  FrameOpener replayed(kKey, 7);
  EXPECT_TRUE(VerifyFrame(&replayed, first));
  EXPECT_FALSE(VerifyFrame(&replayed, first));
  FrameOpener reordered(kKey, 7);
  EXPECT_FALSE(VerifyFrame(&reordered, second));
}

// Guards against frames of an earlier run of the peer, and of another session
// or direction.
TEST(FrameCodec, OtherIncarnationOrKeyIsRefused) {
  FrameSealer signer(kKey, 7);
  const SignedFrame frame = SignFrame(&signer, "x");
  FrameOpener other_incarnation(kKey, 8);
  EXPECT_FALSE(VerifyFrame(&other_incarnation, frame));
  FrameOpener other_key("0123456789abcdef0123456789abcdeg", 7);
  EXPECT_FALSE(VerifyFrame(&other_key, frame));
}

// Guards against allocating the payload length that a malicious header claims:
// the header must be rejected before the payload is read.
TEST(FrameCodec, PayloadLengthAboveTheLimitIsRefusedFromTheHeader) {
  for (std::uint16_t type = 0; type < 100; ++type) {
    const auto max = static_cast<std::uint32_t>(MaxPayloadBytes(type));
    const std::string tag(kFrameTagBytes, '\0');
    FrameOpener verifier(kKey, 0);
    EXPECT_FALSE(verifier.Head(
        EncodeFrameHeader({.m_type = type, .m_payload_length = max + 1}) +
        tag));
    EXPECT_EQ(
        verifier
            .Head(EncodeFrameHeader({.m_type = type, .m_payload_length = max}) +
                  tag)
            .has_value(),
        max > 0);
  }
}

TEST(FrameCodec, TruncatedHeaderIsRefused) {
  FrameSealer signer(kKey, 7);
  const std::string header_and_tag = SignFrame(&signer, "x").m_header_and_tag;
  FrameOpener verifier(kKey, 7);
  for (std::size_t size = 0; size < header_and_tag.size(); ++size)
    EXPECT_FALSE(verifier.Head(header_and_tag.substr(0, size))) << size;
}

}  // namespace
}  // namespace jujube::wire
