// LeaderClient: sends calls to the current leader of the control hosts.
//
// Used only on the thread of its io_context.

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

// Whether the sender of a reply is not the leader.
inline bool IsFromNonLeader(const ClaimReply& reply) {
  return reply.m_outcome == ClaimOutcome::kNotLeader;
}
inline bool IsFromNonLeader(const ClaimFinishReply& reply) {
  return !reply.m_leading;
}
inline bool IsFromNonLeader(const AllotmentReply& reply) {
  return reply.m_sequence == 0;
}

class LeaderClient {
 public:
  LeaderClient(boost::asio::io_context& io,
               const net::FrameOptions& options,
               const std::vector<Endpoint>& control_hosts);

  void Start();
  void Stop();

  // Calls the control hosts in turn until the leader replies. Returns nullopt
  // if the deadline passes first. The request must be idempotent, because it
  // may be delivered more than once.
  template <class Reply, class Request>
  boost::asio::awaitable<std::optional<Reply>> Call(Request request,
                                                    MonoTime deadline) {
    namespace asio = boost::asio;
    asio::steady_timer timer(m_io);
    while (!m_clients.empty() && MonoClock::now() < deadline) {
      const std::size_t called_index = m_leader_index;
      const MonoTime attempt_deadline =
          std::min(deadline, MonoClock::now() + kAttemptTimeout);
      const net::CallResult<Reply> result = co_await net::Call<Reply>(
          *m_clients[called_index], request, attempt_deadline);
      if (result && !IsFromNonLeader(*result.m_reply))
        co_return *result.m_reply;
      std::optional<Endpoint> leader_hint;
      if (result)
        leader_hint = result.m_reply->m_leader;
      SelectNextHost(called_index, leader_hint);
      timer.expires_after(kRetryInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return std::nullopt;
  }

 private:
  // Longer than a commit across regions and shorter than an election.
  static constexpr std::chrono::milliseconds kAttemptTimeout{400};
  // Pause between attempts, for example during an election.
  static constexpr std::chrono::milliseconds kRetryInterval{20};

  // Sets m_leader_index to the host in the hint or, without a usable hint, to
  // the host after the called one.
  void SelectNextHost(std::size_t called_index,
                      const std::optional<Endpoint>& leader_hint);

  boost::asio::io_context& m_io;
  const std::vector<Endpoint> m_control_hosts;
  std::vector<std::unique_ptr<net::FrameClient>> m_clients;
  std::size_t m_leader_index = 0;
};

}  // namespace jujube::entry
