import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

import standins

TIMEOUT_S = 2.0  # of the route
STALL_S = 50.0
FULL_PER_S, FINE_PER_S = 40, 5


class LogReader:
    """Reads what a process writes to its standard output and error, but for pauses."""

    def __init__(self):
        self._read_end, self.write_end = os.pipe()
        self.is_reading = threading.Event()
        self.is_reading.set()
        self.byte_count = 0
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        while True:
            self.is_reading.wait()
            data = os.read(self._read_end, 4096)
            if not data:
                return
            self.byte_count += len(data)


class Client:
    """Sends requests on a route at a steady rate, each on a new connection."""

    def __init__(self, entry, path, per_s):
        self.entry = entry
        self.path = path
        self.per_s = per_s
        self.answers = []  # (sent at, id, status or 0, seconds)
        self._count = 0

    def run_until(self, end):
        threads = []
        while time.monotonic() < end:
            self._count += 1
            thread = threading.Thread(target=self._send, args=(self._count,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(1 / self.per_s)
        for thread in threads:
            thread.join()

    def _send(self, number):
        request_id = f"{self.path.strip('/')}-{number}"
        started_at = time.monotonic()
        # Waits half a second beyond the route's timeout.
        answer = standins.call(self.entry.address, standins.FRONT, f"GET {self.path}x",
                               {"Attempt-Id": request_id, "Deadline-Ms": "4000"}, b"",
                               TIMEOUT_S + 0.5)
        self.answers.append((started_at, request_id, answer[0] if answer else 0,
                             time.monotonic() - started_at))


def play(system, record, has_trouble):
    entry = system.entries[0]
    entry.kill()
    log = LogReader()
    entry.start(True, log.write_end)
    os.close(log.write_end)
    status = system.put(standins.document(5, [
        standins.route("full", "/full/", "repeatable", "full", timeout_s=TIMEOUT_S),
        standins.route("fine", "/fine/", "repeatable", "fine", timeout_s=TIMEOUT_S)],
        ["full", "fine"]), 0)
    record.add(f"configuration r5: {status}")
    for index in range(6):
        instance = standins.Instance(system, f"i-{index}", "full" if index < 3 else "fine",
                                     zone=list(standins.ZONES)[index % 3])
        instance.is_full = instance.service == "full"
    system.wait_until_ready()
    time.sleep(3)
    begin = time.monotonic()
    full, fine = Client(entry, "/full/", FULL_PER_S), Client(entry, "/fine/", FINE_PER_S)
    threads = [threading.Thread(target=client.run_until, args=(begin + STALL_S + 15,))
               for client in (full, fine)]
    for thread in threads:
        thread.start()
    time.sleep(5)
    if has_trouble:
        record.add("the log is not read from here on")
        log.is_reading.clear()
    time.sleep(STALL_S)
    log.is_reading.set()
    record.add("the log is read again" if has_trouble else "the log was read all the time")
    for thread in threads:
        thread.join()
    for started_at, request_id, answer, seconds in sorted(fine.answers):
        record.add(f"{started_at - begin:7.3f} s after the first: {request_id}, "
                   f"status {answer or 'none'} after {seconds:.3f} s")
    unanswered = [a for a in fine.answers if a[2] == 0]
    served = sum(a[2] == 200 for a in fine.answers)
    record.add(f"{len(fine.answers)} requests on /fine/, {served} served, {len(unanswered)} without "
               f"an answer {TIMEOUT_S + 0.5} s after they were sent; {log.byte_count} bytes of log")
    if not has_trouble and served < len(fine.answers) / 2:
        raise standins.CannotRun("the calm run serves less than half of the requests")
    # "Eight or more of them, and over a quarter" of those that last as long as the timeout.
    late = [a for a in fine.answers if a[3] >= TIMEOUT_S]
    if len(unanswered) >= 8 and len(unanswered) > len(late) / 4:
        return [f"CONFIG: {len(unanswered)} of {len(late)} requests that lasted longer than "
                f"timeout_s had no final answer 0.5 s after it"]
    return []


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
