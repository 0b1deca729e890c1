#include "overload/repeat_filter.h"

namespace jujube::overload {

void RepeatFilter::OnRefused(std::uint64_t key, MonoTime not_before) {
  m_entries[key % kEntries] = {.m_key = key, .m_not_before = not_before};
}

bool RepeatFilter::IsEarly(std::uint64_t key, MonoTime now) const {
  const Entry& entry = m_entries[key % kEntries];
  return entry.m_key == key && now < entry.m_not_before;
}

}  // namespace jujube::overload
