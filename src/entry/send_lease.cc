#include "entry/send_lease.h"

#include <utility>

namespace jujube::entry {

SendLease::SendLease(const rcu::Cell<ServingView>& view,
                     const std::atomic<MonoTime>& end,
                     std::string_view key,
                     std::optional<TenantId> tenant)
    : m_view(view), m_end(end), m_key(key), m_tenant(std::move(tenant)) {}

bool SendLease::IsValid() const {
  if (!m_tenant)
    return true;
  // The end is read before the view, since a later end may belong to a view
  // that no longer has the key. The clock is read last, so that the check fails
  // if the process was suspended before it.
  const MonoTime end = m_end.load(std::memory_order_acquire);
  const rcu::ReadSection section;
  const tenants::TenantTable& table = *m_view.Read(section).m_tenants;
  const std::optional<tenants::TenantIndex> index = table.FindByKey(m_key);
  return index && table.At(*index).m_name == *m_tenant &&
         MonoClock::now() < end;
}

}  // namespace jujube::entry
