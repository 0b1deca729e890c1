import json
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

import standins

RECORD = pathlib.Path(__file__).parent / "record.txt"
ROUNDS = 4
CLIENTS = 60
CLIENT_GAP_S = 0.001
TTL_FACTOR = 3  # "some of them three times as long"
DEADLINE_S = 4.0
WORK_S = 2.6
GRACE_S = standins.BOUNDS["grace_s"]


class Client:
    """Looks up the entry hosts once, and uses the answer for as long as the pages allow."""

    def __init__(self, name, directory, entry):
        self.name = name
        self.directory = directory
        self.entry = entry  # the host that it picks if the answer names it
        self.sent_at = None
        self.answered_at = None
        self.status = 0
        self.has_seal = False

    def run(self):
        start = f"GET /entry-hosts?name=a.example&region=r-1&zone={self.entry.zone}"
        looked_up_at = time.monotonic()
        answer = standins.call(self.directory.address, standins.DIRECTORY, start, {}, b"", 1.0)
        if not answer or answer[0] != 200:
            return
        named = json.loads(answer[2])
        if f"{self.entry.address}:{standins.FRONT}" not in named["addresses"]:
            return
        lifetime = TTL_FACTOR * min(named["ttl_s"], standins.BOUNDS["ttl_max_s"])
        time.sleep(max(0, looked_up_at + lifetime - 0.003 - time.monotonic()))
        self.sent_at = time.monotonic()
        answer = standins.call(self.entry.address, standins.FRONT, "GET /read/x", {
            "Attempt-Id": self.name, "Deadline-Ms": str(int(DEADLINE_S * 1000))}, b"", DEADLINE_S)
        self.answered_at = time.monotonic()
        if answer:
            self.status, self.has_seal = answer[0], "server-seal" in answer[1]


def play_round(system, record, has_trouble, number):
    entry = system.entries[number]
    directories = [host for host in system.entries if host is not entry]
    clients = [Client(f"r{number}-{index}", directories[index % len(directories)], entry)
               for index in range(CLIENTS)]
    if has_trouble:
        entry.process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()  # not before the signal, so that no request counts too early
    record.add(f"round {number}: {'SIGTERM of' if has_trouble else 'no SIGTERM of'} {entry.name}")
    threads = [threading.Thread(target=client.run) for client in clients]
    for index, thread in enumerate(threads):
        time.sleep(max(0, stopped_at + index * CLIENT_GAP_S - time.monotonic()))
        thread.start()
    for thread in threads:
        thread.join()
    if has_trouble:
        entry.process.wait(10)
        entry.start(False)
        system.wait_until_ready()
    time.sleep(5)  # more than contact_s without a disruption; the runs end meanwhile
    breaks = []
    runs = {run[0]: run for instance in system.instances for run in instance.spans}
    for client in clients:
        if client.sent_at is None:
            continue
        sent, answered = client.sent_at - stopped_at, client.answered_at - stopped_at
        record.add(f"{client.name} sent {sent:.3f} s after SIGTERM, status {client.status}, "
                   f"signature {client.has_seal}, after {answered:.3f} s")
        run = runs.get(client.name)
        if run is not None:
            record.add(f"{client.name} ran from {run[1] - stopped_at:.3f} to "
                       f"{run[2] - stopped_at:.3f} s")
        if not has_trouble and client.status != 200:
            raise standins.CannotRun(f"{client.name} isn't served in the calm run")
        is_at_work = run is not None and run[1] < client.answered_at < run[2]
        is_in_time = client.answered_at < client.sent_at + DEADLINE_S - 0.1
        if 3.0 < sent < GRACE_S + 1 and is_at_work and is_in_time and not client.has_seal:
            breaks.append(f"LOST: {client.name} was sent {sent:.3f} s after SIGTERM and given up "
                          f"{answered:.3f} s after it, while its instance was at work")
    return breaks


def play(system, record, has_trouble):
    status = system.put(standins.document(5, [
        standins.route("read", "/read/", "repeatable", "s", timeout_s=DEADLINE_S)], ["s"]), 0)
    record.add(f"configuration r5: {status}")
    for index in range(8):
        standins.Instance(system, f"i-{index}", "s", zone=list(standins.ZONES)[index % 3],
                          slots=9, work_s=WORK_S)
    system.wait_until_ready()
    time.sleep(5)
    breaks = []
    for number in range(ROUNDS):
        breaks += play_round(system, record, has_trouble, number)
    return breaks


if __name__ == "__main__":
    sys.exit(standins.run_case(RECORD, play, entries=ROUNDS))
