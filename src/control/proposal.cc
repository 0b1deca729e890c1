#include "control/proposal.h"

#include <algorithm>
#include <utility>

#include "config/check.h"
#include "config/difference.h"
#include "config/digest.h"

namespace jujube::control {

namespace {

// Maximum sizes of ApplyAnswer.problems and ApplyCommand.operator_name in the
// schema.
constexpr std::size_t kMaxProblems = 256;
constexpr std::size_t kMaxOperatorBytes = 200;

ApplyAnswer MakeInvalidAnswer(const Problems& problems) {
  ApplyAnswer answer{.m_outcome = ApplyOutcome::kInvalid};
  const std::size_t count = std::min(problems.size(), kMaxProblems);
  for (std::size_t i = 0; i < count; ++i)
    answer.m_problems.push_back(ToString(problems[i]));
  return answer;
}

}  // namespace

ApplyProposal PrepareApply(const StateMachine& state,
                           const Deployment& deployment,
                           const std::string& operator_name,
                           std::optional<std::uint64_t> base_number) {
  const Problems problems = config::CheckDeployment(deployment);
  if (!problems.empty())
    return {.m_answer = MakeInvalidAnswer(problems)};
  const Configuration& current_config = state.Config();
  const Deployment canonical = config::CanonicalDeployment(deployment);
  std::string digest = config::DigestOfCanonicalDeployment(canonical);
  const auto earlier_answer =
      current_config.AnswerFromHistory(canonical.m_number, digest);
  if (earlier_answer)
    return {.m_answer = earlier_answer};
  if (base_number && *base_number != current_config.Document().m_number)
    return {.m_answer = current_config.BaseConflictAnswer()};
  const auto problem =
      current_config.ShiftLimitError(canonical, state.ReplicatedTimeMs());
  if (problem) {
    return {.m_answer = ApplyAnswer{.m_outcome = ApplyOutcome::kInvalid,
                                    .m_problems = {*problem}}};
  }
  config::BlockChanges changes = config::CompareBlocks(
      current_config.Document().m_blocks, canonical.m_blocks);
  return {.m_command = {
              .m_operator_name = operator_name.substr(0, kMaxOperatorBytes),
              .m_base_index = current_config.DocumentIndex(),
              .m_base_number = base_number,
              .m_digest = std::move(digest),
              .m_deployment = config::WithoutBlocks(canonical),
              .m_upserted = std::move(changes.m_upserted),
              .m_removed = std::move(changes.m_removed)}};
}

}  // namespace jujube::control
