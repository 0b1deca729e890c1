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

// liburcu is not instrumented for ThreadSanitizer. These annotations declare
// that the end of a read section happens before the end of a grace period.
#ifdef JUJUBE_TSAN
extern "C" void __tsan_acquire(void* address);  // NOLINT
extern "C" void __tsan_release(void* address);  // NOLINT
#endif

namespace jujube::rcu {

namespace {

#ifdef JUJUBE_TSAN
char g_tsan_sync;
void AnnotateReadEnd() {
  __tsan_release(&g_tsan_sync);
}
void AnnotateGracePeriodEnd() {
  __tsan_acquire(&g_tsan_sync);
}
#else
void AnnotateReadEnd() {}
void AnnotateGracePeriodEnd() {}
#endif

thread_local bool t_registered = false;

}  // namespace

ThreadRegistration::ThreadRegistration() {
  assert(!t_registered && "thread is already registered");
  urcu_memb_register_thread();
  t_registered = true;
}

ThreadRegistration::~ThreadRegistration() {
  t_registered = false;
  urcu_memb_unregister_thread();
}

ReadSection::ReadSection() {
  assert(t_registered && "thread holds no ThreadRegistration");
  urcu_memb_read_lock();
}

ReadSection::~ReadSection() {
  AnnotateReadEnd();
  urcu_memb_read_unlock();
}

void WaitForReaders() {
  urcu_memb_synchronize_rcu();
  AnnotateGracePeriodEnd();
}

}  // namespace jujube::rcu
