// EventSink: callback that receives the numbered log events of connections.

#pragma once

#include <functional>
#include <string_view>

#include "gen/log_events.h"

namespace jujube::net {

// Called on the thread of the io_context of the object that reports the event.
// May be empty. detail names the peer and describes the event.
using EventSink = std::function<void(LogEvent event, std::string_view detail)>;

}  // namespace jujube::net
