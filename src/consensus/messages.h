// Message: a message from one replica to another.

#pragma once

#include <cstdint>
#include <variant>

#include "gen/consensus.h"

namespace jujube::consensus {

using Message = std::variant<VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotChunk,
                             SnapshotReply,
                             TimeoutNow>;

inline const VoterId& SenderOf(const Message& message) {
  return std::visit([](const auto& m) -> const VoterId& { return m.m_from; },
                    message);
}

inline const VoterId& ReceiverOf(const Message& message) {
  return std::visit([](const auto& m) -> const VoterId& { return m.m_to; },
                    message);
}

inline std::uint64_t TermOf(const Message& message) {
  return std::visit([](const auto& m) { return m.m_term; }, message);
}

}  // namespace jujube::consensus
