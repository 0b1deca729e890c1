// Property tests with a fixed seed.

#pragma once

#include <cstdint>
#include <iostream>

#include <rapidcheck.h>

namespace jujube {

// Returns true if the property holds for 100 generated inputs. The seed makes
// them the same in every run. A failure is printed with its shrunk input.
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
