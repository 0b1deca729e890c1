#include "entry/claim_client.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "entry/leader_client.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace {

// If the outcome cannot be recorded within this time, the claim keeps the
// verdict "may have run", which is safe.
constexpr std::chrono::seconds kFinishTimeout{30};

}  // namespace

asio::awaitable<std::optional<ClaimReply>> ClaimClient::Claim(
    ClaimRequest request,
    MonoTime deadline) {
  const ClaimFinish release{.m_host = request.m_host,
                            .m_incarnation = request.m_incarnation,
                            .m_service = request.m_service,
                            .m_key = request.m_key,
                            .m_attempt = request.m_attempt,
                            .m_verdict = Verdict::kNotRun};
  std::optional<ClaimReply> reply = co_await asio::co_spawn(
      m_io, CallLeader(std::move(request), deadline), asio::use_awaitable);
  if (!reply)
    Finish(release);
  co_return reply;
}

asio::awaitable<std::optional<ClaimReply>> ClaimClient::CallLeader(
    ClaimRequest request,
    MonoTime deadline) {
  co_return co_await m_leader.Call<ClaimReply>(std::move(request), deadline);
}

void ClaimClient::Finish(ClaimFinish finish) {
  asio::co_spawn(m_io, FinishInBackground(std::move(finish)), asio::detached);
}

asio::awaitable<void> ClaimClient::FinishInBackground(ClaimFinish finish) {
  co_await m_leader.Call<ClaimFinishReply>(std::move(finish),
                                           MonoClock::now() + kFinishTimeout);
}

}  // namespace jujube::entry
