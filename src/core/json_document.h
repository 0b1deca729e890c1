// Parses JSON documents into generated types.
//
//   Result<EntrySettings> s = ParseDocument<EntrySettings>(text, "entry.json");
//
// The error lists the first 20 problems, each as "entry.json: $.path: found
// ..., expected ...". Includes Boost.JSON, so headers of decision code must not
// include this file.

#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "core/json_reader.h"
#include "core/result.h"

namespace jujube {

// Parses JSON text. A syntax error is reported with its line and column.
Result<boost::json::value> ParseJsonText(std::string_view text,
                                         std::string_view source);

// Combines problems into one error, which lists the first 20 of them.
// Precondition: at least one problem.
Error ProblemsError(const Problems& problems, std::string_view source);

// Reads a file. kNotFound: it cannot be opened, for any reason; kInvalidInput:
// it is larger than max_bytes. A read error is treated as the end of the file.
Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes);

// Reads a key file and strips surrounding white space. The key must have at
// least 16 bytes.
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
