#include "core/json_document.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace jujube {

namespace {

constexpr std::size_t kMaxListedProblems = 20;
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 4096;
constexpr std::string_view kWhiteSpace = " \t\r\n";

std::string LineAndColumn(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t last_break = before.rfind('\n');
  const std::size_t column =
      last_break == std::string_view::npos ? offset + 1 : offset - last_break;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

Result<boost::json::value> ParseJsonText(std::string_view text,
                                         std::string_view source) {
  boost::json::stream_parser parser;
  boost::json::error_code error;
  const std::size_t used = parser.write_some(text.data(), text.size(), error);
  if (!error && used < text.size() &&
      text.find_first_not_of(kWhiteSpace, used) != std::string_view::npos) {
    error = boost::json::error::extra_data;
  }
  if (!error)
    parser.finish(error);
  if (error) {
    return MakeError(ErrorCode::kInvalidInput,
                     std::string(source) + ": " + LineAndColumn(text, used) +
                         ": not valid JSON: " + error.message());
  }
  return parser.release();
}

Error ProblemsError(const Problems& problems, std::string_view source) {
  std::string message;
  const std::size_t shown = std::min(problems.size(), kMaxListedProblems);
  for (std::size_t i = 0; i < shown; ++i) {
    if (i > 0)
      message += "\n";
    message += std::string(source) + ": " + ToString(problems[i]);
  }
  if (shown < problems.size())
    message += "\n" + std::to_string(problems.size() - shown) + " more";
  return MakeError(ErrorCode::kInvalidInput, std::move(message));
}

Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(ErrorCode::kNotFound,
                     path + ": cannot be opened: " + std::strerror(errno));
  }
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return MakeError(
        ErrorCode::kInvalidInput,
        path + ": larger than " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

Result<std::string> ReadKeyFile(const std::string& path) {
  JUJUBE_TRY(const std::string text, ReadFile(path, kMaxKeyBytes));
  const std::size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos)
    return MakeError(ErrorCode::kInvalidInput, path + ": the key is empty");
  const std::size_t last = text.find_last_not_of(kWhiteSpace);
  std::string key = text.substr(first, last - first + 1);
  if (key.size() < kMinKeyBytes) {
    return MakeError(ErrorCode::kInvalidInput,
                     path + ": found a key of " + std::to_string(key.size()) +
                         " bytes, expected 16 or more");
  }
  return key;
}

}  // namespace jujube
