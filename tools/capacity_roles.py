#!/usr/bin/env python3
"""Computes the cost of each role from measured slopes, for docs/CAPACITY.md.

Usage: tools/capacity_roles.py build/capacity.json   (written by tools/measure_capacity.sh)
"""

import json
import sys

# Scale planned within two years and the limits per host (docs/design.md, section 3).
# LOOKUPS are per second; CHANGES of the document and RESTARTS of hosts are per day.
HOSTS, BLOCKS, LOOKUPS, REGIONS, ZONES = 1400, 280_000, 1_500_000, 14, 51
SITES, CHANGES, RESTARTS, SECONDS_PER_DAY = 390, 940, 340, 86_400
CORE_LIMIT, MEMORY_LIMIT_BYTES, BYTES_PER_S_LIMIT = 0.024, 32e6, 10e3
# An assumption: the design page states no number of instances.
INSTANCES = SITES * 12
# Constants of the code that determine the cost.
PEERS = 16                       # kMaxEntryPeers in src/net/peer_exchange.cc
ANNOUNCEMENTS_PER_S = 2          # of each instance
TICKS_PER_S = 20                 # kTickInterval, 50 ms, in src/entry/entry_control.cc
RENEWALS_PER_S = 1               # kRenewInterval, 1 s, in src/entry/entry_control.cc
DOCUMENT_LIMITS = REGIONS * (REGIONS - 1) + REGIONS
CHILDREN = HOSTS / (2 * ZONES)   # feed subscribers of a relay; two relays in each zone


class Slopes:
    def __init__(self, path):
        with open(path, encoding="utf-8") as file:
            self.series = {(s["group"], s["measure"], s["per"]): s for s in json.load(file)}

    def at(self, group, measure, per, size):
        """Returns the measured value at a size, or the fitted value if it was not measured."""
        series = self.series[(group, measure, per)]
        for point_size, value in series["points"]:
            if point_size == size:
                return value
        return series["intercept"] + series["slope"] * size

    def slope(self, group, measure, per):
        return self.series[(group, measure, per)]["slope"]


def row(name, bytes_per_s=None, core=None, memory=None):
    def cell(value, scale, limit, unit):
        if value is None:
            return "-"
        excess = f" ({value / limit:.1f} x limit)" if value > limit else ""
        return f"{value / scale:.3g} {unit}{excess}"
    print(f"| {name} | {cell(bytes_per_s, 1e3, BYTES_PER_S_LIMIT, 'KB/s')} | "
          f"{cell(core, 0.01, CORE_LIMIT, '%')} | {cell(memory, 1e6, MEMORY_LIMIT_BYTES, 'MB')} |")


def table(title):
    print(f"\n{title}\n\n| line | control bytes | of a core | memory |\n| --- | --- | --- | --- |")


def entry_host(s):
    change = s.at("feed", "change", "blocks", BLOCKS)
    apply = s.at("feed", "change: decode and apply", "blocks", BLOCKS)
    build = s.at("lookup", "build", "blocks", BLOCKS)
    state = s.at("feed", "state in memory", "blocks", BLOCKS)
    tables = s.at("lookup", "table", "blocks", BLOCKS)
    snapshot = s.at("feed", "snapshot", "blocks", BLOCKS)
    table("Entry host, as the code is")
    row("look-ups, decision alone (not a control cost)",
        core=LOOKUPS / HOSTS * s.at("lookup", "look-up", "blocks", BLOCKS) / 1e6)
    row("feed: changes and table builds", CHANGES * change / SECONDS_PER_DAY,
        CHANGES * (apply + build) / 1e6 / SECONDS_PER_DAY)
    row("feed: snapshots after restarts", RESTARTS / HOSTS * snapshot / SECONDS_PER_DAY)
    row("configuration, two copies while a change is applied", memory=2 * state)
    row("look-up table, two copies while it is built", memory=2 * tables)
    for name, instances in (("all instances", INSTANCES), ("those of a region", INSTANCES / REGIONS)):
        limits = instances + DOCUMENT_LIMITS
        size = (s.slope("allotments", "request", "limits")
                + s.slope("allotments", "reply", "limits")) * limits
        row(f"allotments: renewal, {name}", RENEWALS_PER_S * size,
            RENEWALS_PER_S
            * s.at("allotments", "request: encode and decode", "limits", limits) / 1e6)
        rate = ANNOUNCEMENTS_PER_S * instances
        per = {m: s.slope("registry", m, "instances") for m in (
            "merge of one round", "delta of one round", "delta: make and encode", "delta: decode")}
        row(f"registry: deltas with {PEERS} peers, {name}", PEERS * rate * per["delta of one round"],
            PEERS * rate * (per["merge of one round"] + per["delta: make and encode"]
                            + per["delta: decode"]) / 1e6,
            s.at("registry", "state in memory", "instances", instances))
        row(f"registry: view built each tick, {name}", core=TICKS_PER_S
            * s.slope("registry", "view: build", "instances") * instances / 1e6)
    row("limits tracked each tick: topology",
        core=TICKS_PER_S * s.at("allotments", "topology: make", "hosts", HOSTS) / 1e6)
    print(f"\nLongest chain of a change: 3 relays and the table: "
          f"{(4 * apply + build) / 1e6:.2f} s of processor time; limit 18 s.")
    print(f"Limits that fit into 10 KB/s with one renewal a second: "
          f"{BYTES_PER_S_LIMIT / (size / limits):.0f}.")


