// DiskThread: carries out the disk work of a replica on a thread of its own.
//
// Work is done in the order in which it was given. Several Persists that wait
// share one sync. The results come back on the io_context of the owner.

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

  // on_event runs on the thread of `io`.
  DiskThread(boost::asio::io_context& io, Store store, EventCallback on_event);
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  void Persist(consensus::Persist persist);
  void Write(consensus::SnapshotWrite write);
  void Read(const consensus::SnapshotRead& read);
  void WriteOwnSnapshot(std::shared_ptr<control::SnapshotWriter> writer,
                        SnapshotInfo info);
  // Blocks the calling thread; false if the disk is full.
  bool WritePeerStarts(const PeerStarts& peers);

  // The stored snapshot, whole; blocks the calling thread.
  storage::StorageResult<std::string> ReadWhole(std::uint64_t last_index);
  // Stores the initial membership; blocks the calling thread.
  storage::StorageStatus Found(const Voters& voters);

  // Waits for the work that was given.
  void Stop();

 private:
  void Post(std::function<void()> work);
  void Report(consensus::Event event);
  void PersistQueued();
  void AppendOrWait(const consensus::Persist& persist);
  // Ends the process unless the status is a success or a full disk.
  bool Check(const storage::StorageStatus& status);
  [[noreturn]] static void Die(const storage::StorageError& error);

  boost::asio::io_context& m_io;
  Store m_store;
  const EventCallback m_on_event;
  std::mutex m_mutex;  // of m_queue
  std::deque<consensus::Persist> m_queue;
  net::WorkerGroup m_thread{1};
};

// A snapshot as one string: each piece after its length in 8 bytes.
std::string JoinPieces(control::SnapshotWriter& writer);
Result<control::StateMachine> LoadPieces(std::string_view data);

}  // namespace jujube::controld
