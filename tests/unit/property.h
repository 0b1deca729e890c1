// Property tests with a fixed seed.

#pragma once

#include <cstdint>
#include <iostream>

#include <rapidcheck.h>

namespace jujube {

// Whether the property holds for 100 inputs that are the same in each run. A
// failure is printed with its shrunk input.
template <class Property>
bool CheckWithSeed(std::uint64_t seed, Property property) {
  rc::detail::TestParams params;
  params.seed = seed;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  const bool is_success = result.template is<rc::detail::SuccessResult>();
  if (!is_success)
    rc::detail::printResultMessage(result, std::cerr);
  return is_success;
}

}  // namespace jujube
