// Passes messages over the link of this host in turn.

#pragma once

#include <cstddef>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/result.h"
#include "limits/host_link.h"
#include "net/http_exchange.h"

namespace jujube::entry {

// Waits until a chunk of a large body may be passed on. A chunk whose turn
// would come after the deadline does not wait.
boost::asio::awaitable<void> WaitForTurn(limits::HostLink& link,
                                         limits::LinkSide side,
                                         std::size_t bytes,
                                         MonoTime deadline);

// Writes a part of a large response to the caller in chunks, each in its turn.
boost::asio::awaitable<Status> WriteInTurn(net::HttpExchange& exchange,
                                           limits::HostLink& link,
                                           std::string_view data,
                                           MonoTime deadline);

}  // namespace jujube::entry
