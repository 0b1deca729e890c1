#include "controld/quota_service.h"

#include <utility>

#include "net/frame_connection.h"
#include "quotas/quota_timing.h"

namespace jujube::controld {

QuotaService::QuotaService(QuotaServiceOptions options)
    : m_options(std::move(options)), m_ledger(m_options.m_settings) {}

void QuotaService::RegisterHandlers(net::FrameDispatch* handlers) {
  handlers->On<QuotaReport>([this](const net::FrameSource& source,
                                   const QuotaReport& report) {
    const std::optional<QuotaGrant> grant = Answer(report, MonoClock::now());
    const auto connection = source.m_connection.lock();
    if (grant && connection)
      connection->Send(*grant);
  });
}

void QuotaService::SetTenants(const std::vector<Tenant>& tenants) {
  if (tenants == m_tenants)
    return;
  m_tenants = tenants;
  const MonoTime now = MonoClock::now();
  UpdateTerm(now);
  m_ledger.SetTenants(m_tenants, now);
}

// A host that loses the lead and leads again within one poll of its role starts
// no new term. No other host can have granted meanwhile, because a new leader
// waits for kConfirmationBound.
void QuotaService::UpdateTerm(MonoTime now) {
  const std::optional<MonoTime> leading_since = m_options.m_leading_since();
  if (std::exchange(m_leading_since, leading_since) == leading_since)
    return;
  m_ledger.EndTerm();
  if (!leading_since)
    return;
  m_ledger.StartTerm(*leading_since + quotas::kConfirmationBound);
  m_ledger.SetTenants(m_tenants, now);
}

std::optional<QuotaGrant> QuotaService::Answer(const QuotaReport& report,
                                               MonoTime now) {
  UpdateTerm(now);
  const std::optional<MonoTime> confirmed_at = m_options.m_confirmed_at();
  const bool is_confirmed = m_leading_since && confirmed_at &&
                            *confirmed_at >= *m_leading_since &&
                            now - *confirmed_at < quotas::kConfirmationBound;
  if (!is_confirmed)
    return std::nullopt;
  return m_ledger.OnReport(report, m_options.m_zone_of(report.m_host), now);
}

}  // namespace jujube::controld
