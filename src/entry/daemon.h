// Daemon: the entry daemon with its threads and listeners.
//
//   entry::Daemon daemon(settings, keys, entry::NativeFrontEnd());
//   JUJUBE_TRY(daemon.Start());
//   daemon.Run();  // returns after the planned stop
//
// SIGTERM, SIGINT or POST /drain starts the planned stop.

#pragma once

#include <memory>
#include <string>

#include "core/result.h"
#include "entry/front_end.h"
#include "gen/settings.h"

namespace jujube::entry {

struct EntryKeys {
  std::string m_peer;      // frames between hosts
  std::string m_platform;  // announcements of upstreams
  std::string m_operator;  // operator endpoints
};

class Daemon {
 public:
  Daemon(EntrySettings settings, const EntryKeys& keys, FrontEnd front_end);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts the threads and listeners.
  Status Start();
  // Blocks until the planned stop is complete.
  void Run();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::entry
