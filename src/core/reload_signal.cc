#include "core/reload_signal.h"

#include <csignal>

namespace jujube {

namespace {

void SetMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void DeferReloadSignal() {
  SetMask(SIG_BLOCK);
}

void AcceptReloadSignal() {
  SetMask(SIG_UNBLOCK);
}

}  // namespace jujube
