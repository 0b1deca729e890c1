// Dialect: how a front end reads requests and writes responses.
//
// The forwarder decides; a dialect only translates between the decisions and
// the header fields of callers and upstreams. Stateless:
//
//   kHasClaims             requests that must not repeat carry a key and are
//                          claimed at the control hosts
//   kTakesCloseDelimited   a response without a length may end with an orderly
//                          close of its connection
//   kReusesForAtMostOnce   requests that must not repeat may go over an idle
//                          connection
//   Parse                  the route of a request; called in a read section
//   UpstreamHead           head of the request for an upstream
//   SaysNotStarted         the upstream states that it did not run the request
//   IsResponseTo           the response belongs to the request
//   ReportedRequests       requests at the instance, if the response states
//   them EndToEnd               header fields that go to the caller
//   RefusalHead, RefusalText
//                          a response of the entry host itself

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
#include "steering/selection.h"

namespace jujube::entry {

template <class D>
concept Dialect = requires(const RequestHead& request,
                           const ResponseHead& response,
                           const ServingView& view,
                           const Route& route,
                           std::chrono::milliseconds left,
                           const steering::Selection& selection,
                           const Refusal& refusal) {
  { D::kHasClaims } -> std::convertible_to<bool>;
  { D::kTakesCloseDelimited } -> std::convertible_to<bool>;
  { D::kReusesForAtMostOnce } -> std::convertible_to<bool>;
  { D::Parse(request, view) } -> std::same_as<Result<Route>>;
  {
    D::UpstreamHead(request, route, left, std::string_view(), selection)
    } -> std::same_as<RequestHead>;
  { D::SaysNotStarted(response) } -> std::same_as<bool>;
  { D::IsResponseTo(response, route) } -> std::same_as<bool>;
  {
    D::ReportedRequests(response)
    } -> std::same_as<std::optional<std::uint32_t>>;
  { D::EndToEnd(response.m_headers) } -> std::same_as<std::vector<Header>>;
  { D::RefusalHead(refusal) } -> std::same_as<ResponseHead>;
  { D::RefusalText(refusal) } -> std::same_as<std::string>;
};

}  // namespace jujube::entry
