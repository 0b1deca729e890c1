// RawSocket: a TCP socket that sends and receives arbitrary bytes. Connect(),
// Listen() and Accept() do not report errors.

#pragma once

#include <cstddef>
#include <string>

#include "gen/types.h"

namespace jujube::testing {

class RawSocket {
 public:
  static RawSocket Connect(const Endpoint& endpoint);
  // Starts a non-blocking connect and returns before it is complete.
  static RawSocket StartConnect(const Endpoint& endpoint);
  static RawSocket Listen(const Endpoint& endpoint, int backlog);

  RawSocket() = default;
  ~RawSocket();
  RawSocket(RawSocket&& other) noexcept;
  RawSocket& operator=(RawSocket&& other) noexcept;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  RawSocket Accept() const;
  // Returns false if the peer has closed.
  bool Send(const std::string& bytes) const;
  // Reads until `text` has been received; false if the peer closes first.
  bool ReadUntil(const std::string& text) const;
  std::string ReadToEnd() const;     // until the peer closes
  std::size_t DiscardToEnd() const;  // returns the number of bytes
  void Close();

 private:
  explicit RawSocket(int fd) : m_fd(fd) {}

  int m_fd = -1;
};

}  // namespace jujube::testing
