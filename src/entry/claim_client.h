// ClaimClient: claims keys of non-repeatable requests at the control leader.

#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "entry/claim_gateway.h"
#include "gen/claims.h"

namespace jujube::entry {

class LeaderClient;

class ClaimClient {
 public:
  // Both belong to the control thread; the functions below may be called on
  // any thread.
  ClaimClient(boost::asio::io_context& control_io, LeaderClient& leader)
      : m_io(control_io), m_leader(leader) {}

  // Nothing if no leader replied by the deadline. The claim may stand in that
  // case; it is released in the background.
  boost::asio::awaitable<std::optional<ClaimReply>> Claim(ClaimRequest request,
                                                          MonoTime deadline);
  void Finish(ClaimFinish finish);

 private:
  boost::asio::awaitable<std::optional<ClaimReply>> CallLeader(
      ClaimRequest request,
      MonoTime deadline);
  boost::asio::awaitable<void> FinishInBackground(ClaimFinish finish);

  boost::asio::io_context& m_io;
  LeaderClient& m_leader;
};

static_assert(ClaimGateway<ClaimClient>);

}  // namespace jujube::entry
