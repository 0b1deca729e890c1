// SendLease: whether a request with a key may still be sent to an upstream.
//
//   const SendLease lease(view, lease_end, key, tenant);
//   if (lease.IsValid())
//     ...send the first byte...
//
// Asked right before the first byte is sent: while the request waits for a
// connection, or while the process is suspended, the lease may run out and the
// key may be taken away.

#pragma once

#include <atomic>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "entry/serving_view.h"
#include "gen/types.h"
#include "rcu/cell.h"

namespace jujube::entry {

class SendLease {
 public:
  // `view`, `end` and `key` must outlive this object. Without a tenant, the
  // request needs no lease.
  SendLease(const rcu::Cell<ServingView>& view,
            const std::atomic<MonoTime>& end,
            std::string_view key,
            std::optional<TenantId> tenant);

  // True if the tenant still holds the key and the lease has not run out.
  bool IsValid() const;

 private:
  const rcu::Cell<ServingView>& m_view;
  const std::atomic<MonoTime>& m_end;
  const std::string_view m_key;
  const std::optional<TenantId> m_tenant;
};

}  // namespace jujube::entry
