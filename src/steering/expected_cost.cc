#include "steering/expected_cost.h"

#include <algorithm>

namespace jujube::steering {
namespace {

using std::chrono::microseconds;

constexpr std::int64_t kPermille = 1000;

// A queue grows and shrinks by a request or two within this time.
constexpr std::chrono::milliseconds kFreshAge{300};
// Time after which nothing of a reported queue is left: several times the work
// of a request.
constexpr std::chrono::milliseconds kMaxLoadAge{3000};
// Moments in which a machine is slow last about 600 ms.
constexpr std::chrono::milliseconds kMaxWorkTimeAge{600};

// A stated queue beyond this is an error of the instance.
constexpr std::int64_t kMaxQueuePermille = 10000;

// Weight of a report in permille: full until `fresh`, none from `oldest`.
std::int64_t WeightOf(MonoTime reported_at,
                      MonoTime now,
                      std::chrono::nanoseconds fresh,
                      std::chrono::nanoseconds oldest) {
  if (reported_at == MonoTime{})
    return 0;
  const std::chrono::nanoseconds age = now - reported_at;
  return std::clamp<std::int64_t>(
      kPermille * (oldest - age).count() / (oldest - fresh).count(), 0,
      kPermille);
}

std::int64_t Blend(std::int64_t reported,
                   std::int64_t mean,
                   std::int64_t weight) {
  return (reported * weight + mean * (kPermille - weight)) / kPermille;
}

// Requests in front of a new one that wait for a slot, in permille of `slots`.
std::int64_t QueuePermille(std::int64_t in_progress, std::int64_t slots) {
  return std::clamp<std::int64_t>((in_progress + 1 - slots) * kPermille / slots,
                                  0, kMaxQueuePermille);
}

}  // namespace

Cost EstimateCost(const CostInputs& inputs, MonoTime now) {
  const ReportedLoad& load = inputs.m_load;
  const std::int64_t announced = std::max<std::int64_t>(inputs.m_slots, 1);
  // An instance that states more slots than it announced is not trusted.
  const std::int64_t slots =
      load.m_slots > 0 ? std::min<std::int64_t>(load.m_slots, announced)
                       : announced;
  const std::int64_t own_queue = QueuePermille(inputs.m_in_progress, slots);
  const std::int64_t reported_queue =
      std::max(QueuePermille(std::int64_t{inputs.m_in_progress} +
                                 load.m_others_in_progress,
                             slots),
               std::min<std::int64_t>(load.m_waiting * kPermille / slots,
                                      kMaxQueuePermille));
  const std::int64_t queue = std::max(
      own_queue, Blend(reported_queue, inputs.m_mean_queue_permille,
                       WeightOf(load.m_at, now, kFreshAge, kMaxLoadAge)));
  const std::int64_t work_time =
      Blend(load.m_work_time_permille, inputs.m_mean_work_time_permille,
            WeightOf(load.m_at, now, kFreshAge / 3, kMaxWorkTimeAge));
  // A failed attempt takes another one, so the whole is repeated in part.
  const microseconds repeated =
      (inputs.m_round_trip + inputs.m_work + inputs.m_mean_work) *
      std::min<std::int64_t>(inputs.m_failure_permille, kPermille) / kPermille;
  return {
      .m_wait = inputs.m_mean_work * queue / kPermille * work_time / kPermille,
      .m_usual_wait = inputs.m_mean_work * inputs.m_mean_queue_permille /
                      kPermille * inputs.m_mean_work_time_permille / kPermille,
      .m_work = inputs.m_work * work_time / kPermille,
      .m_rest = inputs.m_round_trip + repeated};
}

}  // namespace jujube::steering
