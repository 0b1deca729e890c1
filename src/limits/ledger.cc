#include "limits/ledger.h"

#include <algorithm>
#include <set>

namespace jujube::limits {

namespace {

// Bounds the size of a line. A host that renews each second has about 7
// recorded offers; a host that confirms none is granted nothing once it reaches
// the bound.
constexpr std::size_t kMaxOffersPerHolder = 64;

// Whether the limit counts units that are held and released, unlike a rate.
bool IsConcurrencyLimit(LimitKind kind) {
  return kind != LimitKind::kLink && kind != LimitKind::kShift;
}

std::uint64_t HolderReservedUnits(const LedgerHolder& holder) {
  std::uint64_t reserved = holder.m_in_use;
  for (const LedgerOffer& offer : holder.m_offers)
    reserved = std::max(reserved, offer.m_safe + offer.m_leased);
  return reserved;
}

std::uint64_t LineReservedUnits(const LedgerLine& line) {
  std::uint64_t total = 0;
  for (const LedgerHolder& holder : line.m_holders)
    total += HolderReservedUnits(holder);
  return total;
}

auto LowerBoundHolder(std::vector<LedgerHolder>& holders, const HostId& host) {
  return std::ranges::lower_bound(holders, host, {}, &LedgerHolder::m_host);
}

const LedgerHolder* FindHolder(const LedgerLine& line, const HostId& host) {
  const auto it =
      std::ranges::lower_bound(line.m_holders, host, {}, &LedgerHolder::m_host);
  return it != line.m_holders.end() && it->m_host == host ? &*it : nullptr;
}

LedgerHolder& FindOrInsertHolder(LedgerLine& line, const HostId& host) {
  const auto it = LowerBoundHolder(line.m_holders, host);
  if (it != line.m_holders.end() && it->m_host == host)
    return *it;
  return *line.m_holders.insert(it, LedgerHolder{.m_host = host});
}

// Removes offers that do not affect the reserved units: empty ones, and those
// without a leased part whose safe part is no larger than that of a later offer
// to the same incarnation, since the later one stays on record longer.
void RemoveRedundantOffers(LedgerHolder& holder) {
  std::vector<LedgerOffer> remaining;
  for (const LedgerOffer& offer : holder.m_offers) {
    const auto is_redundant = [&](const LedgerOffer& earlier) {
      return earlier.m_leased == 0 &&
             earlier.m_incarnation == offer.m_incarnation &&
             earlier.m_safe <= offer.m_safe;
    };
    if (offer.m_safe == 0 && offer.m_leased == 0)
      continue;
    while (!remaining.empty() && is_redundant(remaining.back()))
      remaining.pop_back();
    remaining.push_back(offer);
  }
  holder.m_offers = std::move(remaining);
}

}  // namespace

Ledger::Ledger(const std::vector<LedgerLine>& lines) {
  for (const LedgerLine& line : lines)
    m_lines.emplace(line.m_limit, line);
}

void Ledger::SetDocumentCaps(const std::vector<Cap>& caps) {
  for (auto& [limit, line] : m_lines) {
    if (!HasAnnouncedCap(limit.m_kind))
      line.m_cap = 0;
  }
  for (const Cap& cap : caps) {
    LedgerLine& line = m_lines[cap.m_limit];
    line.m_limit = cap.m_limit;
    line.m_cap = cap.m_size;
  }
  RemoveUnusedEntries();
}

void Ledger::ExpireLeases(std::uint64_t log_index) {
  for (auto& [limit, line] : m_lines) {
    for (LedgerHolder& holder : line.m_holders) {
      if (holder.m_in_use_index <= log_index)
        holder.m_in_use = 0;
      for (LedgerOffer& offer : holder.m_offers) {
        if (offer.m_index <= log_index)
          offer.m_leased = 0;
      }
      RemoveRedundantOffers(holder);
    }
  }
  RemoveUnusedEntries();
}

std::vector<Allotment> Ledger::Renew(const HostRenewal& renewal,
                                     std::uint64_t log_index) {
  ApplyConfirmations(renewal);
  std::vector<Allotment> allotments;
  allotments.reserve(renewal.m_lines.size());
  std::set<LimitId> seen_limits;
  for (const OfferedLine& offered : renewal.m_lines) {
    if (seen_limits.insert(offered.m_limit).second)
      RecordOffer(renewal, offered, log_index, allotments);
  }
  RemoveUnusedEntries();
  return allotments;
}

void Ledger::ApplyConfirmations(const HostRenewal& renewal) {
  for (auto& [limit, line] : m_lines) {
    const auto it = LowerBoundHolder(line.m_holders, renewal.m_host);
    if (it == line.m_holders.end() || it->m_host != renewal.m_host)
      continue;
    std::erase_if(it->m_offers, [&](const LedgerOffer& offer) {
      return offer.m_incarnation == renewal.m_incarnation &&
             offer.m_sequence < renewal.m_adopted;
    });
    for (LedgerOffer& offer : it->m_offers) {
      // The earlier process has ended and no longer uses its safe share.
      if (offer.m_incarnation < renewal.m_incarnation)
        offer.m_safe = 0;
    }
    RemoveRedundantOffers(*it);
  }
}

void Ledger::RecordOffer(const HostRenewal& renewal,
                         const OfferedLine& offered,
                         std::uint64_t log_index,
                         std::vector<Allotment>& allotments) {
  const bool has_announced_cap = HasAnnouncedCap(offered.m_limit.m_kind);
  if (!has_announced_cap && !m_lines.contains(offered.m_limit)) {
    allotments.push_back({.m_limit = offered.m_limit});
    return;
  }
  LedgerLine& line = m_lines[offered.m_limit];
  line.m_limit = offered.m_limit;
  if (has_announced_cap)
    line.m_cap = offered.m_cap;
  LedgerHolder& holder = FindOrInsertHolder(line, renewal.m_host);
  const std::uint64_t reserved_by_others =
      LineReservedUnits(line) - HolderReservedUnits(holder);
  // Units that other hosts may be using must not be granted again.
  const std::uint64_t available =
      line.m_cap - std::min(line.m_cap, reserved_by_others);
  const bool is_offer_list_full = holder.m_offers.size() >= kMaxOffersPerHolder;
  const std::uint64_t safe =
      is_offer_list_full ? 0 : std::min(offered.m_safe, available);
  const std::uint64_t leased =
      is_offer_list_full ? 0 : std::min(offered.m_leased, available - safe);
  if (IsConcurrencyLimit(offered.m_limit.m_kind)) {
    // A wrong report must not reserve more than the whole cap.
    holder.m_in_use = std::min(offered.m_in_use, line.m_cap);
    holder.m_in_use_index = log_index;
  }
  // An empty offer reserves nothing, so it is not recorded.
  if (safe + leased > 0) {
    holder.m_offers.push_back({.m_incarnation = renewal.m_incarnation,
                               .m_sequence = renewal.m_sequence,
                               .m_index = log_index,
                               .m_safe = safe,
                               .m_leased = leased});
  }
  allotments.push_back(
      {.m_limit = offered.m_limit, .m_safe = safe, .m_leased = leased});
}

void Ledger::RemoveHost(const HostId& host) {
  for (auto& [limit, line] : m_lines) {
    const auto it = LowerBoundHolder(line.m_holders, host);
    if (it == line.m_holders.end() || it->m_host != host)
      continue;
    for (LedgerOffer& offer : it->m_offers)
      offer.m_safe = 0;
    RemoveRedundantOffers(*it);
  }
  RemoveUnusedEntries();
}

void Ledger::RemoveUnusedEntries() {
  for (auto& [limit, line] : m_lines) {
    std::erase_if(line.m_holders, [](const LedgerHolder& holder) {
      return holder.m_offers.empty() && holder.m_in_use == 0;
    });
  }
  std::erase_if(m_lines, [](const auto& entry) {
    const LedgerLine& line = entry.second;
    return line.m_holders.empty() &&
           (HasAnnouncedCap(line.m_limit.m_kind) || line.m_cap == 0);
  });
}

std::uint64_t Ledger::CapOf(const LimitId& limit) const {
  const LedgerLine* line = Find(limit);
  return line == nullptr ? 0 : line->m_cap;
}

std::uint64_t Ledger::ReservedUnits(const LimitId& limit) const {
  const LedgerLine* line = Find(limit);
  return line == nullptr ? 0 : LineReservedUnits(*line);
}

std::uint64_t Ledger::ReservedUnits(const LimitId& limit,
                                    const HostId& host) const {
  const LedgerLine* line = Find(limit);
  const LedgerHolder* holder =
      line == nullptr ? nullptr : FindHolder(*line, host);
  return holder == nullptr ? 0 : HolderReservedUnits(*holder);
}

std::vector<Cap> Ledger::PendingCaps() const {
  std::vector<Cap> pending;
  for (const auto& [limit, line] : m_lines) {
    if (LineReservedUnits(line) > line.m_cap)
      pending.push_back({.m_limit = limit, .m_size = line.m_cap});
  }
  return pending;
}

std::vector<LedgerLine> Ledger::Lines() const {
  std::vector<LedgerLine> lines;
  lines.reserve(m_lines.size());
  for (const auto& [limit, line] : m_lines)
    lines.push_back(line);
  return lines;
}

const LedgerLine* Ledger::Find(const LimitId& limit) const {
  const auto it = m_lines.find(limit);
  return it == m_lines.end() ? nullptr : &it->second;
}

}  // namespace jujube::limits
