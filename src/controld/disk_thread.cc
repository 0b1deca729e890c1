#include "controld/disk_thread.h"

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include "observe/log.h"

namespace jujube::controld {

namespace {

// Between attempts on a full disk.
constexpr std::chrono::milliseconds kFullRetry{500};

}  // namespace

std::string JoinPieces(control::SnapshotWriter& writer) {
  std::string data;
  while (const std::optional<std::string> piece = writer.Next()) {
    const std::uint64_t size = piece->size();
    data.append(reinterpret_cast<const char*>(&size), sizeof size);
    data += *piece;
  }
  return data;
}

Result<control::StateMachine> LoadPieces(std::string_view data) {
  control::SnapshotLoader loader;
  while (!data.empty()) {
    std::uint64_t size = 0;
    if (data.size() < sizeof size)
      return MakeError(ErrorCode::kCorrupt, "snapshot: length is cut");
    std::memcpy(&size, data.data(), sizeof size);
    data.remove_prefix(sizeof size);
    if (size > data.size())
      return MakeError(ErrorCode::kCorrupt, "snapshot: piece is cut");
    JUJUBE_TRY(loader.Add(data.substr(0, size)));
    data.remove_prefix(size);
  }
  return loader.Finish();
}

DiskThread::DiskThread(boost::asio::io_context& io,
                       Store store,
                       EventCallback on_event)
    : m_io(io), m_store(std::move(store)), m_on_event(std::move(on_event)) {}

DiskThread::~DiskThread() {
  m_thread.Stop();
}

void DiskThread::Post(std::function<void()> work) {
  m_thread.Post(0, std::move(work));
}

void DiskThread::Report(consensus::Event event) {
  boost::asio::post(m_io, [this, event = std::move(event)]() mutable {
    m_on_event(std::move(event));
  });
}

void DiskThread::Die(const storage::StorageError& error) {
  const LogEvent event = error.m_fault == storage::StorageFault::kSyncFailed
                             ? LogEvent::kSyncFailed
                             : LogEvent::kStorageFailed;
  observe::Log(event, {{"error", error.m_message}});
  // Nothing may be acknowledged any more, so no destructor runs.
  std::_Exit(EXIT_FAILURE);
}

bool DiskThread::Check(const storage::StorageStatus& status) {
  if (status)
    return true;
  if (status.error().m_fault != storage::StorageFault::kFull)
    Die(status.error());
  return false;
}

void DiskThread::Persist(consensus::Persist persist) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_queue.push_back(std::move(persist));
  if (m_queue.size() == 1)
    Post([this] { PersistQueued(); });
}

void DiskThread::PersistQueued() {
  std::deque<consensus::Persist> work;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    work.swap(m_queue);
  }
  for (const consensus::Persist& persist : work)
    AppendOrWait(persist);
  const storage::StorageStatus synced = m_store.Sync();
  if (!synced)
    Die(synced.error());
  Report(consensus::SyncDone{work.back().m_number});
}

void DiskThread::AppendOrWait(const consensus::Persist& persist) {
  bool was_full = false;
  while (!Check(m_store.Append(persist.m_state, persist.m_entries))) {
    if (!was_full) {
      observe::Log(LogEvent::kDiskFull, {});
      Report(consensus::StorageFull{true});
    }
    was_full = true;
    std::this_thread::sleep_for(kFullRetry);
  }
  if (was_full) {
    observe::Log(LogEvent::kDiskHasSpace, {});
    Report(consensus::StorageFull{false});
  }
}

void DiskThread::Write(consensus::SnapshotWrite write) {
  Post([this, write = std::move(write)] {
    bool is_written =
        Check(m_store.WriteReceived(write.m_offset, write.m_data));
    if (is_written && write.m_last)
      is_written = Check(m_store.FinishReceive(write.m_info));
    Report(consensus::SnapshotWritten{
        .m_last_index = write.m_info.m_last_index,
        .m_next_offset = write.m_offset + write.m_data.size(),
        .m_installed = is_written && write.m_last,
        .m_failed = !is_written});
  });
}

void DiskThread::Read(const consensus::SnapshotRead& read) {
  Post([this, read] {
    consensus::SnapshotPart part{.m_to = read.m_to,
                                 .m_last_index = read.m_last_index,
                                 .m_offset = read.m_offset};
    const auto total = m_store.SnapshotBytes(read.m_last_index);
    auto data =
        m_store.ReadSnapshot(read.m_last_index, read.m_offset, read.m_bytes);
    part.m_missing = !total || !data;
    if (!part.m_missing) {
      part.m_total_bytes = total.value();
      part.m_data = std::move(data).value();
    }
    Report(std::move(part));
  });
}

void DiskThread::WriteOwnSnapshot(
    std::shared_ptr<control::SnapshotWriter> writer,
    SnapshotInfo info) {
  Post([this, writer = std::move(writer), info] {
    const std::string data = JoinPieces(*writer);
    if (!Check(m_store.WriteSnapshot(info, data)))
      return;
    observe::Log(LogEvent::kSnapshotWritten,
                 {{"index", info.m_last_index}, {"bytes", data.size()}});
    Report(consensus::SnapshotTaken{info});
  });
}

bool DiskThread::WritePeerStarts(const PeerStarts& peers) {
  std::optional<storage::StorageStatus> status;
  m_thread.Run(0, [&] { status = m_store.WritePeerStarts(peers); });
  return Check(*status);
}

storage::StorageResult<std::string> DiskThread::ReadWhole(
    std::uint64_t last_index) {
  std::optional<storage::StorageResult<std::string>> data;
  m_thread.Run(0, [&] {
    const auto size = m_store.SnapshotBytes(last_index);
    if (!size)
      data.emplace(size.error());
    else
      data.emplace(m_store.ReadSnapshot(last_index, 0, size.value()));
  });
  return *std::move(data);
}

storage::StorageStatus DiskThread::Found(const Voters& voters) {
  std::optional<storage::StorageStatus> status;
  m_thread.Run(0, [&] { status = m_store.Found(voters); });
  return *status;
}

void DiskThread::Stop() {
  m_thread.Run(0, [] {});
  m_thread.Stop();
}

}  // namespace jujube::controld
