#include "ctl/document.h"

#include <utility>

#include <boost/json.hpp>

#include "config/check.h"
#include "core/json_document.h"
#include "gen/deployment_json.h"

namespace jujube::ctl {

namespace {

// The same limit as for a request body in controld::OperatorApi.
constexpr std::size_t kMaxDocumentBytes = 64U << 20U;

std::string FormatList(const boost::json::array& list) {
  std::string text = "[";
  for (std::size_t i = 0; i < list.size(); ++i)
    text += (i > 0 ? ",\n    " : "\n    ") + boost::json::serialize(list[i]);
  return text + (list.empty() ? "]" : "\n  ]");
}

}  // namespace

LoadedDocument ParseAndCheckDocument(std::string text,
                                     const std::string& file) {
  LoadedDocument document{.m_text = std::move(text)};
  auto deployment = ParseDocument<Deployment>(document.m_text, file);
  if (!deployment) {
    document.m_problems.push_back(deployment.error().m_message);
    return document;
  }
  for (const Problem& problem : config::CheckDeployment(deployment.value()))
    document.m_problems.push_back(file + ": " + ToString(problem));
  if (document.m_problems.empty())
    document.m_deployment = std::move(deployment).value();
  return document;
}

LoadedDocument LoadDocument(const std::string& file) {
  Result<std::string> text = ReadFile(file, kMaxDocumentBytes);
  if (!text)
    return {.m_problems = {text.error().m_message}};
  return ParseAndCheckDocument(std::move(text).value(), file);
}

Result<Deployment> ParseDocumentInForce(std::string_view body) {
  JUJUBE_TRY(boost::json::value json, ParseJsonText(body, "document in force"));
  // Problems are ignored if the number is 0: the initial empty document has
  // this number, but the schema requires at least 1.
  Deployment deployment;
  Problems problems;
  ParseJson(json, JsonPath(), problems, deployment);
  if (!problems.empty() && deployment.m_number != 0)
    return ProblemsError(problems, "document in force");
  return deployment;
}

std::string FormatDocument(const Deployment& deployment) {
  const boost::json::value json = ToJson(deployment);
  std::string text = "{";
  for (const auto& member : json.get_object()) {
    text += (text.size() > 1 ? ",\n  " : "\n  ") +
            boost::json::serialize(boost::json::string(member.key())) + ": ";
    const auto* list = member.value().if_array();
    text += list != nullptr ? FormatList(*list)
                            : boost::json::serialize(member.value());
  }
  return text + "\n}\n";
}

}  // namespace jujube::ctl
