#include "entry/body_share.h"

#include <algorithm>

namespace jujube::entry {

std::uint64_t BodyShareOfThread(std::uint64_t total,
                                std::size_t hosts,
                                std::size_t threads) {
  return total / std::max<std::size_t>(hosts, 1) /
         std::max<std::size_t>(threads, 1);
}

bool BodyShare::HasRoom(const InstanceId& instance,
                        std::uint64_t bytes,
                        std::uint64_t share) const {
  const auto found = m_bytes.find(instance);
  // Without a body under way, one of any size may be sent.
  return found == m_bytes.end() ||
         (bytes <= share && found->second <= share - bytes);
}

BodyShare::Sending::Sending(BodyShare& share,
                            const InstanceId& instance,
                            std::uint64_t bytes)
    : m_share(share), m_instance(instance), m_bytes(bytes) {
  if (m_bytes > 0)
    m_share.m_bytes[m_instance] += m_bytes;
}

BodyShare::Sending::~Sending() {
  const auto found = m_share.m_bytes.find(m_instance);
  if (m_bytes == 0 || found == m_share.m_bytes.end())
    return;
  found->second -= m_bytes;
  if (found->second == 0)
    m_share.m_bytes.erase(found);
}

}  // namespace jujube::entry
