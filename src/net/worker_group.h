// WorkerGroup: threads that each run their own io_context.
//
//   net::WorkerGroup workers(4);
//   workers.Post(0, [] { ... });      // runs on thread 0
//   net::FrameServer server(workers.Context(0), ...);
//   workers.Stop();                   // or the destructor
//
// Each thread is registered for RCU read sections (rcu/thread.h) and blocks in
// the kernel while it is idle.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace jujube::net {

class WorkerGroup {
 public:
  explicit WorkerGroup(std::size_t threads);
  ~WorkerGroup();  // stops
  WorkerGroup(const WorkerGroup&) = delete;
  WorkerGroup& operator=(const WorkerGroup&) = delete;

  std::size_t size() const;
  boost::asio::io_context& Context(std::size_t index);

  // Queues the task to run on a thread of the group. Thread-safe.
  void Post(std::size_t index, std::function<void()> task);

  // Runs the task on a thread of the group and blocks until it has finished.
  // Must not be called on a thread of the group.
  void Run(std::size_t index, std::function<void()> task);

  // Joins the threads after the handlers that are running; queued tasks are
  // dropped. Must not be called on a thread of the group.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jujube::net
