// ResponseOrder: the order of the responses on a connection whose requests are
// handled at the same time (HTTP/1.1 pipelining).
//
//   const std::uint64_t place = order.AddRequest();
//   ...
//   if (co_await order.WaitForTurn(place))
//     ...send the response...
//   order.Finish(place, is_kept);
//
// Not thread-safe.

#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujube::net {

class ResponseOrder {
 public:
  explicit ResponseOrder(const boost::asio::any_io_executor& executor);

  // Returns the place of the request.
  std::uint64_t AddRequest();

  // Returns true once all earlier responses are complete, false if the
  // connection ends with an earlier one.
  boost::asio::awaitable<bool> WaitForTurn(std::uint64_t place);

  // Announces that the response at this place is the last one. Further requests
  // must not be added.
  void EndWith(std::uint64_t place);
  bool IsEnding() const { return m_last_place != kNoEnd; }

  // The request needs no further turn. If the connection is not kept, it ends
  // with this response: there are no turns behind it.
  void Finish(std::uint64_t place, bool is_kept);

  // Waits until at most `count` requests are in progress.
  boost::asio::awaitable<void> WaitUntilAtMost(std::size_t count);

  std::size_t InProgress() const { return m_in_progress.size(); }
  // True if no request was added after this one.
  bool IsLast(std::uint64_t place) const { return place + 1 == m_next_place; }
  // True once the connection has to be closed: all responses that it can still
  // carry are complete.
  bool IsEnded() const;

 private:
  static constexpr std::uint64_t kNoEnd =
      std::numeric_limits<std::uint64_t>::max();

  boost::asio::awaitable<void> WaitForChange();

  boost::asio::steady_timer m_changed;  // cancelled to wake the waiters
  std::uint64_t m_next_place = 0;
  std::uint64_t m_last_place = kNoEnd;  // place of the last response
  std::set<std::uint64_t> m_in_progress;
};

}  // namespace jujube::net
