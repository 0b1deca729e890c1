#include "config/difference.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include <boost/json.hpp>

#include "config/digest.h"
#include "gen/deployment_json.h"

namespace jujube::config {

namespace {

std::string NameOf(const Link& link) {
  return link.m_a.m_value + " - " + link.m_b.m_value;
}

std::string NameOf(const CallerBlock& block) {
  return block.m_prefix;
}

template <class Object>
std::string NameOf(const Object& object) {
  return object.m_name.m_value;
}

std::string DescribeFieldChanges(const boost::json::object& from,
                                 const boost::json::object& to) {
  std::string text;
  for (const auto& member : to) {
    const auto* old_value = from.if_contains(member.key());
    if (old_value != nullptr && *old_value == member.value())
      continue;
    text += text.empty() ? " " : ", ";
    text += std::string(member.key()) + " " +
            (old_value == nullptr ? "nothing"
                                  : boost::json::serialize(*old_value)) +
            " -> " + boost::json::serialize(member.value());
  }
  return text;
}

std::vector<Tenant> WithoutKeys(std::vector<Tenant> tenants) {
  for (Tenant& tenant : tenants)
    tenant.m_keys.clear();
  return tenants;
}

// Both lists are sorted, as in a canonical document.
std::size_t CountCommon(const std::vector<std::string>& a,
                        const std::vector<std::string>& b) {
  std::vector<std::string> common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(common));
  return common.size();
}

class ChangeList {
 public:
  explicit ChangeList(std::size_t max_lines) : m_max_lines(max_lines) {}

  void Add(std::string line) {
    ++m_count;
    if (m_count <= m_max_lines)
      m_lines.push_back(std::move(line));
  }

  template <class Object>
  void CompareObject(std::string_view label,
                     const Object& from,
                     const Object& to) {
    if (from == to)
      return;
    Add(std::string(label) + " changed:" +
        DescribeFieldChanges(ToJson(from).as_object(), ToJson(to).as_object()));
  }

  template <class Object>
  void CompareList(std::string_view kind,
                   const std::vector<Object>& from,
                   const std::vector<Object>& to) {
    std::map<std::string, const Object*> unmatched;
    for (const Object& object : from)
      unmatched.emplace(NameOf(object), &object);
    for (const Object& object : to) {
      const std::string name = NameOf(object);
      const std::string label = std::string(kind) + " \"" + name + "\"";
      const auto old_object = unmatched.find(name);
      if (old_object == unmatched.end()) {
        Add(label + " added");
        continue;
      }
      CompareObject(label, *old_object->second, object);
      unmatched.erase(old_object);
    }
    for (const auto& [name, object] : unmatched)
      Add(std::string(kind) + " \"" + name + "\" removed");
  }

  // Names the number of keys instead of the keys, which must not be printed.
  void CompareTenants(const std::vector<Tenant>& from,
                      const std::vector<Tenant>& to) {
    CompareList("tenant", WithoutKeys(from), WithoutKeys(to));
    // The tenants of a canonical document are sorted by name.
    auto old_tenant = from.begin();
    for (const Tenant& tenant : to) {
      while (old_tenant != from.end() && old_tenant->m_name < tenant.m_name)
        ++old_tenant;
      if (old_tenant == from.end() || old_tenant->m_name != tenant.m_name)
        continue;
      const std::size_t kept = CountCommon(old_tenant->m_keys, tenant.m_keys);
      const std::size_t added = tenant.m_keys.size() - kept;
      const std::size_t removed = old_tenant->m_keys.size() - kept;
      if (added + removed == 0)
        continue;
      Add("tenant \"" + tenant.m_name.m_value +
          "\" keys: " + std::to_string(added) + " added, " +
          std::to_string(removed) + " removed");
    }
  }

  std::vector<std::string> TakeLines() {
    if (m_count > m_max_lines)
      m_lines.push_back(std::to_string(m_count - m_max_lines) + " more");
    return std::move(m_lines);
  }

 private:
  std::size_t m_max_lines;
  std::size_t m_count = 0;
  std::vector<std::string> m_lines;
};

std::map<SiteId, RegionId> RegionsOfSites(const Deployment& deployment) {
  std::map<AvailabilityZoneId, RegionId> zone_regions;
  for (const AvailabilityZone& zone : deployment.m_availability_zones)
    zone_regions.emplace(zone.m_name, zone.m_region);
  std::map<SiteId, RegionId> site_regions;
  for (const Site& site : deployment.m_sites)
    site_regions.emplace(site.m_name, zone_regions[site.m_availability_zone]);
  return site_regions;
}

RegionId RegionOf(const std::map<SiteId, RegionId>& site_regions,
                  const SiteId& site) {
  const auto found = site_regions.find(site);
  return found == site_regions.end() ? RegionId() : found->second;
}

}  // namespace

