// RawSocket: a TCP socket that a test drives byte by byte.

#pragma once

#include <string>

#include "gen/types.h"

namespace jujube::testing {

class RawSocket {
 public:
  // Connects, or begins to without waiting for the result.
  static RawSocket Connect(const Endpoint& endpoint);
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
  // Reads until the text was received; false if the peer closed before.
  bool ReadUntil(const std::string& text) const;
  std::string ReadToEnd() const;  // until the peer closes
  void Close();

 private:
  explicit RawSocket(int file) : m_file(file) {}

  int m_file = -1;
};

}  // namespace jujube::testing
