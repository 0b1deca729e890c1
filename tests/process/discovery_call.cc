#include "process/discovery_call.h"

#include "process/discovery_hosts.h"
#include "process/raw_socket.h"

namespace jujube::process {

using testing::RawSocket;

Answer Call(const Endpoint& to,
            const std::string& start,
            const std::string& headers,
            const std::string& body) {
  const RawSocket socket = RawSocket::Connect(to);
  socket.Send(start + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" +
              headers + "Content-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body);
  const std::string text = socket.ReadToEnd();
  constexpr std::size_t kStatusOffset = 9;  // after "HTTP/1.1 "
  if (text.size() < kStatusOffset + 3)
    return {};
  return {.m_status = std::stoi(text.substr(kStatusOffset, 3)), .m_text = text};
}

Answer CallControl(std::size_t host,
                   const std::string& method,
                   const std::string& path,
                   const std::string& headers,
                   const std::string& body) {
  Endpoint to{.m_address = AddressOf(host), .m_port = kControlPort};
  Answer answer;
  for (int i = 0; i < 3; ++i) {
    std::string start = method;
    start += " ";
    start += path;
    answer = Call(to, start, headers, body);
    const std::size_t header_offset = answer.m_text.find("Location: http://");
    if (answer.m_status != 307 || header_offset == std::string::npos)
      return answer;
    const std::size_t host_offset =
        header_offset + std::string("Location: http://").size();
    to.m_address = answer.m_text.substr(
        host_offset, answer.m_text.find(':', host_offset) - host_offset);
  }
  return answer;
}

}  // namespace jujube::process
