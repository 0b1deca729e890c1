// Daemon: an entry daemon with its threads and listeners.
//
//   entry::Daemon daemon(settings, keys, entry::NativeFrontEnd());
//   JUJUBE_TRY(daemon.Start());
//   daemon.Run();   // until SIGTERM, SIGINT or POST /drain, then a planned
//   stop

#pragma once

#include <memory>
#include <string>

#include "core/result.h"
#include "entry/front_end.h"
#include "gen/settings.h"

namespace jujube::entry {

struct EntryKeys {
  std::string m_peer;
  std::string m_platform;
  std::string m_operator;
};

class Daemon {
 public:
  Daemon(EntrySettings settings, const EntryKeys& keys, FrontEnd front_end);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  Status Start();
  void Run();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::entry
