// Daemon: a control daemon with its threads and listeners.

#pragma once

#include <memory>
#include <string>

#include "controld/front_end.h"
#include "core/result.h"
#include "gen/settings.h"

namespace jujube::controld {

// Keys for the authentication of peers and operators.
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
  // Runs until SIGTERM or SIGINT, then transfers leadership and returns.
  void Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jujube::controld
