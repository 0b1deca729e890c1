// EventSink: where the backends report numbered log events.

#pragma once

#include <functional>
#include <string_view>

#include "gen/log_events.h"

namespace jujube::net {

// Called on the thread of the io_context that the reporting object belongs to.
// May be empty. detail names the peer, what was found and what is allowed.
using EventSink = std::function<void(LogEvent event, std::string_view detail)>;

}  // namespace jujube::net
