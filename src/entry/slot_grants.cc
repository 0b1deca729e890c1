#include "entry/slot_grants.h"

#include <algorithm>
#include <limits>

namespace jujube::entry {

namespace {

std::uint32_t ToSlots(std::uint64_t units) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      units, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

SlotGrants ReadSlotGrants(const AllotmentReply& reply, MonoTime lease_end) {
  SlotGrants grants;
  for (const Allotment& allotment : reply.m_allotments) {
    if (allotment.m_limit.m_kind != LimitKind::kInstanceSlots)
      continue;
    const std::string& name = allotment.m_limit.m_name;
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos)
      continue;
    grants[{.m_service = {name.substr(0, slash)},
            .m_instance = {name.substr(slash + 1)}}] = {
        .m_safe = ToSlots(allotment.m_safe),
        .m_leased = ToSlots(allotment.m_leased),
        .m_leased_until = lease_end};
  }
  return grants;
}

}  // namespace jujube::entry
