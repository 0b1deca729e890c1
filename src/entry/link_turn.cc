#include "entry/link_turn.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujube::entry {

namespace asio = boost::asio;

namespace {

// A timer costs more than it delays the link below this time.
constexpr std::chrono::milliseconds kMinWait{1};

}  // namespace

// The turn only spreads the rate of the link over the bodies. When the link is
// busy until the deadline, giving the body up would break off a request at its
// upstream, or a response on a connection that carries others.
asio::awaitable<void> WaitForTurn(limits::HostLink& link,
                                  limits::LinkSide side,
                                  std::size_t bytes,
                                  MonoTime deadline) {
  if (!link.HasRate())
    co_return;
  const MonoTime now = MonoClock::now();
  const MonoTime start = link.Reserve(side, bytes, now);
  if (start - now < kMinWait || start >= deadline)
    co_return;
  asio::steady_timer timer(co_await asio::this_coro::executor, start - now);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<Status> WriteInTurn(net::HttpExchange& exchange,
                                    limits::HostLink& link,
                                    std::string_view data,
                                    MonoTime deadline) {
  if (!link.HasRate())
    co_return co_await exchange.Write(data);
  while (!data.empty()) {
    const std::string_view chunk = data.substr(0, link.ChunkBytes());
    co_await WaitForTurn(link, limits::LinkSide::kOut, chunk.size(), deadline);
    const Status written = co_await exchange.Write(chunk);
    if (!written)
      co_return written;
    data.remove_prefix(chunk.size());
  }
  co_return Success();
}

}  // namespace jujube::entry
