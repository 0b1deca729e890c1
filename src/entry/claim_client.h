// ClaimClient: claims idempotency keys of non-repeatable requests at the
// control leader.

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
  // Both arguments belong to the control thread. Claim and Finish may be called
  // on any thread.
  ClaimClient(boost::asio::io_context& control_io, LeaderClient& leader)
      : m_io(control_io), m_leader(leader) {}

  // Returns nullopt if no leader replied by the deadline. The claim may have
  // been recorded in that case, so it is released in the background.
  boost::asio::awaitable<std::optional<ClaimReply>> Claim(ClaimRequest request,
                                                          MonoTime deadline);
  // Records the outcome of a claimed request in the background.
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
