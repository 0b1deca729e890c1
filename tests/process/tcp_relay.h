// TcpRelay: forwards TCP connections to a target and simulates network faults.
//
//   TcpRelay relay(target);   // listens on relay.Address()
//   relay.Stall();            // keeps connections open but forwards no bytes
//   relay.Cut();              // closes connections and refuses new ones
//   relay.Restore();          // delivers held bytes, accepts connections
//
// The relay runs on its own thread. Calls are thread-safe and have taken effect
// when they return.

#pragma once

#include <cstdint>
#include <memory>

#include "gen/types.h"

namespace jujube::process {

class TcpRelay {
 public:
  explicit TcpRelay(const Endpoint& target);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  const Endpoint& Address() const;

  void Stall();
  void Cut();
  void Restore();

  std::uint64_t BytesToTarget() const;
  std::uint64_t BytesFromTarget() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jujube::process
