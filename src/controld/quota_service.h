// QuotaService: grants quotas to entry hosts while this control host leads.
//
// Answers QuotaReport over the connection on which it arrived. A report gets no
// answer while this host does not lead, or if it could not confirm lately that
// it does. Not thread-safe: use it on the thread of its io_context.

#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "gen/deployment.h"
#include "gen/quotas.h"
#include "gen/settings.h"
#include "gen/types.h"
#include "net/frame_dispatch.h"
#include "quotas/quota_ledger.h"

namespace jujube::controld {

struct QuotaServiceOptions {
  QuotaSettings m_settings;
  // Time since which this host leads; empty if it does not.
  std::function<std::optional<MonoTime>()> m_leading_since;
  // Start of the last read barrier that succeeded.
  std::function<std::optional<MonoTime>()> m_confirmed_at;
  // Availability zone of an entry host; empty if it is not known.
  std::function<AvailabilityZoneId(const HostId&)> m_zone_of;
};

class QuotaService {
 public:
  explicit QuotaService(QuotaServiceOptions options);

  void RegisterHandlers(net::FrameDispatch* handlers);
  // Tenants of the document in force.
  void SetTenants(const std::vector<Tenant>& tenants);

  // The answer to a report; empty if there is none.
  std::optional<QuotaGrant> Answer(const QuotaReport& report, MonoTime now);

 private:
  void UpdateTerm(MonoTime now);

  const QuotaServiceOptions m_options;
  quotas::QuotaLedger m_ledger;
  std::vector<Tenant> m_tenants;
  std::optional<MonoTime> m_leading_since;  // of the term in the ledger
};

}  // namespace jujube::controld
