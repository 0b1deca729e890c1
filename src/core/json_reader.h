// Validation problems of a JSON document, each with its path.
//
// Generated parsers report every problem instead of stopping at the first, so
// that an operator corrects a file in one pass.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujube {

// Path inside a document, such as $.services[2].name. Each parser call adds one
// step on the stack; the text is built only when a problem is reported.
class JsonPath {
 public:
  JsonPath() = default;
  JsonPath(const JsonPath& parent, std::string_view key)
      : m_parent(&parent), m_key(key) {}
  JsonPath(const JsonPath& parent, std::size_t index)
      : m_parent(&parent), m_index(index) {}

  std::string Text() const;

 private:
  const JsonPath* m_parent = nullptr;
  std::string_view m_key;   // empty for an array element
  std::size_t m_index = 0;  // of an array element
};

struct Problem {
  std::string m_path;     // such as $.services[2].name
  std::string m_found;    // value found, or a description of it
  std::string m_allowed;  // description of the allowed values

  friend auto operator<=>(const Problem&, const Problem&) = default;
};

// "$.port: found 70000, expected a whole number from 0 up to 65535"
std::string ToString(const Problem& problem);

using Problems = std::vector<Problem>;

}  // namespace jujube
