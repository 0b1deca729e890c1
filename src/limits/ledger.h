// Ledger of allotments: who may be using how much of which cap.
//
// The ledger is part of the replicated control state. It changes only through
// committed commands, so all replicas hold the same one. It upholds one
// invariant: for each cap, the sum over the hosts of what each host may be
// using is at most the cap, at every instant. A lowered cap is the only
// exception: what was granted under the higher cap runs out first, nothing is
// granted meanwhile (see Pending()).
//
// What a host may be using
//   Each renewal of a host appends an offer: a safe part and a leased part. The
//   reply may be lost or late, so an offer is not known to replace the earlier
//   ones. The host may be using any offer that is on record; the ledger counts
//   the greatest one (safe + leased), or the units that the host reported to be
//   in use if that is more. An offer leaves the record when
//     - the host confirms a later one (HostRenewal.adopted is the sequence of
//       the last reply that it put in force; it never goes back), or
//     - Expire() tells that its lease has run out: the leased part becomes 0,
//       the safe part stays until a later offer is confirmed.
//   A safe share therefore passes to another host only after the old holder
//   confirmed an offer without it, or restarted under a higher incarnation (one
//   process of a host runs at a time), or RemoveHost() was called.
//
// Who measures the lease
//   Not the ledger. The leader proposes "leases granted up to log index i have
//   expired" from its LeaseClock (limits/lease_clock.h). The holder measures
//   from when it sent the request, which is earlier.
//
// Caps
//   Links, regions and shifts come from the document with SetDocumentCaps().
//   Instance slots and connections come with the offers, which carry the
//   smallest cap that entry hosts announced (limits/planner.h).
//
// Use
//   ledger.SetDocumentCaps(DocumentCaps(topology));       // document accepted
//   ledger.Expire(command.m_expired_index);               // each renew command
//   std::vector<Allotment> granted = ledger.Renew(renewal, log_index);
//   ledger.RemoveHost(host);                              // operator
//
// Limitation: units that an isolated host acquired under a lease and still
// holds after its expiry are not counted any more; the request that holds them
// ends by its deadline.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gen/control.h"

namespace jujube::limits {

// A cap and its size.
struct Cap {
  LimitId m_limit;
  std::uint64_t m_size = 0;

  friend auto operator<=>(const Cap&, const Cap&) = default;
};

// Whether the size of the cap is announced by upstreams instead of standing in
// the document.
constexpr bool IsAnnounced(LimitKind kind) {
  return kind == LimitKind::kInstanceSlots ||
         kind == LimitKind::kInstanceConnections;
}

class Ledger {
 public:
  Ledger() = default;

  // Restores a ledger from Lines().
  explicit Ledger(const std::vector<LedgerLine>& lines);

  // Sets the caps of links, regions and shifts. Missing ones become 0.
  void SetDocumentCaps(const std::vector<Cap>& caps);

  // The leases granted by commands up to this log index have expired.
  void Expire(std::uint64_t index);

  // Settles what the renewal confirms, reduces its lines to what is free, and
  // records them as granted at the log index. Returns what was granted, a line
  // for each line of the renewal in its order. A reply replaces all that a host
  // holds, so a cap that the renewal does not name is offered as zero.
  // Precondition: the sequences of a host's incarnation rise from call to call
  // (the state machine ignores others), since a report of units in use must not
  // be replaced by an older one.
  std::vector<Allotment> Renew(const HostRenewal& renewal, std::uint64_t index);

  // The host is gone for good: its safe shares are free at once, its leases
  // when they expire.
  void RemoveHost(const HostId& host);

  // Size of a cap; 0 if it is unknown.
  std::uint64_t CapOf(const LimitId& limit) const;

  // Units that all hosts, or one host, may be using.
  std::uint64_t Reserved(const LimitId& limit) const;
  std::uint64_t Reserved(const LimitId& limit, const HostId& host) const;

  // Caps that were lowered below what may still be in use.
  std::vector<Cap> Pending() const;

  // All lines, sorted; also the form in a snapshot.
  std::vector<LedgerLine> Lines() const;

  // The line of a cap, or nullptr. Valid until the next change.
  const LedgerLine* Find(const LimitId& limit) const;

  friend bool operator==(const Ledger&, const Ledger&) = default;

 private:
  void Settle(const HostRenewal& renewal);
  void Offer(const HostRenewal& renewal,
             const OfferedLine& offered,
             std::uint64_t index,
             std::vector<Allotment>& granted);
  void RemoveEmpty();

  std::map<LimitId, LedgerLine> m_lines;
};

}  // namespace jujube::limits
