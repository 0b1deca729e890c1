// LeaderClient: calls the control host that leads, whichever that is.
//
// Belongs to the thread of its io_context.

#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/clock.h"
#include "gen/allotments.h"
#include "gen/claims.h"
#include "gen/types.h"
#include "net/frame_call.h"
#include "net/frame_client.h"
#include "net/frame_options.h"

namespace jujube::entry {

// How a reply says that its sender does not lead.
inline bool SaysNotLeader(const ClaimReply& reply) {
  return reply.m_outcome == ClaimOutcome::kNotLeader;
}
inline bool SaysNotLeader(const ClaimFinishReply& reply) {
  return !reply.m_leading;
}
inline bool SaysNotLeader(const AllotmentReply& reply) {
  return reply.m_sequence == 0;
}

class LeaderClient {
 public:
  LeaderClient(boost::asio::io_context& io,
               const net::FrameOptions& options,
               const std::vector<Endpoint>& control);

  void Start();
  void Stop();

  // Asks one control host after the other until one that leads replies, or
  // until the deadline. The request may have been delivered more than once, so
  // it has to be idempotent.
  template <class Reply, class Request>
  boost::asio::awaitable<std::optional<Reply>> Call(Request request,
                                                    MonoTime deadline) {
    namespace asio = boost::asio;
    asio::steady_timer timer(m_io);
    while (!m_clients.empty() && MonoClock::now() < deadline) {
      const std::size_t asked = m_leader;
      const MonoTime limit =
          std::min(deadline, MonoClock::now() + kAttemptTimeout);
      const net::CallResult<Reply> result =
          co_await net::Call<Reply>(*m_clients[asked], request, limit);
      if (result && !SaysNotLeader(*result.m_reply))
        co_return *result.m_reply;
      std::optional<Endpoint> hint;
      if (result)
        hint = result.m_reply->m_leader;
      MoveOn(asked, hint);
      timer.expires_after(kPause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return std::nullopt;
  }

 private:
  // Longer than a commit across regions, shorter than an election.
  static constexpr std::chrono::milliseconds kAttemptTimeout{400};
  // Between attempts, while an election is under way.
  static constexpr std::chrono::milliseconds kPause{20};

  void MoveOn(std::size_t asked, const std::optional<Endpoint>& hint);

  boost::asio::io_context& m_io;
  const std::vector<Endpoint> m_control;
  std::vector<std::unique_ptr<net::FrameClient>> m_clients;
  std::size_t m_leader = 0;
};

}  // namespace jujube::entry
