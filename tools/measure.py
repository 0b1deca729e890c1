#!/usr/bin/env python3
"""Measures latency, headroom and drain time of the example deployments.

Usage: tools/measure.py [--seconds N] [--json FILE] [--only SCENARIO,...|path]
With --only path, only the direct baseline and the drains are measured.

Runs every scenario for both deployments in one run, so that the figures are
comparable. Loopback has no delay between regions: the figures show the latency
added by the system and its use of capacity, without network delay.
"""

import argparse
import concurrent.futures
import json
import pathlib
import sys
import threading
import time

from cluster import Cluster, wait_for

EXAMPLES = ("cooperative", "lab")
# Fraction of all slots that the load occupies while no instance is lost.
TARGET_SLOT_UTILIZATION = 0.5
# Long compared with the cost of a hop, so that slots are the bottleneck rather than
# the processor.
SERVICE_TIME_MS = 60
CALLER_ADDRESSES = {"cooperative": "127.0.1{}.5", "lab": "127.0.1{}.5"}


class MeasuredCluster(Cluster):
    """A cluster whose upstreams are slow enough that their slots limit the throughput."""

    def __init__(self, example, **upstream_settings):
        super().__init__(example)
        self.upstream_overrides = {"service_time_ms": SERVICE_TIME_MS, **upstream_settings}

    def start_upstream(self, name):
        path = self.run / "upstreams" / f"{name}.json"
        settings = json.loads(path.read_text())
        settings.update(self.upstream_overrides)
        path.write_text(json.dumps(settings))
        super().start_upstream(name)

    def upstream_stats(self, name):
        status, stats = self.call(self.upstreams[name]["listen"], "/stub/stats")
        return stats if status == 200 else None

    def region_of(self, zone):
        zones = self.deployment["availability_zones"]
        return next(z["region"] for z in zones if z["name"] == zone)


