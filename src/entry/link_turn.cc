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

asio::awaitable<bool> WaitForTurn(limits::HostLink& link,
                                  limits::LinkSide side,
                                  std::size_t bytes,
                                  MonoTime deadline) {
  if (!link.HasRate())
    co_return true;
  const MonoTime now = MonoClock::now();
  // A chunk that cannot be passed on in time does not reserve the link.
  if (now + link.Backlog(side, now) >= deadline)
    co_return false;
  const MonoTime start = link.Reserve(side, bytes, now);
  if (start - now < kMinWait)
    co_return true;
  asio::steady_timer timer(co_await asio::this_coro::executor, start - now);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return MonoClock::now() < deadline;
}

asio::awaitable<Status> WriteInTurn(net::HttpExchange& exchange,
                                    limits::HostLink& link,
                                    std::string_view data,
                                    MonoTime deadline) {
  if (!link.HasRate())
    co_return co_await exchange.Write(data);
  while (!data.empty()) {
    const std::string_view chunk = data.substr(0, link.ChunkBytes());
    const bool has_turn = co_await WaitForTurn(link, limits::LinkSide::kOut,
                                               chunk.size(), deadline);
    if (!has_turn) {
      co_return MakeError(ErrorCode::kTimeout,
                          "link of this host: no turn before the deadline");
    }
    const Status written = co_await exchange.Write(chunk);
    if (!written)
      co_return written;
    data.remove_prefix(chunk.size());
  }
  co_return Success();
}

}  // namespace jujube::entry
