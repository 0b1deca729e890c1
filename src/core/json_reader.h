// Problems of a JSON document, each with the path at which it was found.
//
// Generated parsers report every problem instead of stopping at the first, so
// that an operator corrects a file in one pass.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujube {

// Path inside a document, such as $.services[2].name. Built on the stack while
// a parser descends; the text is made only for a problem.
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
  std::string_view m_key;  // empty: m_index counts
  std::size_t m_index = 0;
};

struct Problem {
  std::string m_path;     // where in the document
  std::string m_found;    // what stands there
  std::string m_allowed;  // what may stand there

  friend auto operator<=>(const Problem&, const Problem&) = default;
};

// "$.port: found 70000, expected 0 to 65535"
std::string ToString(const Problem& problem);

using Problems = std::vector<Problem>;

}  // namespace jujube
