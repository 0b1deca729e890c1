// UpstreamView: the data from which worker threads select an upstream.
//
//   rcu::Cell<UpstreamView> cell(...);       // owned by the daemon
//   cell.Publish(std::make_unique<const UpstreamView>(
//       BuildView(inputs, counters)));       // control thread, on each change
//   {                                        // worker thread
//     const rcu::ReadSection section;
//     const UpstreamView& view = cell.Read(section);
//     if (const ServiceUpstreams* service = FindService(view, id))
//       selection = selector.Select(*service, context);
//   }                                        // selection holds copies
//
// The CounterTable of the control thread keeps the counters until neither a
// view nor a request refers to them.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gen/deployment.h"
#include "membership/instance_key.h"
#include "membership/registry_snapshot.h"
#include "steering/counter_table.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

struct UpstreamView {
  std::uint64_t m_registry_version = 0;      // version of the registry snapshot
  std::uint64_t m_deployment_number = 0;     // version of the deployment
  Weights m_weights;                         // for the selection policy
  std::vector<ServiceUpstreams> m_services;  // sorted by service name
  std::uint32_t m_unknown = 0;  // instances left out because the deployment
                                // lacks their service or zone

  friend auto operator<=>(const UpstreamView&, const UpstreamView&) = default;
};

struct ViewInputs {
  const membership::RegistrySnapshot& m_registry;
  const Deployment& m_deployment;
  const std::vector<Drain>& m_drains;
  AvailabilityZoneId m_zone;  // of this host
  MonoTime m_now = {};        // for the end times of drains

  HostId m_host = {};                      // this host
  std::vector<HostId> m_entry_hosts = {};  // hosts that may send requests
  // Maximum requests at an instance, as a multiple of its slots, if there are
  // no grants.
  std::uint32_t m_queue_factor = 1;
  // Plan for the objects of this host's region (region_shares.h): the entry
  // hosts in each availability zone. Empty: objects are distributed by
  // ObjectWeight and upstreams are not selected by cost.
  std::optional<std::map<AvailabilityZoneId, std::uint32_t>>
      m_entry_hosts_by_zone = {};
  // Burst of the retry budget of each service on this host.
  std::uint32_t m_retry_burst = RetryBudget::kDefaultBurst;

  // Slots of each instance that this host may use; none for an instance without
  // an entry. Empty if there are no allotments yet: m_queue_factor applies.
  std::optional<std::map<membership::InstanceKey, SlotGrant>> m_grants;
};

UpstreamView BuildView(const ViewInputs& inputs, CounterTable& counters);

// Null if the deployment has no such service.
const ServiceUpstreams* FindService(const UpstreamView& view,
                                    const ServiceId& service);

}  // namespace jujube::steering
