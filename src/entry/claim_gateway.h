// ClaimGateway: interface of the forwarder to the claim store.
//
// Both functions are called on a worker thread. Claim suspends the calling
// coroutine until the reply or the deadline.

#pragma once

#include <concepts>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "gen/claims.h"

namespace jujube::entry {

template <class T>
concept ClaimGateway = requires(T& gateway,
                                ClaimRequest request,
                                ClaimFinish finish,
                                MonoTime deadline) {
  // Returns nullopt if no leader replied by the deadline; the claim may or may
  // not have been recorded.
  {
    gateway.Claim(request, deadline)
    } -> std::same_as<boost::asio::awaitable<std::optional<ClaimReply>>>;
  // Records the outcome in the background.
  { gateway.Finish(finish) } -> std::same_as<void>;
};

}  // namespace jujube::entry
