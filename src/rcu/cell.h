// Cell<T>: holds one immutable value. Readers take no lock; writers replace the
// whole value atomically.
//
//   rcu::Cell<View> cell(std::make_unique<const View>(...));
//   {
//     rcu::ReadSection section;
//     const View& view = cell.Read(section);
//   }
//   cell.Publish(std::make_unique<const View>(...));  // off the request path

#pragma once

#include <atomic>
#include <memory>

#include "rcu/read_section.h"

namespace jujube::rcu {

template <class T>
class Cell {
 public:
  explicit Cell(std::unique_ptr<const T> value) : m_value(value.release()) {}
  ~Cell() { delete m_value.load(std::memory_order_acquire); }
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  // The reference is valid until the section ends.
  const T& Read(const ReadSection& /*section*/) const {
    return *m_value.load(std::memory_order_acquire);
  }

  // Replaces the value, waits until no reader uses the old value, and deletes
  // it.
  void Publish(std::unique_ptr<const T> value) {
    const T* old = m_value.exchange(value.release(), std::memory_order_acq_rel);
    WaitForReaders();
    delete old;
  }

 private:
  std::atomic<const T*> m_value;
};

}  // namespace jujube::rcu
