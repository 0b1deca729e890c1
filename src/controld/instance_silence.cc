#include "controld/instance_silence.h"

#include <algorithm>

namespace jujube::controld {
namespace {

// Announcement intervals without an announcement after which an upstream is
// silent. Entry hosts notice a failed connection much earlier.
constexpr int kMaxMissedAnnouncements = 4;

// Announcement intervals that an upstream needs to find another control host
// when the one that it announced itself to, usually the previous leader, is
// gone: it waits for an answer of each host that it tries.
constexpr int kFailoverAnnouncements = 4;

}  // namespace

bool IsSilent(const InstanceContact& contact, MonoTime now) {
  const MonoTime expected_from =
      contact.m_leading_since +
      kFailoverAnnouncements * contact.m_announcement_interval;
  return now - std::max(contact.m_sent_at, expected_from) >=
         kMaxMissedAnnouncements * contact.m_announcement_interval;
}

}  // namespace jujube::controld
