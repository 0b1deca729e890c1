#include "net/worker_group.h"

#include <future>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "rcu/thread.h"

namespace jujube::net {

namespace asio = boost::asio;

namespace {

struct Worker {
  // Concurrency hint: only one thread runs the context.
  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard{
      m_context.get_executor()};
  std::thread m_thread;
};

}  // namespace

struct WorkerGroup::Impl {
  std::vector<std::unique_ptr<Worker>> m_workers;
};

WorkerGroup::WorkerGroup(std::size_t threads)
    : m_impl(std::make_unique<Impl>()) {
  for (std::size_t i = 0; i < threads; ++i) {
    auto worker = std::make_unique<Worker>();
    worker->m_thread = std::thread([&context = worker->m_context] {
      const rcu::ThreadRegistration registration;
      context.run();
    });
    m_impl->m_workers.push_back(std::move(worker));
  }
}

WorkerGroup::~WorkerGroup() {
  Stop();
}

std::size_t WorkerGroup::size() const {
  return m_impl->m_workers.size();
}

asio::io_context& WorkerGroup::Context(std::size_t index) {
  return m_impl->m_workers.at(index)->m_context;
}

void WorkerGroup::Post(std::size_t index, std::function<void()> task) {
  asio::post(Context(index), std::move(task));
}

void WorkerGroup::Run(std::size_t index, std::function<void()> task) {
  std::promise<void> done;
  Post(index, [&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

void WorkerGroup::Stop() {
  for (const auto& worker : m_impl->m_workers)
    worker->m_context.stop();
  for (const auto& worker : m_impl->m_workers) {
    if (worker->m_thread.joinable())
      worker->m_thread.join();
  }
}

}  // namespace jujube::net
