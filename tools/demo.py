#!/usr/bin/env python3
"""Starts an example deployment, applies its document and sends requests.

Usage: tools/demo.py [cooperative|lab] [--keep]
With --keep the processes keep running until Ctrl-C.
"""

import sys
import time

from cluster import Cluster


def main():
    example_names = [a for a in sys.argv[1:] if not a.startswith("--")]
    cluster = Cluster(example_names[0] if example_names else "cooperative")
    try:
        cluster.start()
        answer = cluster.apply(cluster.deployment)
        number = answer["accepted"]["number"]
        print(f"document {number} accepted at log index {answer['accepted']['index']}")
        cluster.wait_until_ready(number)
        print(f"in force on {len(cluster.entries)} entry hosts; "
              f"{len(cluster.upstreams)} upstreams announced")
        failed_requests = 0
        for service in cluster.deployment["services"]:
            methods = ["GET"] + service["non_repeatable_methods"][:1]
            for method in methods:
                report = cluster.load(service["name"], method=method, requests=200, concurrency=1)
                failed_requests += report["sent"] - report["ok"]
                print(f"{service['name']:12} {method:5} {report['ok']} of {report['sent']} ok, "
                      f"p50 {report['p50_us'] / 1000:.1f} ms, p99 {report['p99_us'] / 1000:.1f} ms")
        if "--keep" in sys.argv:
            print("running; look-ups at http://127.0.1.1:8080/lookup?service=NAME; "
                  "press Ctrl-C to stop")
            while True:
                time.sleep(1)
        return 1 if failed_requests else 0
    except KeyboardInterrupt:
        return 0
    finally:
        cluster.stop()


if __name__ == "__main__":
    sys.exit(main())
