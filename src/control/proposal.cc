#include "control/proposal.h"

#include <algorithm>
#include <utility>

#include "config/check.h"
#include "config/difference.h"
#include "config/digest.h"

namespace jujube::control {

namespace {

// Bounds of ApplyAnswer.problems and ApplyCommand.operator_name in the schema.
constexpr std::size_t kMaxProblems = 256;
constexpr std::size_t kMaxOperatorBytes = 200;

ApplyAnswer InvalidAnswer(const Problems& problems) {
  ApplyAnswer answer{.m_outcome = ApplyOutcome::kInvalid};
  const std::size_t shown = std::min(problems.size(), kMaxProblems);
  for (std::size_t i = 0; i < shown; ++i)
    answer.m_problems.push_back(ToString(problems[i]));
  return answer;
}

}  // namespace

ApplyProposal PrepareApply(const StateMachine& state,
                           const Deployment& deployment,
                           const std::string& operator_name,
                           std::optional<std::uint64_t> base_number) {
  const Problems problems = config::Check(deployment);
  if (!problems.empty())
    return {.m_answer = InvalidAnswer(problems)};
  const Configuration& current = state.Config();
  const Deployment canonical = config::Canonical(deployment);
  std::string digest = config::DigestOfCanonical(canonical);
  const auto known = current.Recall(canonical.m_number, digest);
  if (known)
    return {.m_answer = known};
  if (base_number && *base_number != current.Document().m_number)
    return {.m_answer = current.OtherBase()};
  const auto problem = current.ShiftProblem(canonical, state.Time());
  if (problem) {
    return {.m_answer = ApplyAnswer{.m_outcome = ApplyOutcome::kInvalid,
                                    .m_problems = {*problem}}};
  }
  config::BlockChanges changes =
      config::CompareBlocks(current.Document().m_blocks, canonical.m_blocks);
  return {.m_command = {
              .m_operator_name = operator_name.substr(0, kMaxOperatorBytes),
              .m_base_index = current.DocumentIndex(),
              .m_base_number = base_number,
              .m_digest = std::move(digest),
              .m_deployment = config::WithoutBlocks(canonical),
              .m_upserted = std::move(changes.m_upserted),
              .m_removed = std::move(changes.m_removed)}};
}

}  // namespace jujube::control
