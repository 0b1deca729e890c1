// Reads whole JSON documents into generated types.
//
//   Result<EntrySettings> s = ParseDocument<EntrySettings>(text, "entry.json");
//
// The error lists every problem as "entry.json: $.path: found ..., expected
// ...". Includes Boost.JSON; for wiring, not for core headers.

#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "core/json_reader.h"
#include "core/result.h"

namespace jujube {

// Parses the text; names line and column on a syntax error.
Result<boost::json::value> ParseJsonText(std::string_view text,
                                         std::string_view source);

// Joins problems to one error. Precondition: at least one problem.
Error ProblemsError(const Problems& problems, std::string_view source);

// Reads a file of at most max_bytes.
Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes);

// Reads a key file: surrounding white space is removed; at least 16 bytes.
Result<std::string> ReadKeyFile(const std::string& path);

template <class T>
Result<T> ParseDocument(std::string_view text, std::string_view source) {
  JUJUBE_TRY(const boost::json::value json, ParseJsonText(text, source));
  T value;
  Problems problems;
  ParseJson(json, JsonPath(), problems, value);
  if (!problems.empty())
    return ProblemsError(problems, source);
  return value;
}

}  // namespace jujube
