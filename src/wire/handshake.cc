#include "wire/handshake.h"

#include <cassert>
#include <cstring>

#include "wire/hmac.h"

namespace jujube::wire {

namespace {

// kHelloPrefix is the protocol and version; a change of the frame layout needs
// a new value. kHelloMagic itself ends at the NUL, so its size is 6 and it
// lacks the version.
constexpr std::string_view kHelloMagic = "JUJUBE\0\1";
constexpr std::string_view kHelloPrefix(kHelloMagic.data(), 8);

// Each use of the key has its own label, so that a proof cannot be reflected to
// its sender and the session keys of the two directions differ.
constexpr std::string_view kServerProofLabel = "server proof";
constexpr std::string_view kClientProofLabel = "client proof";
constexpr std::string_view kClientToServerLabel = "client to server";
constexpr std::string_view kServerToClientLabel = "server to client";

// The parts of both hellos that proofs and session keys are derived from.
struct Transcript {
  std::string_view m_client_hello;  // kClientHelloBytes
  std::string_view m_server_hello;  // kClientHelloBytes, without the proof
};

std::string TranscriptHmac(std::string_view key,
                           std::string_view label,
                           const Transcript& transcript) {
  return Hmac(key).Sign(
      {label, transcript.m_client_hello, transcript.m_server_hello});
}

std::string EncodeHello(const HandshakeParty& party) {
  assert(party.m_nonce.size() == kNonceBytes);
  std::string bytes(kHelloPrefix);
  bytes.append(reinterpret_cast<const char*>(&party.m_incarnation),
               sizeof party.m_incarnation);
  return bytes + party.m_nonce;
}

std::uint64_t DecodeIncarnation(std::string_view hello) {
  std::uint64_t incarnation = 0;
  std::memcpy(&incarnation, hello.data() + kHelloPrefix.size(),
              sizeof incarnation);
  return incarnation;
}

Status CheckHello(std::string_view hello, std::size_t size) {
  if (hello.size() != size || !hello.starts_with(kHelloPrefix)) {
    return MakeError(ErrorCode::kInvalidInput,
                     "handshake: peer uses another protocol or version");
  }
  return Success();
}

Error KeyProofError(std::string_view peer) {
  return MakeError(ErrorCode::kRefused,
                   "handshake: " + std::string(peer) +
                       " failed to prove that it has the key");
}

}  // namespace

std::string ClientHello(const HandshakeParty& client) {
  return EncodeHello(client);
}

Result<std::string> ServerHello(std::string_view key,
                                std::string_view client_hello,
                                const HandshakeParty& server) {
  JUJUBE_TRY(CheckHello(client_hello, kClientHelloBytes));
  const std::string hello = EncodeHello(server);
  return hello + TranscriptHmac(key, kServerProofLabel, {client_hello, hello});
}

Result<ClientAcceptance> AcceptServerHello(std::string_view key,
                                           const HandshakeParty& client,
                                           std::string_view server_hello) {
  JUJUBE_TRY(CheckHello(server_hello, kServerHelloBytes));
  const std::string client_hello = EncodeHello(client);
  const Transcript transcript{client_hello,
                              server_hello.substr(0, kClientHelloBytes)};
  if (!ConstantTimeEqual(TranscriptHmac(key, kServerProofLabel, transcript),
                         server_hello.substr(kClientHelloBytes)))
    return KeyProofError("server");
  return ClientAcceptance{
      .m_proof = TranscriptHmac(key, kClientProofLabel, transcript),
      .m_session = {
          .m_send_key = TranscriptHmac(key, kClientToServerLabel, transcript),
          .m_receive_key =
              TranscriptHmac(key, kServerToClientLabel, transcript),
          .m_peer_incarnation = DecodeIncarnation(server_hello)}};
}

Result<Session> AcceptClientProof(std::string_view key,
                                  std::string_view client_hello,
                                  std::string_view server_hello,
                                  std::string_view client_proof) {
  JUJUBE_TRY(CheckHello(client_hello, kClientHelloBytes));
  JUJUBE_TRY(CheckHello(server_hello, kServerHelloBytes));
  const Transcript transcript{client_hello,
                              server_hello.substr(0, kClientHelloBytes)};
  if (!ConstantTimeEqual(TranscriptHmac(key, kClientProofLabel, transcript),
                         client_proof))
    return KeyProofError("client");
  return Session{
      .m_send_key = TranscriptHmac(key, kServerToClientLabel, transcript),
      .m_receive_key = TranscriptHmac(key, kClientToServerLabel, transcript),
      .m_peer_incarnation = DecodeIncarnation(client_hello)};
}

}  // namespace jujube::wire
