#include "wire/handshake.h"

#include <cassert>
#include <cstring>

#include "wire/hmac.h"

namespace jujube::wire {

namespace {

// Protocol and version; a change of the frame layout needs a new value.
constexpr std::string_view kHelloMagic = "JUJUBE\0\1";
constexpr std::string_view kHelloPrefix(kHelloMagic.data(), 8);

// A label for each use of the key keeps a proof from being sent back to its
// author and keeps the session keys apart.
constexpr std::string_view kServerProofLabel = "server proof";
constexpr std::string_view kClientProofLabel = "client proof";
constexpr std::string_view kClientToServerLabel = "client to server";
constexpr std::string_view kServerToClientLabel = "server to client";

// The part of the two hellos that proofs and keys cover.
struct Transcript {
  std::string_view m_client;  // kClientHelloBytes
  std::string_view m_server;  // kClientHelloBytes, without the proof
};

std::string Derive(std::string_view key,
                   std::string_view label,
                   const Transcript& transcript) {
  return Hmac(key).Sign({label, transcript.m_client, transcript.m_server});
}

std::string Hello(const HandshakeParty& party) {
  assert(party.m_nonce.size() == kNonceBytes);
  std::string bytes(kHelloPrefix);
  bytes.append(reinterpret_cast<const char*>(&party.m_incarnation),
               sizeof party.m_incarnation);
  return bytes + party.m_nonce;
}

std::uint64_t IncarnationOf(std::string_view hello) {
  std::uint64_t incarnation = 0;
  std::memcpy(&incarnation, hello.data() + kHelloPrefix.size(),
              sizeof incarnation);
  return incarnation;
}

Status CheckHello(std::string_view hello, std::size_t size) {
  if (hello.size() != size || !hello.starts_with(kHelloPrefix)) {
    return MakeError(ErrorCode::kInvalidInput,
                     "handshake: peer speaks another protocol or version");
  }
  return Success();
}

Error WrongKey(std::string_view peer) {
  return MakeError(ErrorCode::kRefused, "handshake: " + std::string(peer) +
                                            " does not hold the key");
}

}  // namespace

std::string ClientHello(const HandshakeParty& client) {
  return Hello(client);
}

Result<std::string> ServerHello(std::string_view key,
                                std::string_view client_hello,
                                const HandshakeParty& server) {
  JUJUBE_TRY(CheckHello(client_hello, kClientHelloBytes));
  const std::string hello = Hello(server);
  return hello + Derive(key, kServerProofLabel, {client_hello, hello});
}

Result<ClientAcceptance> AcceptServerHello(std::string_view key,
                                           const HandshakeParty& client,
                                           std::string_view server_hello) {
  JUJUBE_TRY(CheckHello(server_hello, kServerHelloBytes));
  const std::string client_hello = Hello(client);
  const Transcript transcript{client_hello,
                              server_hello.substr(0, kClientHelloBytes)};
  if (!SameTag(Derive(key, kServerProofLabel, transcript),
               server_hello.substr(kClientHelloBytes)))
    return WrongKey("server");
  return ClientAcceptance{
      .m_proof = Derive(key, kClientProofLabel, transcript),
      .m_session = {
          .m_send_key = Derive(key, kClientToServerLabel, transcript),
          .m_receive_key = Derive(key, kServerToClientLabel, transcript),
          .m_peer_incarnation = IncarnationOf(server_hello)}};
}

Result<Session> AcceptClientProof(std::string_view key,
                                  std::string_view client_hello,
                                  std::string_view server_hello,
                                  std::string_view client_proof) {
  JUJUBE_TRY(CheckHello(client_hello, kClientHelloBytes));
  JUJUBE_TRY(CheckHello(server_hello, kServerHelloBytes));
  const Transcript transcript{client_hello,
                              server_hello.substr(0, kClientHelloBytes)};
  if (!SameTag(Derive(key, kClientProofLabel, transcript), client_proof))
    return WrongKey("client");
  return Session{.m_send_key = Derive(key, kServerToClientLabel, transcript),
                 .m_receive_key = Derive(key, kClientToServerLabel, transcript),
                 .m_peer_incarnation = IncarnationOf(client_hello)};
}

}  // namespace jujube::wire
