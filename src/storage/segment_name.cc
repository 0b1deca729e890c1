#include "storage/segment_name.h"

#include "storage/numbered_name.h"

namespace jujube::storage {

namespace {

constexpr const char* kPrefix = "log-";

}  // namespace

std::string SegmentName(std::uint64_t number) {
  return NumberedName(kPrefix, number);
}

std::optional<std::uint64_t> ParseSegmentName(const std::string& name) {
  return ParseNumberedName(kPrefix, name);
}

}  // namespace jujube::storage
