// The document in force, its history and the drains.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "gen/control.h"
#include "gen/feed.h"

namespace jujube::control {

// Accepted documents that are remembered, the current one included. A resent or
// conflicting document is recognised as long as its number is among them; a day
// at the larger size has 940 changes.
inline constexpr std::size_t kMaxHistory = 1000;

class Configuration {
 public:
  Configuration();

  // `head` without the parts of other modules, `blocks` sorted by prefix.
  Configuration(const ControlSnapshotHead& head,
                std::vector<CallerBlock> blocks);

  // What can be answered without a command: nothing if the document is new.
  std::optional<ApplyAnswer> Recall(std::uint64_t number,
                                    const std::string& digest) const;

  // The answer to a document that builds on another one than that in force.
  ApplyAnswer OtherBase() const;

  // What speaks against a document because it moves callers between regions:
  // with the documents of the minute before `time`, at most the part that
  // Shift::m_max_permille_per_minute of the document in force allows. A drain
  // of a region moves more, in steps.
  std::optional<std::string> ShiftProblem(const Deployment& next,
                                          std::uint64_t time) const;
  // The document changed if FeedIndex() did.
  ApplyAnswer Apply(const ApplyCommand& command,
                    std::uint64_t index,
                    std::uint64_t time);
  DrainAnswer Drain(const DrainCommand& command, std::uint64_t index);
  ShiftAnswer Shift(const ShiftCommand& command, std::uint64_t index);

  // Whole document, canonical (config/digest.h). Number 0 before the first one.
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
  // Shared, so that a copy of the state for a snapshot is cheap.
  std::shared_ptr<const Deployment> m_document;
  std::vector<jujube::Drain> m_drains;  // sorted
  ShiftState m_shift;
  std::vector<HistoryEntry> m_history;  // oldest first
  std::uint64_t m_document_index = 0;
  std::uint64_t m_feed_index = 0;
};

}  // namespace jujube::control