BlockChanges CompareBlocks(const std::vector<CallerBlock>& from,
                           const std::vector<CallerBlock>& to) {
  BlockChanges changes;
  auto old_block = from.begin();
  for (const CallerBlock& block : to) {
    while (old_block != from.end() && old_block->m_prefix < block.m_prefix)
      changes.m_removed.push_back((old_block++)->m_prefix);
    if (old_block != from.end() && old_block->m_prefix == block.m_prefix) {
      if (*old_block != block)
        changes.m_upserted.push_back(block);
      ++old_block;
    } else {
      changes.m_upserted.push_back(block);
    }
  }
  for (; old_block != from.end(); ++old_block)
    changes.m_removed.push_back(old_block->m_prefix);
  return changes;
}

std::vector<CallerBlock> MergeBlocks(const std::vector<CallerBlock>& from,
                                     const BlockChanges& changes) {
  std::set<std::string_view> replaced(changes.m_removed.begin(),
                                      changes.m_removed.end());
  for (const CallerBlock& block : changes.m_upserted)
    replaced.insert(block.m_prefix);
  std::vector<CallerBlock> merged;
  merged.reserve(from.size() + changes.m_upserted.size());
  std::ranges::copy_if(from, std::back_inserter(merged),
                       [&](const CallerBlock& block) {
                         return !replaced.contains(block.m_prefix);
                       });
  merged.insert(merged.end(), changes.m_upserted.begin(),
                changes.m_upserted.end());
  std::ranges::sort(merged);
  return merged;
}

std::uint32_t MovedPermille(const Deployment& from, const Deployment& to) {
  const std::map<SiteId, RegionId> old_regions = RegionsOfSites(from);
  const std::map<SiteId, RegionId> new_regions = RegionsOfSites(to);
  std::map<std::string_view, RegionId> block_regions;
  for (const CallerBlock& block : to.m_blocks)
    block_regions.emplace(block.m_prefix, RegionOf(new_regions, block.m_site));
  struct BlockCount {
    std::uint64_t m_total = 0;
    std::uint64_t m_moved = 0;
  };
  std::map<RegionId, BlockCount> counts;
  for (const CallerBlock& block : from.m_blocks) {
    const RegionId region = RegionOf(old_regions, block.m_site);
    BlockCount& count = counts[region];
    ++count.m_total;
    const auto new_region = block_regions.find(block.m_prefix);
    if (new_region != block_regions.end() && new_region->second != region)
      ++count.m_moved;
  }
  std::uint64_t max_permille = 0;
  for (const auto& [region, count] : counts) {
    max_permille =
        std::max(max_permille,
                 (count.m_moved * 1000 + count.m_total - 1) / count.m_total);
  }
  return static_cast<std::uint32_t>(max_permille);
}

// Clears the blocks of a copy instead of copying the other fields, so that new
// fields of the document need no change here.
Deployment WithoutBlocks(Deployment deployment) {
  std::vector<CallerBlock>().swap(deployment.m_blocks);
  return deployment;
}

std::vector<std::string> DescribeChanges(const Deployment& from,
                                         const Deployment& to,
                                         std::size_t max_lines) {
  const Deployment old_document = CanonicalDeployment(from);
  const Deployment new_document = CanonicalDeployment(to);
  ChangeList changes(max_lines);
  if (old_document.m_number != new_document.m_number) {
    changes.Add("number changed: " + std::to_string(old_document.m_number) +
                " -> " + std::to_string(new_document.m_number));
  }
  if (old_document.m_name != new_document.m_name) {
    changes.Add("name changed: \"" + old_document.m_name + "\" -> \"" +
                new_document.m_name + "\"");
  }
  changes.CompareObject("weights", old_document.m_weights,
                        new_document.m_weights);
  changes.CompareObject("shift", old_document.m_shift, new_document.m_shift);
  changes.CompareObject("claims", old_document.m_claims, new_document.m_claims);
  changes.CompareList("region", old_document.m_regions, new_document.m_regions);
  changes.CompareList("availability zone", old_document.m_availability_zones,
                      new_document.m_availability_zones);
  changes.CompareList("link", old_document.m_links, new_document.m_links);
  changes.CompareList("site", old_document.m_sites, new_document.m_sites);
  changes.CompareList("entry host", old_document.m_entry_hosts,
                      new_document.m_entry_hosts);
  changes.CompareList("service", old_document.m_services,
                      new_document.m_services);
  changes.CompareTenants(old_document.m_tenants, new_document.m_tenants);
  changes.CompareList("block", old_document.m_blocks, new_document.m_blocks);
  return changes.TakeLines();
}

}  // namespace jujube::config
