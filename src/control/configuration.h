// Configuration state: the document in force, the history of accepted
// documents, the drains and the shift of callers between regions.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "gen/control.h"
#include "gen/feed.h"

namespace jujube::control {

// Number of accepted documents kept, including the current one. A resent or
// conflicting document is recognised while its number is in the history. A
// large deployment makes about 940 changes a day.
inline constexpr std::size_t kMaxHistoryEntries = 1000;

class Configuration {
 public:
  Configuration();

  // Restores the configuration from the fields of `head` that belong to it.
  // `blocks` are sorted by prefix.
  Configuration(const ControlSnapshotHead& head,
                std::vector<CallerBlock> blocks);

  // The answer to a document whose number is in the history or too low; nullopt
  // if the document is new.
  std::optional<ApplyAnswer> AnswerFromHistory(std::uint64_t number,
                                               const std::string& digest) const;

  // The answer to a document whose base is not the document in force: a
  // conflict with the latest accepted document.
  ApplyAnswer BaseConflictAnswer() const;

  // An error message if `next` moves blocks to other regions, and the largest
  // per-region shares of moved blocks, summed over `next` and the documents
  // accepted in the minute before `time_ms`, exceed
  // Shift::m_max_permille_per_minute of the document in force. The shares are
  // added even if they belong to different regions. To move more callers, drain
  // the region: a drain moves them in steps.
  std::optional<std::string> ShiftLimitError(const Deployment& next,
                                             std::uint64_t time_ms) const;

  // FeedIndex() changes only if the document replaced the one in force; a
  // resent document is answered with Accepted and changes nothing.
  ApplyAnswer Apply(const ApplyCommand& command,
                    std::uint64_t index,
                    std::uint64_t time_ms);
  DrainAnswer Drain(const DrainCommand& command, std::uint64_t index);
  ShiftAnswer Shift(const ShiftCommand& command, std::uint64_t index);

  // The complete document in canonical form (config/digest.h). Its number is 0
  // before the first document is accepted.
  const Deployment& Document() const { return *m_document; }
  std::shared_ptr<const Deployment> SharedDocument() const {
    return m_document;
  }
  std::uint64_t DocumentIndex() const { return m_document_index; }
  std::uint64_t FeedIndex() const { return m_feed_index; }
  const std::vector<jujube::Drain>& Drains() const { return m_drains; }
  const ShiftState& ShiftInForce() const { return m_shift; }
  const std::vector<HistoryEntry>& History() const { return m_history; }
  bool HasEntryHost(const HostId& host) const;

  friend bool operator==(const Configuration& a, const Configuration& b) {
    return *a.m_document == *b.m_document && a.m_drains == b.m_drains &&
           a.m_shift == b.m_shift && a.m_history == b.m_history &&
           a.m_document_index == b.m_document_index &&
           a.m_feed_index == b.m_feed_index;
  }

 private:
  // Shared to make copies of the state for snapshots cheap.
  std::shared_ptr<const Deployment> m_document;
  std::vector<jujube::Drain> m_drains;  // sorted
  ShiftState m_shift;
  std::vector<HistoryEntry> m_history;  // oldest first
  std::uint64_t m_document_index = 0;
  std::uint64_t m_feed_index = 0;
};

}  // namespace jujube::control
