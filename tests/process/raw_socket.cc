#include "process/raw_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace jujube::testing {

namespace {

sockaddr_in ToAddress(const Endpoint& endpoint) {
  sockaddr_in address{.sin_family = AF_INET,
                      .sin_port = htons(endpoint.m_port)};
  ::inet_pton(AF_INET, endpoint.m_address.c_str(), &address.sin_addr);
  return address;
}

int OpenConnection(const Endpoint& endpoint, int flags) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
  const sockaddr_in address = ToAddress(endpoint);
  (void)::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
  return fd;
}

}  // namespace

RawSocket RawSocket::Connect(const Endpoint& endpoint) {
  return RawSocket(OpenConnection(endpoint, 0));
}

RawSocket RawSocket::StartConnect(const Endpoint& endpoint) {
  return RawSocket(OpenConnection(endpoint, SOCK_NONBLOCK));
}

RawSocket RawSocket::Listen(const Endpoint& endpoint, int backlog) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(endpoint);
  // Connections of an earlier test on this address may still be in TIME_WAIT.
  const int enabled = 1;
  (void)::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  (void)::bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address));
  (void)::listen(fd, backlog);
  return RawSocket(fd);
}

RawSocket::~RawSocket() {
  Close();
}

RawSocket::RawSocket(RawSocket&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1)) {}

RawSocket& RawSocket::operator=(RawSocket&& other) noexcept {
  Close();
  m_fd = std::exchange(other.m_fd, -1);
  return *this;
}

RawSocket RawSocket::Accept() const {
  return RawSocket(::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC));
}

bool RawSocket::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool RawSocket::ReadUntil(const std::string& text) const {
  std::string received;
  std::array<char, 4096> buffer{};
  while (received.find(text) == std::string::npos) {
    const ssize_t count = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      return false;
    // Only the end can be the beginning of the text. Searching all of a long
    // body again with each part would take too long.
    if (received.size() >= text.size())
      received.erase(0, received.size() - text.size() + 1);
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return true;
}

std::string RawSocket::ReadToEnd() const {
  std::string received;
  std::array<char, 4096> buffer{};
  while (true) {
    const ssize_t count = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      return received;
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

std::size_t RawSocket::DiscardToEnd() const {
  std::size_t total = 0;
  std::array<char, 4096> buffer{};
  while (true) {
    const ssize_t count = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      return total;
    total += static_cast<std::size_t>(count);
  }
}

void RawSocket::Close() {
  if (m_fd >= 0)
    ::close(std::exchange(m_fd, -1));
}

}  // namespace jujube::testing
