#include "net/response_order.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujube::net {

namespace asio = boost::asio;

ResponseOrder::ResponseOrder(const asio::any_io_executor& executor)
    : m_changed(executor, asio::steady_timer::time_point::max()) {}

std::uint64_t ResponseOrder::AddRequest() {
  m_in_progress.insert(m_next_place);
  return m_next_place++;
}

asio::awaitable<bool> ResponseOrder::WaitForTurn(std::uint64_t place) {
  while (place <= m_last_place && *m_in_progress.begin() < place)
    co_await WaitForChange();
  co_return place <= m_last_place;
}

void ResponseOrder::EndWith(std::uint64_t place) {
  m_last_place = std::min(m_last_place, place);
}

void ResponseOrder::Finish(std::uint64_t place, bool is_kept) {
  m_in_progress.erase(place);
  if (!is_kept)
    EndWith(place);
  m_changed.cancel();
}

asio::awaitable<void> ResponseOrder::WaitUntilAtMost(std::size_t count) {
  while (m_in_progress.size() > count)
    co_await WaitForChange();
}

bool ResponseOrder::IsEnded() const {
  return IsEnding() &&
         (m_in_progress.empty() || *m_in_progress.begin() > m_last_place);
}

asio::awaitable<void> ResponseOrder::WaitForChange() {
  co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace jujube::net
