// Result<T>: a value or an Error (Boost.Outcome).
//
//   Result<int> ParsePort(std::string_view text);
//   JUJUBE_TRY(const int port, ParsePort(text));  // returns the error
//
// Accessing the value of a failed Result terminates the process.

#pragma once

#include <string>
#include <utility>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include "core/error.h"

namespace jujube {

template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using Status = Result<void>;

inline Error MakeError(ErrorCode code, std::string message) {
  return Error{.m_code = code, .m_message = std::move(message)};
}

inline Status Success() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace jujube

#define JUJUBE_TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
#define JUJUBE_CO_TRY(...) BOOST_OUTCOME_CO_TRY(__VA_ARGS__)
