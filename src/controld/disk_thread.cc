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

// Retry interval of an append while the disk is full.
constexpr std::chrono::milliseconds kDiskFullRetryInterval{500};

}  // namespace

std::string EncodeSnapshot(control::SnapshotWriter& writer) {
  std::string data;
  while (const std::optional<std::string> piece = writer.NextPiece()) {
    const std::uint64_t size = piece->size();
    data.append(reinterpret_cast<const char*>(&size), sizeof size);
    data += *piece;
  }
  return data;
}

Result<control::StateMachine> DecodeSnapshot(std::string_view data) {
  control::SnapshotLoader loader;
  while (!data.empty()) {
    std::uint64_t size = 0;
    if (data.size() < sizeof size)
      return MakeError(ErrorCode::kCorrupt, "snapshot: truncated piece length");
    std::memcpy(&size, data.data(), sizeof size);
    data.remove_prefix(sizeof size);
    if (size > data.size())
      return MakeError(ErrorCode::kCorrupt, "snapshot: truncated piece");
    JUJUBE_TRY(loader.AddPiece(data.substr(0, size)));
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

void DiskThread::PostTask(std::function<void()> task) {
  m_thread.Post(0, std::move(task));
}

void DiskThread::PostEvent(consensus::Event event) {
  boost::asio::post(m_io, [this, event = std::move(event)]() mutable {
    m_on_event(std::move(event));
  });
}

void DiskThread::TerminateProcess(const storage::StorageError& error) {
  const LogEvent event = error.m_fault == storage::StorageFault::kSyncFailed
                             ? LogEvent::kSyncFailed
                             : LogEvent::kStorageFailed;
  observe::Log(event, {{"error", error.m_message}});
  // Skips the destructors, since nothing may be acknowledged from here on.
  std::_Exit(EXIT_FAILURE);
}

bool DiskThread::CheckWritten(const storage::StorageStatus& status) {
  if (status)
    return true;
  if (status.error().m_fault != storage::StorageFault::kFull)
    TerminateProcess(status.error());
  return false;
}

void DiskThread::Persist(consensus::Persist persist) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_pending_persists.push_back(std::move(persist));
  if (m_pending_persists.size() == 1)
    PostTask([this] { WritePendingPersists(); });
}

void DiskThread::WritePendingPersists() {
  std::deque<consensus::Persist> persists;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    persists.swap(m_pending_persists);
  }
  for (const consensus::Persist& persist : persists)
    AppendWithRetry(persist);
  const storage::StorageStatus synced = m_store.Sync();
  if (!synced)
    TerminateProcess(synced.error());
  PostEvent(consensus::SyncDone{persists.back().m_number});
}

void DiskThread::AppendWithRetry(const consensus::Persist& persist) {
  bool was_full = false;
  while (!CheckWritten(m_store.Append(persist.m_state, persist.m_entries))) {
    if (!was_full) {
      observe::Log(LogEvent::kDiskFull, {});
      PostEvent(consensus::StorageFull{true});
    }
    was_full = true;
    std::this_thread::sleep_for(kDiskFullRetryInterval);
  }
  if (was_full) {
    observe::Log(LogEvent::kDiskHasSpace, {});
    PostEvent(consensus::StorageFull{false});
  }
}

void DiskThread::WriteSnapshotChunk(consensus::SnapshotWrite write) {
  PostTask([this, write = std::move(write)] {
    bool is_written =
        CheckWritten(m_store.WriteReceivedChunk(write.m_offset, write.m_data));
    if (is_written && write.m_is_last_chunk)
      is_written = CheckWritten(m_store.InstallReceivedSnapshot(write.m_info));
    PostEvent(consensus::SnapshotWritten{
        .m_last_index = write.m_info.m_last_index,
        .m_next_offset = write.m_offset + write.m_data.size(),
        .m_installed = is_written && write.m_is_last_chunk,
        .m_failed = !is_written});
  });
}

void DiskThread::ReadSnapshotChunk(const consensus::SnapshotRead& read) {
  PostTask([this, read] {
    consensus::SnapshotReadDone result{.m_to = read.m_to,
                                       .m_last_index = read.m_last_index,
                                       .m_offset = read.m_offset};
    const auto total_bytes = m_store.SnapshotBytes(read.m_last_index);
    auto data =
        m_store.ReadSnapshot(read.m_last_index, read.m_offset, read.m_bytes);
    result.m_missing = !total_bytes || !data;
    if (!result.m_missing) {
      result.m_total_bytes = total_bytes.value();
      result.m_data = std::move(data).value();
    }
    PostEvent(std::move(result));
  });
}

void DiskThread::WriteLocalSnapshot(
    std::shared_ptr<control::SnapshotWriter> writer,
    SnapshotInfo info,
    std::function<void()> on_full) {
  PostTask(
      [this, writer = std::move(writer), info, on_full = std::move(on_full)] {
        const std::string data = EncodeSnapshot(*writer);
        if (!CheckWritten(m_store.WriteSnapshot(info, data))) {
          observe::Log(LogEvent::kSnapshotPostponed,
                       {{"index", info.m_last_index}, {"bytes", data.size()}});
          boost::asio::post(m_io, on_full);
          return;
        }
        observe::Log(LogEvent::kSnapshotWritten,
                     {{"index", info.m_last_index}, {"bytes", data.size()}});
        PostEvent(consensus::SnapshotTaken{info});
      });
}

bool DiskThread::WritePeerStarts(const PeerStarts& peers) {
  std::optional<storage::StorageStatus> status;
  m_thread.Run(0, [&] { status = m_store.WritePeerStarts(peers); });
  return CheckWritten(*status);
}

storage::StorageResult<std::string> DiskThread::ReadSnapshot(
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

storage::StorageStatus DiskThread::StoreInitialMembership(
    const Voters& voters) {
  std::optional<storage::StorageStatus> status;
  m_thread.Run(0, [&] { status = m_store.WriteInitialMembership(voters); });
  return *status;
}

void DiskThread::Stop() {
  m_thread.Run(0, [] {});
  m_thread.Stop();
}

}  // namespace jujube::controld
