#include "storage/storage_error.h"

namespace jujube::storage {

std::string_view ToString(StorageFault fault) {
  switch (fault) {
    case StorageFault::kIo:
      return "I/O error";
    case StorageFault::kFull:
      return "disk full";
    case StorageFault::kSyncFailed:
      return "sync failed";
    case StorageFault::kCorrupt:
      return "corrupt data";
    case StorageFault::kNotFound:
      return "not found";
    case StorageFault::kInUse:
      return "in use";
  }
  return "unknown fault";
}

}  // namespace jujube::storage
