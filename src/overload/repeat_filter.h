// RepeatFilter: recognizes requests that come back before the end of the delay
// that their caller was told.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace jujube::overload {

class RepeatFilter {
 public:
  // `key` is a hash of the address of the caller and what it requested.
  void OnRefused(std::uint64_t key, MonoTime not_before);
  bool IsEarly(std::uint64_t key, MonoTime now) const;

 private:
  // Refusals of a second at a host; a newer one replaces an older one, whose
  // repeat is then treated like a new request.
  static constexpr std::size_t kEntries = 512;

  struct Entry {
    std::uint64_t m_key = 0;
    MonoTime m_not_before{};
  };

  std::array<Entry, kEntries> m_entries;
};

}  // namespace jujube::overload
