// RawSocket: a TCP socket that sends and receives arbitrary bytes. Connect(),
// Listen(), Accept() and Send() do not report errors.

#pragma once

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
  void Send(const std::string& bytes) const;
  // Reads until `text` has been received; false if the peer closes first.
  bool ReadUntil(const std::string& text) const;
  std::string ReadToEnd() const;  // until the peer closes
  void Close();

 private:
  explicit RawSocket(int fd) : m_fd(fd) {}

  int m_fd = -1;
};

}  // namespace jujube::testing
