#!/usr/bin/env python3
"""Measures the control daemons of examples/cooperative with its 7 entry hosts.

Usage: tools/control_measure.py BUILD_FOLDER
Starts the daemons on separate loopback addresses, prints a table of latencies and
stops the daemons.
"""

import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "examples/cooperative"
KEY = (ROOT / "examples/keys/operator.key").read_text().strip()
NETWORK = f"127.77.{os.getpid() % 250}."
# Long enough that only a hang exceeds it.
WAIT_TIMEOUT_S = 120
CATCH_UP_CHANGES = 500


def call(host, method, path, body=None):
    connection = http.client.HTTPConnection(f"{NETWORK}{10 + host}", 8093, timeout=10)
    try:
        connection.request(method, path, body, {"Authorization": "Bearer " + KEY})
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met within {WAIT_TIMEOUT_S} s")
        time.sleep(0.002)


# Only the leader answers /v1/history with status 200.
def find_leader(hosts=(1, 2, 3)):
    return next((h for h in hosts if call(h, "GET", "/v1/history")[0] == 200), None)


def apply(leader, document, number):
    document["number"] = number
    text = json.dumps(document)
    start = time.monotonic()
    status, answer = call(leader, "POST", "/v1/apply", text)
    if status != 200:
        raise RuntimeError(f"apply {number}: {status} {answer}")
    return time.monotonic() - start


def is_in_force(leader, number):
    _, status = call(leader, "GET", "/v1/status")
    return bool(status) and status["state"]["number"] == number and not status["lagging"]


def percentile_ms(values_s, permille):
    return sorted(values_s)[min(len(values_s) - 1, len(values_s) * permille // 1000)] * 1000


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    processes = {}
    with tempfile.TemporaryDirectory() as folder:
        def start(program, name):
            text = (EXAMPLE / f"{name}.json").read_text().replace("127.0.1.", NETWORK)
            settings = pathlib.Path(folder) / f"{name}.json"
            settings.write_text(text.replace(".run/", folder + "/"))
            (pathlib.Path(folder) / "cooperative").mkdir(exist_ok=True)
            with open(pathlib.Path(folder) / f"{name}.log", "ab") as log:
                processes[name] = subprocess.Popen(
                    [build / program, "--settings", settings], cwd=ROOT, stdout=log, stderr=log)

        try:
            for host in (1, 2, 3):
                start("jujube-controld", f"control-{host}")
            for host in range(1, 8):
                start("jujube-entryd", f"entry-{host}")
            document = json.loads(
                (EXAMPLE / "deployment.json").read_text().replace("127.0.1.", NETWORK))
            leader = wait_until(find_leader)
            number = 1
            apply(leader, document, number)
            wait_until(lambda: is_in_force(leader, number))

            commit_times, in_force_times = [], []
            for _ in range(50):
                number += 1
                begin = time.monotonic()
                commit_times.append(apply(leader, document, number))
                wait_until(lambda: is_in_force(leader, number))
                in_force_times.append(time.monotonic() - begin)
            print(f"apply, request to response     p50 {percentile_ms(commit_times, 500):8.1f} ms"
                  f"  p99 {percentile_ms(commit_times, 990):8.1f} ms  n {len(commit_times)}")
            print(f"in force on 7 entry hosts      p50 {percentile_ms(in_force_times, 500):8.1f} ms"
                  f"  p99 {percentile_ms(in_force_times, 990):8.1f} ms  n {len(in_force_times)}")

            stopped = 1 if leader != 1 else 2
            processes[f"control-{stopped}"].kill()
            processes[f"control-{stopped}"].wait()
            for _ in range(CATCH_UP_CHANGES):
                number += 1
                apply(leader, document, number)
            begin = time.monotonic()
            start("jujube-controld", f"control-{stopped}")
            wait_until(lambda: call(stopped, "GET", "/v1/status")[1]
                 .get("state", {}).get("number") == number)
            catch_up_ms = (time.monotonic() - begin) * 1000
            print(f"catch-up after {CATCH_UP_CHANGES} changes         {catch_up_ms:8.1f} ms"
                  "  start of the process included")

            election_times = []
            for _ in range(5):
                leader = wait_until(find_leader)
                begin = time.monotonic()
                processes[f"control-{leader}"].kill()
                processes[f"control-{leader}"].wait()
                others = tuple(h for h in (1, 2, 3) if h != leader)
                wait_until(lambda: find_leader(others))
                election_times.append(time.monotonic() - begin)
                start("jujube-controld", f"control-{leader}")
                wait_until(lambda: call(leader, "GET", "/v1/status")[1]
                     .get("state", {}).get("number") == number)
            print(f"new leader after a kill        p50 {percentile_ms(election_times, 500):8.1f} ms"
                  f"  max {max(election_times) * 1000:8.1f} ms  n {len(election_times)}")
        finally:
            for process in processes.values():
                process.kill()
                process.wait()


if __name__ == "__main__":
    main()
