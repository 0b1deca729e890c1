#include "limits/ledger.h"

#include <algorithm>
#include <set>

namespace jujube::limits {

namespace {

// A host that renews each second has about 7 offers on record. One that does
// not confirm any gets nothing more, so that a line stays bounded.
constexpr std::size_t kMaxOffers = 64;

// Whether a request holds a part of the cap while it runs, as opposed to rates.
bool HoldsUnits(LimitKind kind) {
  return kind != LimitKind::kLink && kind != LimitKind::kShift;
}

std::uint64_t ReservedBy(const LedgerHolder& holder) {
  std::uint64_t reserved = holder.m_in_use;
  for (const LedgerOffer& offer : holder.m_offers)
    reserved = std::max(reserved, offer.m_safe + offer.m_leased);
  return reserved;
}

std::uint64_t ReservedOf(const LedgerLine& line) {
  std::uint64_t sum = 0;
  for (const LedgerHolder& holder : line.m_holders)
    sum += ReservedBy(holder);
  return sum;
}

auto HolderPosition(std::vector<LedgerHolder>& holders, const HostId& host) {
  return std::ranges::lower_bound(holders, host, {}, &LedgerHolder::m_host);
}

const LedgerHolder* FindHolder(const LedgerLine& line, const HostId& host) {
  const auto at =
      std::ranges::lower_bound(line.m_holders, host, {}, &LedgerHolder::m_host);
  return at != line.m_holders.end() && at->m_host == host ? &*at : nullptr;
}

LedgerHolder& HolderOf(LedgerLine& line, const HostId& host) {
  const auto at = HolderPosition(line.m_holders, host);
  if (at != line.m_holders.end() && at->m_host == host)
    return *at;
  return *line.m_holders.insert(at, LedgerHolder{.m_host = host});
}

// Drops expired offers that say nothing new: those that reserve nothing, and
// those whose safe part is not above that of a later one, which is confirmed
// later.
void DropDominated(LedgerHolder& holder) {
  std::vector<LedgerOffer> kept;
  for (const LedgerOffer& offer : holder.m_offers) {
    const auto dominated = [&](const LedgerOffer& earlier) {
      return earlier.m_leased == 0 &&
             earlier.m_incarnation == offer.m_incarnation &&
             earlier.m_safe <= offer.m_safe;
    };
    if (offer.m_safe == 0 && offer.m_leased == 0)
      continue;
    while (!kept.empty() && dominated(kept.back()))
      kept.pop_back();
    kept.push_back(offer);
  }
  holder.m_offers = std::move(kept);
}

}  // namespace

Ledger::Ledger(const std::vector<LedgerLine>& lines) {
  for (const LedgerLine& line : lines)
    m_lines.emplace(line.m_limit, line);
}

void Ledger::SetDocumentCaps(const std::vector<Cap>& caps) {
  for (auto& [limit, line] : m_lines) {
    if (!IsAnnounced(limit.m_kind))
      line.m_cap = 0;
  }
  for (const Cap& cap : caps) {
    LedgerLine& line = m_lines[cap.m_limit];
    line.m_limit = cap.m_limit;
    line.m_cap = cap.m_size;
  }
  RemoveEmpty();
}

void Ledger::Expire(std::uint64_t index) {
  for (auto& [limit, line] : m_lines) {
    for (LedgerHolder& holder : line.m_holders) {
      if (holder.m_in_use_index <= index)
        holder.m_in_use = 0;
      for (LedgerOffer& offer : holder.m_offers) {
        if (offer.m_index <= index)
          offer.m_leased = 0;
      }
      DropDominated(holder);
    }
  }
  RemoveEmpty();
}

std::vector<Allotment> Ledger::Renew(const HostRenewal& renewal,
                                     std::uint64_t index) {
  Settle(renewal);
  std::vector<Allotment> granted;
  granted.reserve(renewal.m_lines.size());
  std::set<LimitId> seen;
  for (const OfferedLine& offered : renewal.m_lines) {
    if (seen.insert(offered.m_limit).second)
      Offer(renewal, offered, index, granted);
  }
  RemoveEmpty();
  return granted;
}

void Ledger::Settle(const HostRenewal& renewal) {
  for (auto& [limit, line] : m_lines) {
    const auto at = HolderPosition(line.m_holders, renewal.m_host);
    if (at == line.m_holders.end() || at->m_host != renewal.m_host)
      continue;
    std::erase_if(at->m_offers, [&](const LedgerOffer& offer) {
      return offer.m_incarnation == renewal.m_incarnation &&
             offer.m_sequence < renewal.m_adopted;
    });
    for (LedgerOffer& offer : at->m_offers) {
      // The earlier process is gone, and with it the use of its safe share.
      if (offer.m_incarnation < renewal.m_incarnation)
        offer.m_safe = 0;
    }
    DropDominated(*at);
  }
}

void Ledger::Offer(const HostRenewal& renewal,
                   const OfferedLine& offered,
                   std::uint64_t index,
                   std::vector<Allotment>& granted) {
  const bool announced = IsAnnounced(offered.m_limit.m_kind);
  if (!announced && !m_lines.contains(offered.m_limit)) {
    granted.push_back({.m_limit = offered.m_limit});
    return;
  }
  LedgerLine& line = m_lines[offered.m_limit];
  line.m_limit = offered.m_limit;
  if (announced)
    line.m_cap = offered.m_cap;
  LedgerHolder& holder = HolderOf(line, renewal.m_host);
  const std::uint64_t others = ReservedOf(line) - ReservedBy(holder);
  // What others may be using is not offered again.
  const std::uint64_t room = line.m_cap - std::min(line.m_cap, others);
  const bool full = holder.m_offers.size() >= kMaxOffers;
  const std::uint64_t safe = full ? 0 : std::min(offered.m_safe, room);
  const std::uint64_t leased =
      full ? 0 : std::min(offered.m_leased, room - safe);
  if (HoldsUnits(offered.m_limit.m_kind)) {
    // A false report must not block the cap for more than its size.
    holder.m_in_use = std::min(offered.m_in_use, line.m_cap);
    holder.m_in_use_index = index;
  }
  // An offer of nothing reserves nothing and needs no record.
  if (safe + leased > 0) {
    holder.m_offers.push_back({.m_incarnation = renewal.m_incarnation,
                               .m_sequence = renewal.m_sequence,
                               .m_index = index,
                               .m_safe = safe,
                               .m_leased = leased});
  }
  granted.push_back(
      {.m_limit = offered.m_limit, .m_safe = safe, .m_leased = leased});
}

void Ledger::RemoveHost(const HostId& host) {
  for (auto& [limit, line] : m_lines) {
    const auto at = HolderPosition(line.m_holders, host);
    if (at == line.m_holders.end() || at->m_host != host)
      continue;
    for (LedgerOffer& offer : at->m_offers)
      offer.m_safe = 0;
    DropDominated(*at);
  }
  RemoveEmpty();
}

void Ledger::RemoveEmpty() {
  for (auto& [limit, line] : m_lines) {
    std::erase_if(line.m_holders, [](const LedgerHolder& holder) {
      return holder.m_offers.empty() && holder.m_in_use == 0;
    });
  }
  std::erase_if(m_lines, [](const auto& entry) {
    const LedgerLine& line = entry.second;
    return line.m_holders.empty() &&
           (IsAnnounced(line.m_limit.m_kind) || line.m_cap == 0);
  });
}

std::uint64_t Ledger::CapOf(const LimitId& limit) const {
  const LedgerLine* line = Find(limit);
  return line == nullptr ? 0 : line->m_cap;
}

std::uint64_t Ledger::Reserved(const LimitId& limit) const {
  const LedgerLine* line = Find(limit);
  return line == nullptr ? 0 : ReservedOf(*line);
}

std::uint64_t Ledger::Reserved(const LimitId& limit, const HostId& host) const {
  const LedgerLine* line = Find(limit);
  const LedgerHolder* holder =
      line == nullptr ? nullptr : FindHolder(*line, host);
  return holder == nullptr ? 0 : ReservedBy(*holder);
}

std::vector<Cap> Ledger::Pending() const {
  std::vector<Cap> pending;
  for (const auto& [limit, line] : m_lines) {
    if (ReservedOf(line) > line.m_cap)
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
  const auto at = m_lines.find(limit);
  return at == m_lines.end() ? nullptr : &at->second;
}

}  // namespace jujube::limits
