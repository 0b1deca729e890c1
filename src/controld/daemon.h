// Daemon: a control daemon with its threads and listeners.

#pragma once

#include <memory>
#include <string>

#include "controld/front_end.h"
#include "core/result.h"
#include "gen/settings.h"

namespace jujube::controld {

struct ControlKeys {
  std::string m_peer;
  std::string m_operator;
};

class Daemon {
 public:
  Daemon(ControlSettings settings, ControlKeys keys, FrontEnd front_end);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens the data folder and the listeners.
  Status Start();
  // Until SIGTERM or SIGINT; then hands over leadership and returns.
  void Run();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::controld
