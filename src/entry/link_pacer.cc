#include "entry/link_pacer.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "limits/topology.h"

namespace jujube::entry {

namespace asio = boost::asio;

LinkPacer::LinkPacer(const rcu::Cell<ServingView>& view,
                     const RegionId& local_region,
                     const RegionId& upstream_region)
    : m_view(view),
      m_is_local(local_region == upstream_region),
      m_to_upstream(limits::LinkLimit(local_region, upstream_region)),
      m_from_upstream(limits::LinkLimit(upstream_region, local_region)) {}

asio::awaitable<bool> LinkPacer::WaitForCapacity(LinkDirection direction,
                                                 std::size_t bytes,
                                                 MonoTime deadline) const {
  if (m_is_local || bytes == 0)
    co_return true;
  const LimitId& limit =
      direction == LinkDirection::kToUpstream ? m_to_upstream : m_from_upstream;
  while (true) {
    limits::SpendResult spent{.m_allowed = true};
    {
      const rcu::ReadSection section;
      const ServingView& view = m_view.Read(section);
      if (view.m_limits != nullptr)
        spent = view.m_limits->TrySpend(limit, bytes, MonoClock::now());
    }
    if (spent.m_allowed)
      co_return true;
    const MonoTime now = MonoClock::now();
    if (spent.m_retry_at >= deadline || now >= deadline)
      co_return false;
    asio::steady_timer timer(
        co_await asio::this_coro::executor,
        std::max(spent.m_retry_at - now, MonoClock::duration::zero()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace jujube::entry
