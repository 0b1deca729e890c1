// ReportChanges: what a response changed in the statements of an instance.

#pragma once

#include <compare>

namespace jujube::steering {

struct ReportChanges {
  bool m_has_begun_to_leave = false;  // the first statement that it leaves
  bool m_has_other_limit = false;     // another rate limit, or none any more

  friend auto operator<=>(const ReportChanges&, const ReportChanges&) = default;
};

}  // namespace jujube::steering
