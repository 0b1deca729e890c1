// RangeMap: map from nested ranges of integers to values, for longest prefix
// match.

#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace jujube::lookup {

// Two ranges are either disjoint or nested, as prefixes are. They are flattened
// into disjoint ranges sorted by start. An index divides the starts into
// buckets of equal width, so that a look-up needs only a short binary search
// within one bucket.
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

  // Precondition: no two ranges have the same bounds.
  explicit RangeMap(std::vector<Range> ranges) {
    Flatten(std::move(ranges));
    BuildIndex();
  }

  // Value of the innermost range that contains the key, or kNoValue.
  std::uint32_t Find(Key key) const {
    if (key < m_first_bucket_start)
      return m_values.front();
    const std::size_t bucket =
        std::min(static_cast<std::size_t>((key - m_first_bucket_start) >>
                                          m_bucket_shift),
                 m_bucket_positions.size() - 2);
    const Key* low = m_starts.data() + m_bucket_positions[bucket];
    const Key* high = m_starts.data() + m_bucket_positions[bucket + 1] + 1;
    return m_values[std::upper_bound(low, high, key) - m_starts.data() - 1];
  }

  std::size_t RangeCount() const { return m_starts.size(); }

  std::size_t Bytes() const {
    return m_starts.capacity() * sizeof(Key) +
           (m_values.capacity() + m_bucket_positions.capacity()) *
               sizeof(std::uint32_t);
  }

  friend bool operator==(const RangeMap&, const RangeMap&) = default;

 private:
  // 65,536 entries of 4 bytes fit into the L2 cache.
  static constexpr unsigned kMaxIndexBits = 16;

  // Starts a range. Replaces an empty range with the same start, and extends
  // the previous range if it has the same value.
  void AppendRange(Key start, std::uint32_t value) {
    if (!m_starts.empty() && m_starts.back() == start) {
      m_values.back() = value;
      return;
    }
    if (!m_values.empty() && m_values.back() == value)
      return;
    m_starts.push_back(start);
    m_values.push_back(value);
  }

  // Ends the innermost open range; the enclosing range continues after it.
  void CloseInnermost(std::vector<Range>& open_ranges) {
    const Key last = open_ranges.back().m_last;
    open_ranges.pop_back();
    if (last != static_cast<Key>(~Key{0}))
      AppendRange(last + 1,
                  open_ranges.empty() ? kNoValue : open_ranges.back().m_value);
  }

  // Sorts enclosing ranges before the ranges that they contain, and keeps a
  // stack of the ranges that contain the current position.
  void Flatten(std::vector<Range> ranges) {
    std::sort(ranges.begin(), ranges.end(), [](const Range& a, const Range& b) {
      return a.m_first != b.m_first ? a.m_first < b.m_first
                                    : a.m_last > b.m_last;
    });
    AppendRange(0, kNoValue);
    std::vector<Range> open_ranges;
    for (const Range& range : ranges) {
      while (!open_ranges.empty() && open_ranges.back().m_last < range.m_first)
        CloseInnermost(open_ranges);
      AppendRange(range.m_first, range.m_value);
      open_ranges.push_back(range);
    }
    while (!open_ranges.empty())
      CloseInnermost(open_ranges);
    m_starts.shrink_to_fit();
    m_values.shrink_to_fit();
  }

  // Divides the keys between the second and the last start into buckets of
  // equal width. The index grows with the number of ranges, not with the gaps
  // between them, so that a table of few ranges needs little memory.
  void BuildIndex() {
    m_first_bucket_start = m_starts.size() > 1 ? m_starts[1] : 0;
    const Key bucket_span = m_starts.back() - m_first_bucket_start;
    const unsigned bits = std::min<unsigned>(
        kMaxIndexBits, static_cast<unsigned>(std::bit_width(m_starts.size())));
    while ((bucket_span >> m_bucket_shift) >> bits != 0)
      ++m_bucket_shift;
    const auto bucket_count =
        static_cast<std::size_t>(bucket_span >> m_bucket_shift) + 1;
    m_bucket_positions.reserve(bucket_count + 1);
    std::size_t position = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
      const Key start =
          m_first_bucket_start + (static_cast<Key>(bucket) << m_bucket_shift);
      while (position + 1 < m_starts.size() && m_starts[position + 1] <= start)
        ++position;
      m_bucket_positions.push_back(static_cast<std::uint32_t>(position));
    }
    m_bucket_positions.push_back(
        static_cast<std::uint32_t>(m_starts.size() - 1));
  }

  std::vector<Key> m_starts;            // ascending; the first is 0
  std::vector<std::uint32_t> m_values;  // value of the range at each start
  // Position in m_starts of the last start at or before each bucket, followed
  // by the position of the last start.
  std::vector<std::uint32_t> m_bucket_positions;
  Key m_first_bucket_start = 0;  // first key of bucket 0
  unsigned m_bucket_shift = 0;   // log2 of the bucket width
};

}  // namespace jujube::lookup
