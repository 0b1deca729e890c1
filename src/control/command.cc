#include "control/command.h"

#include <algorithm>

#include "gen/claims_wire.h"
#include "gen/control_wire.h"

namespace jujube::control {

namespace {

template <class Message>
std::string Wrap(CommandKind kind, const Message& message, UnixMillis now) {
  const auto time = std::max<UnixMillis::rep>(now.count(), 0);
  return Encode(Command{.m_kind = kind,
                        .m_time = static_cast<std::uint64_t>(time),
                        .m_data = Encode(message)});
}

}  // namespace

std::string MakeCommand(const ApplyCommand& message, UnixMillis now) {
  return Wrap(CommandKind::kApply, message, now);
}

std::string MakeCommand(const DrainCommand& message, UnixMillis now) {
  return Wrap(CommandKind::kDrain, message, now);
}

std::string MakeCommand(const ClaimRequest& message, UnixMillis now) {
  return Wrap(CommandKind::kClaim, message, now);
}

std::string MakeCommand(const ClaimFinish& message, UnixMillis now) {
  return Wrap(CommandKind::kFinish, message, now);
}

std::string MakeCommand(const RenewCommand& message, UnixMillis now) {
  return Wrap(CommandKind::kRenew, message, now);
}

std::string MakeCommand(const RemoveHostCommand& message, UnixMillis now) {
  return Wrap(CommandKind::kRemoveHost, message, now);
}

std::string MakeCommand(const ShiftCommand& message, UnixMillis now) {
  return Wrap(CommandKind::kShift, message, now);
}

}  // namespace jujube::control
