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

std::string FieldChanges(const boost::json::object& from,
                         const boost::json::object& to) {
  std::string text;
  for (const auto& member : to) {
    const auto* old = from.if_contains(member.key());
    if (old != nullptr && *old == member.value())
      continue;
    text += text.empty() ? " " : ", ";
    text += std::string(member.key()) + " " +
            (old == nullptr ? "nothing" : boost::json::serialize(*old)) +
            " -> " + boost::json::serialize(member.value());
  }
  return text;
}

class Lines {
 public:
  explicit Lines(std::size_t max_lines) : m_max_lines(max_lines) {}

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
        FieldChanges(ToJson(from).as_object(), ToJson(to).as_object()));
  }

  template <class Object>
  void CompareList(std::string_view kind,
                   const std::vector<Object>& from,
                   const std::vector<Object>& to) {
    std::map<std::string, const Object*> old;
    for (const Object& object : from)
      old.emplace(NameOf(object), &object);
    for (const Object& object : to) {
      const std::string name = NameOf(object);
      const std::string label = std::string(kind) + " \"" + name + "\"";
      const auto found = old.find(name);
      if (found == old.end()) {
        Add(label + " added");
        continue;
      }
      CompareObject(label, *found->second, object);
      old.erase(found);
    }
    for (const auto& [name, object] : old)
      Add(std::string(kind) + " \"" + name + "\" removed");
  }

  std::vector<std::string> Take() {
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
  std::map<AvailabilityZoneId, RegionId> zones;
  for (const AvailabilityZone& zone : deployment.m_availability_zones)
    zones.emplace(zone.m_name, zone.m_region);
  std::map<SiteId, RegionId> sites;
  for (const Site& site : deployment.m_sites)
    sites.emplace(site.m_name, zones[site.m_availability_zone]);
  return sites;
}

RegionId RegionOf(const std::map<SiteId, RegionId>& sites, const SiteId& site) {
  const auto found = sites.find(site);
  return found == sites.end() ? RegionId() : found->second;
}

}  // namespace

BlockChanges CompareBlocks(const std::vector<CallerBlock>& from,
                           const std::vector<CallerBlock>& to) {
  BlockChanges changes;
  auto old = from.begin();
  for (const CallerBlock& block : to) {
    while (old != from.end() && old->m_prefix < block.m_prefix)
      changes.m_removed.push_back((old++)->m_prefix);
    if (old != from.end() && old->m_prefix == block.m_prefix) {
      if (*old != block)
        changes.m_upserted.push_back(block);
      ++old;
    } else {
      changes.m_upserted.push_back(block);
    }
  }
  for (; old != from.end(); ++old)
    changes.m_removed.push_back(old->m_prefix);
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
  const std::map<SiteId, RegionId> before = RegionsOfSites(from);
  const std::map<SiteId, RegionId> after = RegionsOfSites(to);
  std::map<std::string_view, RegionId> homes;
  for (const CallerBlock& block : to.m_blocks)
    homes.emplace(block.m_prefix, RegionOf(after, block.m_site));
  struct Count {
    std::uint64_t m_all = 0;
    std::uint64_t m_moved = 0;
  };
  std::map<RegionId, Count> counts;
  for (const CallerBlock& block : from.m_blocks) {
    const RegionId region = RegionOf(before, block.m_site);
    Count& count = counts[region];
    ++count.m_all;
    const auto home = homes.find(block.m_prefix);
    if (home != homes.end() && home->second != region)
      ++count.m_moved;
  }
  std::uint64_t largest = 0;
  for (const auto& [region, count] : counts) {
    largest = std::max(largest,
                       (count.m_moved * 1000 + count.m_all - 1) / count.m_all);
  }
  return static_cast<std::uint32_t>(largest);
}

// Clears a copy instead of copying fields, so that a field that is added to the
// document is never left out.
Deployment WithoutBlocks(Deployment deployment) {
  std::vector<CallerBlock>().swap(deployment.m_blocks);
  return deployment;
}

std::vector<std::string> DescribeChanges(const Deployment& from,
                                         const Deployment& to,
                                         std::size_t max_lines) {
  const Deployment old = Canonical(from);
  const Deployment now = Canonical(to);
  Lines lines(max_lines);
  if (old.m_number != now.m_number) {
    lines.Add("number changed: " + std::to_string(old.m_number) + " -> " +
              std::to_string(now.m_number));
  }
  if (old.m_name != now.m_name) {
    lines.Add("name changed: \"" + old.m_name + "\" -> \"" + now.m_name + "\"");
  }
  lines.CompareObject("weights", old.m_weights, now.m_weights);
  lines.CompareObject("shift", old.m_shift, now.m_shift);
  lines.CompareObject("claims", old.m_claims, now.m_claims);
  lines.CompareList("region", old.m_regions, now.m_regions);
  lines.CompareList("availability zone", old.m_availability_zones,
                    now.m_availability_zones);
  lines.CompareList("link", old.m_links, now.m_links);
  lines.CompareList("site", old.m_sites, now.m_sites);
  lines.CompareList("entry host", old.m_entry_hosts, now.m_entry_hosts);
  lines.CompareList("service", old.m_services, now.m_services);
  lines.CompareList("block", old.m_blocks, now.m_blocks);
  return lines.Take();
}

}  // namespace jujube::config
