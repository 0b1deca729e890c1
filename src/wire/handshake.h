// Handshake: mutual authentication with a shared key; derives session keys.
//
//   client                                   server
//   ClientHello(party)            --->
//                                 <---       ServerHello(key, hello, party)
//   AcceptServerHello(...)        --->       AcceptClientProof(...)
//
// Each step is a pure function; the caller keeps the bytes that it sent. A
// proof covers the nonces and incarnations of both ends, so a recorded
// handshake cannot be replayed on a new connection. The server sends its proof
// first, so that a client detects a wrong key without another round trip.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace jujube::wire {

inline constexpr std::size_t kNonceBytes = 32;
inline constexpr std::size_t kProofBytes = 32;
inline constexpr std::size_t kMinKeyBytes = 16;  // 128 bits
inline constexpr std::size_t kClientHelloBytes = 8 + 8 + kNonceBytes;
inline constexpr std::size_t kServerHelloBytes =
    kClientHelloBytes + kProofBytes;
inline constexpr std::size_t kClientProofBytes = kProofBytes;

// One end of a handshake.
struct HandshakeParty {
  std::string m_nonce;              // kNonceBytes, new for each handshake
  std::uint64_t m_incarnation = 0;  // of the process

  friend auto operator<=>(const HandshakeParty&,
                          const HandshakeParty&) = default;
};

// Result of a successful handshake, at either end.
struct Session {
  std::string m_send_key;                // 32 bytes
  std::string m_receive_key;             // 32 bytes
  std::uint64_t m_peer_incarnation = 0;  // authenticated

  friend auto operator<=>(const Session&, const Session&) = default;
};

// The client's proof, to be sent to the server, and the client's session.
struct ClientAcceptance {
  std::string m_proof;  // kClientProofBytes
  Session m_session;

  friend auto operator<=>(const ClientAcceptance&,
                          const ClientAcceptance&) = default;
};

// Returns kClientHelloBytes.
std::string ClientHello(const HandshakeParty& client);

// Returns kServerHelloBytes. kInvalidInput: the client hello is malformed.
Result<std::string> ServerHello(std::string_view key,
                                std::string_view client_hello,
                                const HandshakeParty& server);

// Called by the client. kInvalidInput: the server hello is malformed; kRefused:
// the server does not have the key.
Result<ClientAcceptance> AcceptServerHello(std::string_view key,
                                           const HandshakeParty& client,
                                           std::string_view server_hello);

// Called by the server, with the bytes of both hellos. kInvalidInput: a hello
// is malformed; kRefused: the client does not have the key.
Result<Session> AcceptClientProof(std::string_view key,
                                  std::string_view client_hello,
                                  std::string_view server_hello,
                                  std::string_view client_proof);

}  // namespace jujube::wire
