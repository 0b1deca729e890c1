// Property tests on random schedules of steps, with a fixed seed.
//
//   CheckSchedules(500, [](const std::vector<Step>& steps) {
//     ...                  // execute the steps; RC_ASSERT(...) the properties
//   });

#pragma once

#include <cstdint>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jujube::testing {

// One random step: an action, the host that it affects, and an amount. The test
// takes each value modulo its number of choices, so every shortened schedule is
// valid.
struct Step {
  std::uint8_t m_action = 0;
  std::uint8_t m_host = 0;
  std::uint8_t m_amount = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << int{step.m_action} << ", " << int{step.m_host} << ", "
             << int{step.m_amount} << "}";
}

// Runs up to `max_schedules` random schedules and stops at the first one that
// fails an RC_ASSERT. Shrinks that schedule and reports it as a test failure.
inline void CheckSchedules(
    int max_schedules,
    const std::function<void(const std::vector<Step>&)>& run) {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = max_schedules;
  params.maxSize = 400;
  const auto result = rc::detail::checkTestable(
      [&] {
        const auto byte = rc::gen::inRange<int>(0, 256);
        const auto step = rc::gen::map(
            rc::gen::tuple(byte, byte, byte), [](const auto& values) {
              const auto [action, host, amount] = values;
              return Step{static_cast<std::uint8_t>(action),
                          static_cast<std::uint8_t>(host),
                          static_cast<std::uint8_t>(amount)};
            });
        run(*rc::gen::container<std::vector<Step>>(step));
      },
      rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

}  // namespace jujube::testing
