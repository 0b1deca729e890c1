// Helpers for tests that run real daemons on loopback.
//
//   TempFolder folder;
//   const Endpoint listen = ReserveEndpoint();
//   folder.Write("settings.json", text);
//   ChildProcess daemon("jujube-controld", {"--settings", path}, log_path);
//   WaitUntil("the daemon answers", [&] { return ...; });
//   daemon.Freeze();  // SIGSTOP
//   daemon.Resume();  // SIGCONT
//   daemon.Kill();    // SIGKILL, and waits
//   TcpRelay relay(listen);  // see tcp_relay.h
//
// A test fails by exception if a wait does not end; there is no other bound on
// wall time.

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "gen/types.h"
#include "process/child_process.h"
#include "process/tcp_relay.h"
#include "process/temp_folder.h"

namespace jujube::process {

// A guard against hanging, far above what a busy machine needs.
inline constexpr std::chrono::seconds kHangLimit{180};

// Blocks until the condition holds, polling it. Throws std::runtime_error with
// `what` when the hang limit has passed.
void WaitUntil(std::string_view what, const std::function<bool()>& condition);

// A loopback address and port that no other test process is given. The address
// is derived from the process id, so that no outgoing connection takes the
// port between the reservation and its use.
Endpoint ReserveEndpoint();

// "127.0.0.1:80" of an endpoint.
std::string ToText(const Endpoint& endpoint);
// {"address": ..., "port": ...} of an endpoint.
std::string ToSettings(const Endpoint& endpoint);

// Replaces every `from` in the text.
std::string ReplaceAll(std::string text,
                       std::string_view from,
                       std::string_view to);

// The whole content of a file; empty if it cannot be read.
std::string ReadText(const std::string& path);

// Sends bytes to a listener and reads until it closes the connection or has
// taken all of them and sends nothing for a moment. Returns false if it cannot
// be connected.
bool SendBytes(const Endpoint& endpoint, std::string_view bytes);

}  // namespace jujube::process
