#include "overload/response_times.h"

#include <algorithm>

namespace jujube::overload {
namespace {

constexpr std::int64_t kInverseWeight = 8;

// The bounds keep some queue, so that slots don't fall idle between two
// requests, and no more than the work of one other request. A larger maximum
// made no difference in the model.
constexpr double kMinBearableQueue = 0.1;
constexpr double kMaxBearableQueue = 1;

// Queue that is borne where the work alone takes longer than the target. The
// responses are late anyway, and a shorter queue left slots idle.
constexpr double kLateBearableQueue = 0.5;

// Part of the time between the work and the target that the queue may take. The
// rest is for work that takes longer than the mean. With the whole time, 0.654
// of the requests were in time at 1.5 of the room, with half 0.670, with a
// quarter 0.686 (bench/overload_bench, refusing at once).
constexpr double kUsedSlack = 0.33;

void AddSample(std::chrono::nanoseconds& average,
               std::chrono::nanoseconds sample) {
  average = average.count() == 0
                ? sample
                : average + (sample - average) / kInverseWeight;
}

}  // namespace

void ResponseTimes::AddDeviation(Times& times,
                                 std::chrono::nanoseconds elapsed) {
  if (times.m_response.count() > 0)
    AddSample(times.m_deviation, std::chrono::abs(elapsed - times.m_response));
}

ResponseTimes::Times* ResponseTimes::Find(const std::string& route) {
  const auto found = m_by_route.find(route);
  if (found != m_by_route.end())
    return &found->second;
  if (m_by_route.size() >= kMaxRoutes)
    return nullptr;
  return &m_by_route[route];
}

void ResponseTimes::OnResponse(const std::string& route,
                               std::chrono::nanoseconds elapsed,
                               const StatedQueue& stated) {
  AddSample(m_mean, elapsed);
  Times* times = Find(route);
  if (times == nullptr)
    return;
  AddDeviation(*times, elapsed);
  AddSample(times->m_response, elapsed);
  if (stated.m_slots > 0) {
    AddSample(times->m_work,
              elapsed * stated.m_slots /
                  (std::int64_t{stated.m_slots} + stated.m_waiting));
  }
}

void ResponseTimes::OnGivenUp(const std::string& route,
                              std::chrono::nanoseconds elapsed) {
  if (elapsed > m_mean)
    AddSample(m_mean, elapsed);
  Times* times = Find(route);
  if (times != nullptr && elapsed > times->m_response)
    AddSample(times->m_response, elapsed);
}

std::chrono::nanoseconds ResponseTimes::Expected(
    const std::string& route) const {
  const auto found = m_by_route.find(route);
  return found != m_by_route.end()
             ? found->second.m_response + 2 * found->second.m_deviation
             : m_mean;
}

bool ResponseTimes::CanMeet(const std::string& route,
                            std::chrono::nanoseconds target) const {
  const auto found = m_by_route.find(route);
  return found == m_by_route.end() || found->second.m_work < target;
}

double ResponseTimes::BearableQueue(const std::string& route,
                                    std::chrono::nanoseconds target) const {
  const auto found = m_by_route.find(route);
  if (found == m_by_route.end() || found->second.m_work.count() <= 0)
    return kMaxBearableQueue;
  const double work = static_cast<double>(found->second.m_work.count());
  if (!CanMeet(route, target))
    return kLateBearableQueue;
  return std::clamp(
      (static_cast<double>(target.count()) / work - 1) * kUsedSlack,
      kMinBearableQueue, kMaxBearableQueue);
}

}  // namespace jujube::overload
