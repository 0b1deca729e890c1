// Helpers for tests that run the real daemons on loopback addresses.
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
// WaitUntil() throws after kHangLimit, which fails the test; on a std::thread
// of the test, the exception ends the test program. ChildProcess::Wait() has no
// limit.

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

// Ends a test that hangs; far above what a busy machine needs.
inline constexpr std::chrono::seconds kHangLimit{180};

// Polls the condition until it holds. Throws std::runtime_error with
// `description` after kHangLimit.
void WaitUntil(std::string_view description,
               const std::function<bool()>& condition);

// Returns a loopback address and port that no other test process uses. The
// address is derived from the process id, so that no outgoing connection takes
// the port before the test listens on it.
Endpoint ReserveEndpoint();

// Returns "127.0.0.1:80".
std::string ToText(const Endpoint& endpoint);
// Returns {"address": "127.0.0.1", "port": 80}.
std::string ToSettings(const Endpoint& endpoint);

// Replaces all occurrences of `from` in the text.
std::string ReplaceAll(std::string text,
                       std::string_view from,
                       std::string_view to);

// Returns the content of a file; empty if it cannot be read.
std::string ReadText(const std::string& path);

// Sends bytes to a listener, then reads until the listener closes the
// connection or sends nothing for 200 ms. Returns false if connecting fails.
bool SendBytes(const Endpoint& endpoint, std::string_view bytes);

}  // namespace jujube::process
