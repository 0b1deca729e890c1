// Map from nested ranges of numbers to values, for longest prefix match.

#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace jujube::lookup {

// Ranges may nest but not overlap otherwise, as prefixes do. They are flattened
// to disjoint ranges sorted by start; a first-level index over the starts
// leaves a binary search of a few steps.
template <class Key>
class RangeMap {
 public:
  static constexpr std::uint32_t kNoValue = 0xffffffff;

  struct Range {
    Key m_first{};              // inclusive
    Key m_last{};               // inclusive
    std::uint32_t m_value = 0;  // not kNoValue
  };

  RangeMap() : RangeMap(std::vector<Range>()) {}

  // No two ranges may have the same bounds.
  explicit RangeMap(std::vector<Range> ranges) {
    Flatten(std::move(ranges));
    BuildIndex();
  }

  // Value of the innermost range that holds the key, or kNoValue.
  std::uint32_t Find(Key key) const {
    if (key < m_base)
      return m_values.front();
    const std::size_t bucket =
        std::min(static_cast<std::size_t>((key - m_base) >> m_shift),
                 m_index.size() - 2);
    const Key* low = m_starts.data() + m_index[bucket];
    const Key* high = m_starts.data() + m_index[bucket + 1] + 1;
    return m_values[std::upper_bound(low, high, key) - m_starts.data() - 1];
  }

  std::size_t Ranges() const { return m_starts.size(); }

  std::size_t Bytes() const {
    return m_starts.capacity() * sizeof(Key) +
           (m_values.capacity() + m_index.capacity()) * sizeof(std::uint32_t);
  }

  friend bool operator==(const RangeMap&, const RangeMap&) = default;

 private:
  // 65,536 entries of 4 bytes stay in the second-level cache.
  static constexpr unsigned kMaxIndexBits = 16;

  void Emit(Key start, std::uint32_t value) {
    if (!m_starts.empty() && m_starts.back() == start) {
      m_values.back() = value;
      return;
    }
    if (!m_values.empty() && m_values.back() == value)
      return;
    m_starts.push_back(start);
    m_values.push_back(value);
  }

  // Ends the innermost open range; the enclosing one continues after it.
  void Close(std::vector<Range>& open) {
    const Key last = open.back().m_last;
    open.pop_back();
    if (last != static_cast<Key>(~Key{0}))
      Emit(last + 1, open.empty() ? kNoValue : open.back().m_value);
  }

  void Flatten(std::vector<Range> ranges) {
    std::sort(ranges.begin(), ranges.end(), [](const Range& a, const Range& b) {
      return a.m_first != b.m_first ? a.m_first < b.m_first
                                    : a.m_last > b.m_last;
    });
    Emit(0, kNoValue);
    std::vector<Range> open;
    for (const Range& range : ranges) {
      while (!open.empty() && open.back().m_last < range.m_first)
        Close(open);
      Emit(range.m_first, range.m_value);
      open.push_back(range);
    }
    while (!open.empty())
      Close(open);
    m_starts.shrink_to_fit();
    m_values.shrink_to_fit();
  }

  // Buckets of equal width between the second start and the last one; there
  // are no more of them than ranges, so that a small table stays small.
  void BuildIndex() {
    m_base = m_starts.size() > 1 ? m_starts[1] : 0;
    const Key span = m_starts.back() - m_base;
    const unsigned bits = std::min<unsigned>(
        kMaxIndexBits, static_cast<unsigned>(std::bit_width(m_starts.size())));
    while ((span >> m_shift) >> bits != 0)
      ++m_shift;
    const auto buckets = static_cast<std::size_t>(span >> m_shift) + 1;
    m_index.reserve(buckets + 1);
    std::size_t position = 0;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
      const Key start = m_base + (static_cast<Key>(bucket) << m_shift);
      while (position + 1 < m_starts.size() && m_starts[position + 1] <= start)
        ++position;
      m_index.push_back(static_cast<std::uint32_t>(position));
    }
    m_index.push_back(static_cast<std::uint32_t>(m_starts.size() - 1));
  }

  std::vector<Key> m_starts;            // ascending; the first is 0
  std::vector<std::uint32_t> m_values;  // value from each start to the next
  std::vector<std::uint32_t> m_index;   // last start at or before each bucket
  Key m_base = 0;                       // start of the first bucket
  unsigned m_shift = 0;                 // log2 of the width of a bucket
};

}  // namespace jujube::lookup
