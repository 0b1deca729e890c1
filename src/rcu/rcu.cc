#include <cassert>

#include <urcu/urcu-memb.h>

#include "rcu/read_section.h"
#include "rcu/thread.h"

#if defined(__SANITIZE_THREAD__)
#define JUJUBE_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define JUJUBE_TSAN 1
#endif
#endif

// liburcu is not instrumented for the thread sanitizer. These two calls tell
// it that the end of a read section happens before the end of a grace period.
#ifdef JUJUBE_TSAN
extern "C" void __tsan_acquire(void* address);  // NOLINT
extern "C" void __tsan_release(void* address);  // NOLINT
#endif

namespace jujube::rcu {

namespace {

#ifdef JUJUBE_TSAN
char g_domain;
void NoteEndOfRead() {
  __tsan_release(&g_domain);
}
void NoteGracePeriod() {
  __tsan_acquire(&g_domain);
}
#else
void NoteEndOfRead() {}
void NoteGracePeriod() {}
#endif

thread_local bool t_registered = false;

}  // namespace

ThreadRegistration::ThreadRegistration() {
  assert(!t_registered && "a thread is registered once");
  urcu_memb_register_thread();
  t_registered = true;
}

ThreadRegistration::~ThreadRegistration() {
  t_registered = false;
  urcu_memb_unregister_thread();
}

ReadSection::ReadSection() {
  assert(t_registered && "hold a ThreadRegistration on this thread");
  urcu_memb_read_lock();
}

ReadSection::~ReadSection() {
  NoteEndOfRead();
  urcu_memb_read_unlock();
}

void WaitForReaders() {
  urcu_memb_synchronize_rcu();
  NoteGracePeriod();
}

}  // namespace jujube::rcu
