#include "process/process_harness.h"

#include <unistd.h>

#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace jujube::process {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPollInterval{5};
// A listener that sends nothing for this long is assumed to have handled the
// bytes.
constexpr milliseconds kIdleTimeout{200};

// Process ids have at most 22 bits, so the addresses lie between 127.100.0.0
// and 127.163.255.255, which no example uses.
std::string AddressOfProcess() {
  constexpr unsigned kSecondOctetBase = 100;
  constexpr unsigned kByte = 256;
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(kSecondOctetBase + id / kByte / kByte) + "." +
         std::to_string(id / kByte % kByte) + "." + std::to_string(id % kByte);
}

}  // namespace

void WaitUntil(std::string_view description,
               const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kHangLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit)
      throw std::runtime_error("hang limit exceeded: " +
                               std::string(description));
    std::this_thread::sleep_for(kPollInterval);
  }
}

Endpoint ReserveEndpoint() {
  static std::mutex mutex;
  static std::set<std::uint16_t> reserved_ports;
  const std::lock_guard<std::mutex> lock(mutex);
  asio::io_context io;
  while (true) {
    tcp::acceptor acceptor(
        io, tcp::endpoint(asio::ip::make_address(AddressOfProcess()), 0));
    const std::uint16_t port = acceptor.local_endpoint().port();
    if (reserved_ports.insert(port).second)
      return {.m_address = AddressOfProcess(), .m_port = port};
  }
}

std::string ToText(const Endpoint& endpoint) {
  return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

std::string ToSettings(const Endpoint& endpoint) {
  return R"({"address": ")" + endpoint.m_address + R"(", "port": )" +
         std::to_string(endpoint.m_port) + "}";
}

std::string ReplaceAll(std::string text,
                       std::string_view from,
                       std::string_view to) {
  std::size_t position = text.find(from);
  while (position != std::string::npos) {
    text.replace(position, from.size(), to);
    position = text.find(from, position + to.size());
  }
  return text;
}

std::string ReadText(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool SendBytes(const Endpoint& endpoint, std::string_view bytes) {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({asio::ip::make_address(endpoint.m_address), endpoint.m_port},
                 error);
  if (error)
    return false;
  asio::write(socket, asio::buffer(bytes.data(), bytes.size()), error);
  std::string buffer(4096, '\0');
  bool is_closed = false;
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer),
                           [&](const auto& read_error, std::size_t) {
                             is_closed = static_cast<bool>(read_error);
                             if (!is_closed)
                               read();
                           });
  };
  read();
  while (!is_closed && io.run_one_for(kIdleTimeout) > 0) {
  }
  return true;
}

}  // namespace jujube::process