def relay(s):
    change = s.at("feed", "change", "blocks", BLOCKS)
    snapshot = s.at("feed", "snapshot", "blocks", BLOCKS)
    table("Relay, on top of an entry host")
    row(f"feed: changes to {CHILDREN:.1f} children", CHILDREN * CHANGES * change / SECONDS_PER_DAY,
        CHANGES * s.slope("feed", "fan-out of a change, sockets aside", "subscribers")
        * CHILDREN / 1e6 / SECONDS_PER_DAY)
    row("feed: snapshots to restarted children",
        CHILDREN * RESTARTS / HOSTS * snapshot / SECONDS_PER_DAY,
        CHILDREN * RESTARTS / HOSTS
        * s.at("feed", "snapshot: encode", "blocks", BLOCKS) / 1e6 / SECONDS_PER_DAY, snapshot)
    row("feed: tail of changes (bound 4 MiB)", memory=min(4 << 20, 1024 * change))
    print(f"\nChildren that fit into 10 KB/s besides the relay's own feed: "
          f"{BYTES_PER_S_LIMIT / (CHANGES * change / SECONDS_PER_DAY) - 1:.1f}. "
          f"A zone that returns at once fetches {HOSTS / ZONES * snapshot / 1e6:.0f} MB.")


def voter(s):
    change = s.at("feed", "change", "blocks", BLOCKS)
    def at(measure, hosts):
        return s.at("allotments", measure, "hosts, 48 limits", hosts)

    table("Control voter (leader); runs on dedicated hosts, the limits of a node are for comparison")
    row("documents: log entries", CHANGES * change / SECONDS_PER_DAY,
        CHANGES * s.at("feed", "change: make and encode", "blocks", BLOCKS) / 1e6 / SECONDS_PER_DAY,
        s.at("feed", "state in memory", "blocks", BLOCKS))
    for hosts in (HOSTS, 2 * REGIONS):
        row(f"allotments, 48 limits of instances: {hosts} holders renew each second",
            at("log entry of one round", hosts),
            (at("plan of one round", hosts) + at("ledger: apply one round", hosts)) / 1e6,
            at("ledger and one plan in memory", hosts))
    claims = 200_000
    answers = 1024 * claims
    row("claims: 200,000 held, answers of 1 KiB up to 64 MiB",
        memory=s.slope("claims", "state in memory", "claims held") * claims
        - max(0, answers - (64 << 20)))
    per_claim = s.at("claims", "claim and finish: apply", "claims held", 64_000)
    print(f"\nClaim and finish: {per_claim:.1f} us to apply, sync aside. "
          f"200,000 claims kept for 24 h are {claims / SECONDS_PER_DAY:.1f} new claims a second.")


def main():
    slopes = Slopes(sys.argv[1] if len(sys.argv) > 1 else "build/capacity.json")
    print(f"Assumed instances: {INSTANCES}.")
    entry_host(slopes)
    relay(slopes)
    voter(slopes)


if __name__ == "__main__":
    main()
