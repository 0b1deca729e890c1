#include "control/command.h"

#include <algorithm>

#include "gen/claims_wire.h"
#include "gen/control_wire.h"

namespace jujube::control {

namespace {

template <class Message>
std::string EncodeCommand(CommandKind kind,
                          const Message& message,
                          UnixMillis now) {
  const auto time_ms = std::max<UnixMillis::rep>(now.count(), 0);
  return Encode(Command{.m_kind = kind,
                        .m_time = static_cast<std::uint64_t>(time_ms),
                        .m_data = Encode(message)});
}

}  // namespace

std::string MakeCommand(const ApplyCommand& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kApply, message, now);
}

std::string MakeCommand(const DrainCommand& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kDrain, message, now);
}

std::string MakeCommand(const ClaimRequest& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kClaim, message, now);
}

std::string MakeCommand(const ClaimFinish& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kFinish, message, now);
}

std::string MakeCommand(const RenewCommand& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kRenew, message, now);
}

std::string MakeCommand(const RemoveHostCommand& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kRemoveHost, message, now);
}

std::string MakeCommand(const ShiftCommand& message, UnixMillis now) {
  return EncodeCommand(CommandKind::kShift, message, now);
}

}  // namespace jujube::control
