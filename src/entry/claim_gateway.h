// ClaimGateway: how the forwarder reaches the store of claims.
//
// Both functions run on the thread of the caller and may suspend it.

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
  // Nothing if no leader answered in time: the claim may or may not stand.
  {
    gateway.Claim(request, deadline)
    } -> std::same_as<boost::asio::awaitable<std::optional<ClaimReply>>>;
  // Records the outcome in the background.
  { gateway.Finish(finish) } -> std::same_as<void>;
};

}  // namespace jujube::entry
