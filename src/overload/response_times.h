// ResponseTimes: how long a response of each route takes, as observed.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "overload/room_estimate.h"

namespace jujube::overload {

class ResponseTimes {
 public:
  // Further routes are expected to take as long as the mean of all.
  static constexpr std::size_t kMaxRoutes = 512;

  // `elapsed` is the time from the start of the request to its response.
  void OnResponse(const std::string& route,
                  std::chrono::nanoseconds elapsed,
                  const StatedQueue& stated);
  // The request was given up after `elapsed`, so it takes at least that long.
  // Without these, the slow requests would be missing from the mean.
  void OnGivenUp(const std::string& route, std::chrono::nanoseconds elapsed);

  // Mean and mean deviation, so that most responses take no longer. 0 if
  // unknown.
  std::chrono::nanoseconds Expected(const std::string& route) const;
  std::chrono::nanoseconds Mean() const { return m_mean; }

  // False if the work alone takes as long as the target. True if unknown.
  bool CanMeet(const std::string& route, std::chrono::nanoseconds target) const;

  // Queue at an upstream, in parts of its slots, in which a response of the
  // route still meets the target.
  double BearableQueue(const std::string& route,
                       std::chrono::nanoseconds target) const;

 private:
  struct Times {
    std::chrono::nanoseconds m_response{0};   // with the queue at the upstream
    std::chrono::nanoseconds m_deviation{0};  // mean of the absolute one
    std::chrono::nanoseconds m_work{0};       // without it
  };

  static void AddDeviation(Times& times, std::chrono::nanoseconds elapsed);
  Times* Find(const std::string& route);

  std::map<std::string, Times> m_by_route;
  std::chrono::nanoseconds m_mean{0};
};

}  // namespace jujube::overload
