// DiskThread: performs the disk I/O of a replica on a separate thread.
//
// Tasks run in the order of the calls, except that pending Persists are written
// together with the first of them and share one sync. Each asynchronous task
// posts a completion event to the io_context of the owner. A local snapshot
// that finds the disk full reports this to its callback instead.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "consensus/actions.h"
#include "consensus/events.h"
#include "control/snapshot.h"
#include "net/worker_group.h"
#include "storage/log_store.h"
#include "storage/posix_disk.h"

namespace jujube::controld {

using Store = storage::LogStore<storage::PosixDisk>;

class DiskThread {
 public:
  using EventCallback = std::function<void(consensus::Event)>;

  // Completion events are passed to on_event on the thread of `io`.
  DiskThread(boost::asio::io_context& io, Store store, EventCallback on_event);
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  void Persist(consensus::Persist persist);
  void WriteSnapshotChunk(consensus::SnapshotWrite write);
  void ReadSnapshotChunk(const consensus::SnapshotRead& read);
  // `on_full` is called on the thread of `io` if the disk is full.
  void WriteLocalSnapshot(std::shared_ptr<control::SnapshotWriter> writer,
                          SnapshotInfo info,
                          std::function<void()> on_full);
  // Blocks the calling thread. Returns false if the disk is full.
  bool WritePeerStarts(const PeerStarts& peers);

  // Returns the complete stored snapshot. Blocks the calling thread.
  storage::StorageResult<std::string> ReadSnapshot(std::uint64_t last_index);
  // Stores the initial membership. Blocks the calling thread.
  storage::StorageStatus StoreInitialMembership(const Voters& voters);

  // Completes the queued tasks, then ends the thread.
  void Stop();

 private:
  void PostTask(std::function<void()> task);
  void PostEvent(consensus::Event event);
  void WritePendingPersists();
  void AppendWithRetry(const consensus::Persist& persist);
  // Returns true on success and false if the disk is full. Terminates the
  // process on any other error.
  bool CheckWritten(const storage::StorageStatus& status);
  [[noreturn]] static void TerminateProcess(const storage::StorageError& error);

  boost::asio::io_context& m_io;
  Store m_store;
  const EventCallback m_on_event;
  std::mutex m_mutex;  // guards m_pending_persists
  std::deque<consensus::Persist> m_pending_persists;
  net::WorkerGroup m_thread{1};
};

// A snapshot is stored as one string, in which each piece follows its length in
// 8 bytes.
std::string EncodeSnapshot(control::SnapshotWriter& writer);
Result<control::StateMachine> DecodeSnapshot(std::string_view data);

}  // namespace jujube::controld