class HeadroomSampler(threading.Thread):
    """Samples the requests in progress of each region and keeps the maximum utilization."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.caps = {r["name"]: r["max_in_progress"] for r in cluster.deployment["regions"]}
        self.region_utilization = {name: 0.0 for name in self.caps}
        self.stop_event = threading.Event()

    def run(self):
        while not self.stop_event.wait(0.2):
            sums = dict.fromkeys(self.caps, 0)
            for name, settings in self.cluster.upstreams.items():
                stats = self.cluster.upstream_stats(name)
                if stats:
                    region = self.cluster.region_of(settings["availability_zone"])
                    sums[region] += stats["in_progress"]
            for region, used in sums.items():
                utilization = used / self.caps[region]
                self.region_utilization[region] = max(self.region_utilization[region], utilization)

    def finish(self):
        """Stops; returns the maximum utilization of a region and of an instance, and the
        number of shed requests."""
        self.stop_event.set()
        self.join()
        peaks, shed = [], 0
        for name in self.cluster.upstreams:
            stats = self.cluster.upstream_stats(name)
            if stats:
                peaks.append(stats["peak_in_progress"] / stats["slots"])
                shed += stats["shed"]
        return max(self.region_utilization.values()), max(peaks, default=0), shed


def run_load(cluster, seconds):
    """Sends load to every service from every availability zone; returns all reports."""
    jobs = []
    zones = len(cluster.deployment["availability_zones"])
    with concurrent.futures.ThreadPoolExecutor(max_workers=64) as pool:
        for service in cluster.deployment["services"]:
            slots = sum(s["slots"] for s in cluster.upstreams.values()
                        if s["service"] == service["name"])
            rate = max(1, int(TARGET_SLOT_UTILIZATION * slots * 1000 / SERVICE_TIME_MS / zones))
            for zone in range(1, zones + 1):
                jobs.append(pool.submit(
                    cluster.load, service["name"], rate=rate, requests=rate * seconds,
                    concurrency=64, caller=CALLER_ADDRESSES[cluster.example].format(zone)))
        return [job.result() for job in jobs]


# Combines the reports of all callers. p50 and p99 are means of the percentiles in the
# reports, weighted by requests sent; p99.9 is the maximum of the reports.
def summarize(reports, sampler):
    sent = sum(r["sent"] for r in reports)
    region, instance, shed = sampler.finish()
    def weighted(key):
        return sum(r[key] * r["sent"] for r in reports) / sent / 1000
    return {
        "sent": sent,
        "ok": sum(r["ok"] for r in reports),
        "not_run": sum(r["not_run"] for r in reports),
        "may_have_run": sum(r["may_have_run"] for r in reports),
        "failed": sum(r["failed"] for r in reports),
        "wrong": sum(r["wrong"] for r in reports),
        "p50_ms": weighted("p50_us"),
        "p99_ms": weighted("p99_us"),
        "p999_ms": max(r["p999_us"] for r in reports) / 1000,
        "region_use": region,
        "instance_use": instance,
        "shed": shed,
    }


def lose_zone(cluster):
    zone = cluster.deployment["availability_zones"][1]["name"]
    for name in cluster.zone_members(zone):
        cluster.kill(name)


def lose_region(cluster):
    region = cluster.deployment["regions"][-1]["name"]
    for zone in cluster.deployment["availability_zones"]:
        if zone["region"] == region:
            for name in cluster.zone_members(zone["name"]):
                cluster.kill(name)


def restart_service(cluster):
    service = cluster.deployment["services"][0]["name"]
    cluster.upstream_overrides["cold_time_ms"] = 3000
    names = [n for n, s in cluster.upstreams.items() if s["service"] == service]
    for name in names:
        cluster.kill(name)
    for name in names:
        cluster.start_upstream(name)


# Name: (fault to inject during the load or None, settings of the upstreams).
SCENARIOS = {
    "no fault": (None, {}),
    "entry host lost": (lambda c: c.kill(c.entries[1]["host"]), {}),
    "control leader lost": (lambda c: c.kill(leader_of(c)), {}),
    "zone lost": (lose_zone, {}),
    "region lost": (lose_region, {}),
    "reports stuck at 0": (None, {"reported_load": 0}),
    "cold restart": (restart_service, {}),
}


def leader_of(cluster):
    for peer in cluster.controls[0]["peers"]:
        status, document = cluster.call(peer["operator"], "/v1/status")
        if status == 200 and document["role"] == "leader":
            return peer["host"]
    raise RuntimeError("no control host is the leader")


def measure_scenario(example, name, seconds):
    inject_fault, upstream_settings = SCENARIOS[name]
    cluster = MeasuredCluster(example, **upstream_settings)
    try:
        cluster.start()
        answer = cluster.apply(cluster.deployment)
        cluster.wait_until_ready(answer["accepted"]["number"])
        time.sleep(2)
        sampler = HeadroomSampler(cluster)
        sampler.start()
        if inject_fault:
            timer = threading.Timer(seconds / 3, inject_fault, [cluster])
            timer.start()
        return summarize(run_load(cluster, seconds), sampler)
    finally:
        cluster.stop()


def measure_direct(example, seconds):
    """Measures latency without the system, through it, and with claims (POST)."""
    cluster = MeasuredCluster(example)
    try:
        cluster.start()
        service = next(s["name"] for s in cluster.deployment["services"]
                       if "POST" in s["non_repeatable_methods"])
        answer = cluster.apply(cluster.deployment)
        cluster.wait_until_ready(answer["accepted"]["number"])
        time.sleep(2)
        listen = next(s["listen"] for s in cluster.upstreams.values() if s["service"] == service)
        direct = cluster.load(service, direct=f"{listen['address']}:{listen['port']}",
                              path="/load?delay_ms=1", requests=200 * seconds, concurrency=2)
        through = cluster.load(service, path="/load?delay_ms=1", requests=200 * seconds,
                               concurrency=2)
        claimed = cluster.load(service, path="/load?delay_ms=1", requests=100 * seconds,
                               concurrency=2, method="POST")
        return {"direct": direct, "through": through, "post": claimed}
    finally:
        cluster.stop()


def measure_drains(example, seconds):
    """Measures the drain time of an instance and of an entry host under load."""
    cluster = MeasuredCluster(example)
    try:
        cluster.start()
        answer = cluster.apply(cluster.deployment)
        cluster.wait_until_ready(answer["accepted"]["number"])
        time.sleep(2)
        result = {}
        def drain():
            name, settings = next(iter(cluster.upstreams.items()))
            peer = next(p for p in cluster.controls[0]["peers"] if p["host"] == leader_of(cluster))
            body = json.dumps({"kind": "Instance",
                               "name": f"{settings['service']}/{settings['instance']}"}).encode()
            start = time.monotonic()
            cluster.call(peer["operator"], "/v1/drain", body)
            wait_for("an idle instance", lambda: cluster.upstream_stats(name)["in_progress"] == 0)
            # Checks again after a pause, as a request may have been on its way to the instance.
            time.sleep(0.3)
            wait_for("an idle instance", lambda: cluster.upstream_stats(name)["in_progress"] == 0)
            result["instance_s"] = time.monotonic() - start - 0.3
            start = time.monotonic()
            process = cluster.terminate(cluster.entries[2]["host"])
            process.wait()
            result["entry_host_s"] = time.monotonic() - start
        timer = threading.Timer(1, drain)
        timer.start()
        reports = run_load(cluster, max(seconds, 12))
        timer.join()
        result["sent"] = sum(r["sent"] for r in reports)
        result["not_run"] = sum(r["not_run"] for r in reports)
        result["other"] = sum(r["sent"] - r["ok"] - r["not_run"] for r in reports)
        return result
    finally:
        cluster.stop()


def print_scenarios(results):
    print(f"{'scenario':22}{'deployment':13}{'sent':>7}{'ok':>8}{'not run':>9}{'may':>6}{'fail':>6}"
          f"{'p50 ms':>8}{'p99 ms':>8}{'p99.9':>8}{'region':>8}{'inst.':>7}{'shed':>6}")
    for (name, example), r in results.items():
        print(f"{name:22}{example:13}{r['sent']:7}{r['ok']:8}{r['not_run']:9}"
              f"{r['may_have_run']:6}{r['failed'] + r['wrong']:6}{r['p50_ms']:8.1f}"
              f"{r['p99_ms']:8.1f}{r['p999_ms']:8.1f}{r['region_use']:8.2f}"
              f"{r['instance_use']:7.2f}{r['shed']:6}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=int, default=9)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    selected = [n for n in SCENARIOS if not options.only or n in options.only.split(",")]
    results, direct, drains = {}, {}, {}
    for name in selected:
        for example in EXAMPLES:
            results[name, example] = measure_scenario(example, name, options.seconds)
    if results:
        print_scenarios(results)
    if not options.only or options.only == "path":
        print(f"\n{'1 ms of service time':30}{'p50 us':>8}{'p99 us':>8}{'p99.9 us':>10}")
        for example in EXAMPLES:
            direct[example] = measure_direct(example, options.seconds)
            for kind, r in direct[example].items():
                print(f"{example + ' ' + kind:30}{r['p50_us']:8}{r['p99_us']:8}{r['p999_us']:10}")
        print(f"\n{'drain under load':30}{'instance s':>12}{'entry host s':>14}{'not run':>9}{'other':>7}{'sent':>8}")
        for example in EXAMPLES:
            drains[example] = r = measure_drains(example, options.seconds)
            print(f"{example:30}{r['instance_s']:12.2f}{r['entry_host_s']:14.2f}"
                  f"{r['not_run']:9}{r['other']:7}{r['sent']:8}")
    if options.json:
        options.json.write_text(json.dumps({
            "scenarios": [{"scenario": n, "deployment": e, **r}
                          for (n, e), r in results.items()],
            "direct": direct, "drains": drains}, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
