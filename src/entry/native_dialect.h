// NativeDialect: the header fields of the native interface, see
// docs/requests.md.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/dialect.h"

namespace jujube::entry {

struct NativeDialect {
  static constexpr bool kUsesClaims = true;
  // A crash of the upstream would look like the end of such a response.
  static constexpr bool kTakesCloseDelimited = false;

  static Result<Route> Parse(const RequestHead& head, const ServingView& view);
  static RequestHead UpstreamHead(const RequestHead& head,
                                  const Route& route,
                                  std::chrono::milliseconds remaining,
                                  std::string_view traceparent,
                                  const steering::Selection& selection);
  static bool IsNotStarted(const ResponseHead& head);
  static bool NamesRequest(const ResponseHead& head);
  static bool IsResponseTo(const ResponseHead& head, const Route& route);
  static InstanceReport ReportOf(const ResponseHead& head);
  static std::vector<Header> EndToEndHeaders(
      const std::vector<Header>& headers);
  static ResponseHead RefusalHead(const Refusal& refusal);
  static std::string RefusalText(const Refusal& refusal);
};

static_assert(Dialect<NativeDialect>);

}  // namespace jujube::entry
