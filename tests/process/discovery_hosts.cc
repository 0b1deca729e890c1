#include "process/discovery_hosts.h"

#include <unistd.h>

namespace jujube::process {

std::string AddressOf(std::size_t host) {
  const int id = ::getpid();
  return "127." + std::to_string(200 + host) + "." +
         std::to_string((id >> 8) & 0xff) + "." + std::to_string(id & 0xff);
}

}  // namespace jujube::process
