// TcpRelay: passes the bytes of TCP connections on, and can fail to.
//
//   TcpRelay relay(target);   // listens on relay.Address()
//   relay.Stall();            // connections stay open, bytes are held
//   relay.Cut();              // connections end, new ones are refused
//   relay.Restore();          // held bytes are delivered, new ones pass
//
// Runs on a thread of its own. All calls may be made from any thread and have
// taken effect when they return.

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
