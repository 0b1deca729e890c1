// LinkPacer: keeps a request and its response within the rate limit of the link
// between the region of this host and the region of the upstream.

#pragma once

#include <cstddef>
#include <cstdint>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "entry/serving_view.h"
#include "gen/allotments.h"
#include "rcu/cell.h"

namespace jujube::entry {

enum class LinkDirection : std::uint8_t { kToUpstream, kFromUpstream };

class LinkPacer {
 public:
  // Traffic within a region is not limited.
  LinkPacer(const rcu::Cell<ServingView>& view,
            const RegionId& local_region,
            const RegionId& upstream_region);

  // Returns true once the bytes may be transferred, false if the link has no
  // capacity for them before the deadline.
  boost::asio::awaitable<bool> WaitForCapacity(LinkDirection direction,
                                               std::size_t bytes,
                                               MonoTime deadline) const;

 private:
  const rcu::Cell<ServingView>& m_view;
  const bool m_is_local;
  const LimitId m_to_upstream;
  const LimitId m_from_upstream;
};

}  // namespace jujube::entry
