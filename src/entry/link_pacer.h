// LinkPacer: holds the bytes of a request and its response under the cap of
// the link between the region of this host and that of the upstream.

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
  // No pacing within a region.
  LinkPacer(const rcu::Cell<ServingView>& view,
            const RegionId& own,
            const RegionId& upstream);

  // Returns true once the bytes may pass, false at the deadline.
  boost::asio::awaitable<bool> Pass(LinkDirection direction,
                                    std::size_t bytes,
                                    MonoTime deadline) const;

 private:
  const rcu::Cell<ServingView>& m_view;
  const bool m_is_local;
  const LimitId m_to_upstream;
  const LimitId m_from_upstream;
};

}  // namespace jujube::entry
