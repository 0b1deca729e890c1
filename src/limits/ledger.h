// Ledger of allotments: how many units of each cap each host may be using.
//
// The ledger is part of the replicated control state. Only committed commands
// change it, so all replicas hold the same ledger. Its invariant: for each cap,
// the units that all hosts together may be using never exceed the cap. The only
// exception is a lowered cap: units granted under the higher cap remain until
// they expire, and nothing is granted until then (see PendingCaps()).
//
// Units that a host may be using
//   Each renewal of a host appends an offer: a safe part, which does not
//   expire, and a leased part. The reply may be lost or late, so a new offer is
//   not known to have replaced the earlier ones. The host may be using any
//   recorded offer (adopting the reply makes the offer its grant); the ledger
//   reserves the largest (safe + leased), or the units that the host reported
//   as in use if that is more. An offer is reduced or removed when
//     - the host confirms a later one (HostRenewal.adopted is the sequence of
//       the last reply that it adopted, which never decreases), or
//     - ExpireLeases() reports that its lease has expired: the leased part
//     becomes 0,
//       the safe part stays until a later offer is confirmed.
//   A safe share therefore passes to another host only after the previous
//   holder has confirmed an offer without it, or has restarted under a higher
//   incarnation (a host runs one process at a time), or RemoveHost() was
//   called.
//
// Lease expiry
//   The ledger does not measure time. The leader proposes "leases granted up to
//   log index i have expired" from its LeaseClock (limits/lease_clock.h). The
//   holder measures from the time at which it sent the request, which is
//   earlier.
//
// Caps
//   SetDocumentCaps() sets the caps of links, regions and shifts. The caps of
//   instance slots and connections arrive with the offers, which carry the
//   smallest cap that entry hosts announced (limits/planner.h).
//
// Usage
//   ledger.SetDocumentCaps(DocumentCaps(topology));       // document accepted
//   ledger.ExpireLeases(command.m_expired_index);               // each renew
//   command std::vector<Allotment> granted = ledger.Renew(renewal, log_index);
//   ledger.RemoveHost(host);                              // operator
//
// Limitation: units that an isolated host acquired under a lease and still
// holds after its expiry are no longer counted; the request that holds them
// ends at its deadline.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gen/control.h"

namespace jujube::limits {

// The size of a cap: kbit/s of a link, requests in progress of a region or an
// instance (slots), connections, permille per minute of a shift.
struct Cap {
  LimitId m_limit;
  std::uint64_t m_size = 0;

  friend auto operator<=>(const Cap&, const Cap&) = default;
};

// Whether upstreams announce the size of the cap; the document sets all others.
constexpr bool HasAnnouncedCap(LimitKind kind) {
  return kind == LimitKind::kInstanceSlots ||
         kind == LimitKind::kInstanceConnections;
}

class Ledger {
 public:
  Ledger() = default;

  // Restores a ledger from Lines().
  explicit Ledger(const std::vector<LedgerLine>& lines);

  // Sets the caps of links, regions and shifts. Those not given become 0.
  void SetDocumentCaps(const std::vector<Cap>& caps);

  // Expires the leases granted by commands up to this log index.
  void ExpireLeases(std::uint64_t log_index);

  // Applies the confirmation in the renewal, reduces its lines to the available
  // units, and records them as granted at the log index. Returns the allotments
  // in the order of the renewal's lines; a repeated limit counts once. A reply
  // replaces all earlier grants of the host, so a cap that the renewal does not
  // name counts as an offer of zero units.
  // Precondition: the sequences of a host's incarnation increase from call to
  // call (the state machine ignores others), so that an older report of units
  // in use never replaces a newer one.
  std::vector<Allotment> Renew(const HostRenewal& renewal,
                               std::uint64_t log_index);

  // Releases the safe shares of a host that will not return. Its leases are
  // released when they expire.
  void RemoveHost(const HostId& host);

  // Size of a cap; 0 if it is unknown.
  std::uint64_t CapOf(const LimitId& limit) const;

  // Units that all hosts together, or one host, may be using.
  std::uint64_t ReservedUnits(const LimitId& limit) const;
  std::uint64_t ReservedUnits(const LimitId& limit, const HostId& host) const;

  // Caps that were lowered below the units that may still be in use.
  std::vector<Cap> PendingCaps() const;

  // All lines, sorted by limit, as stored in a snapshot.
  std::vector<LedgerLine> Lines() const;

  // The line of a cap, or nullptr. Valid until the ledger changes.
  const LedgerLine* Find(const LimitId& limit) const;

  friend bool operator==(const Ledger&, const Ledger&) = default;

 private:
  void ApplyConfirmations(const HostRenewal& renewal);
  void RecordOffer(const HostRenewal& renewal,
                   const OfferedLine& offered,
                   std::uint64_t log_index,
                   std::vector<Allotment>& allotments);
  void RemoveUnusedEntries();

  std::map<LimitId, LedgerLine> m_lines;
};

}  // namespace jujube::limits
