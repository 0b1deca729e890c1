// Dialect: mapping of requests and responses to the HTTP header fields of one
// kind of front end.
//
// The forwarder makes all decisions. A dialect has no state; it only reads and
// writes the header fields of callers and upstreams:
//
// - kUsesClaims: a non-repeatable request carries an idempotency key, which is
//   claimed at the control hosts.
// - kTakesCloseDelimited: a response without a length may end with an orderly
//   close of its connection.
// - Parse: returns the route of a request; called in an RCU read section.
// - UpstreamHead: builds the head of the request for the upstream from the
//   caller's head, the route, the remaining time, the traceparent (empty: none)
//   and the selected instance.
// - IsNotStarted: whether the upstream states that it did not start the
//   request.
// - NamesRequest: whether the response states which request it answers.
// - IsResponseTo: whether the response belongs to the request.
// - ReportOf: what the instance states about itself in the response.
// - EndToEndHeaders: returns the header fields for the caller: those of the
//   upstream that may be forwarded, and any that the dialect adds.
// - RefusalHead, RefusalText: head and body of a response that the entry host
//   itself generates.

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/refusal.h"
#include "entry/route.h"
#include "entry/serving_view.h"
#include "gen/http.h"
#include "gen/instance_report.h"
#include "steering/selection.h"

namespace jujube::entry {

template <class D>
concept Dialect = requires(const RequestHead& request,
                           const ResponseHead& response,
                           const ServingView& view,
                           const Route& route,
                           std::chrono::milliseconds remaining,
                           const steering::Selection& selection,
                           const Refusal& refusal) {
  { D::kUsesClaims } -> std::convertible_to<bool>;
  { D::kTakesCloseDelimited } -> std::convertible_to<bool>;
  { D::Parse(request, view) } -> std::same_as<Result<Route>>;
  {
    D::UpstreamHead(request, route, remaining, std::string_view(), selection)
    } -> std::same_as<RequestHead>;
  { D::IsNotStarted(response) } -> std::same_as<bool>;
  { D::NamesRequest(response) } -> std::same_as<bool>;
  { D::IsResponseTo(response, route) } -> std::same_as<bool>;
  { D::ReportOf(response) } -> std::same_as<InstanceReport>;
  {
    D::EndToEndHeaders(response.m_headers)
    } -> std::same_as<std::vector<Header>>;
  { D::RefusalHead(refusal) } -> std::same_as<ResponseHead>;
  { D::RefusalText(refusal) } -> std::same_as<std::string>;
};

}  // namespace jujube::entry
