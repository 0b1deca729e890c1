#!/usr/bin/env python3
"""Randomized fault soak of the real programs on loopback.

Starts the control and entry hosts as processes, and callers, upstreams and operators in
this process. Injects faults through relays and signals, and checks what callers and upstreams
observe. The seed determines the faults and their times, not the interleaving of the processes.

    tests/soak/soak.py --seed 7 --seconds 60 [--entries 4] [--planned-only]

Exit code 0: no guarantee was violated. The folder of a failed seed is kept.
"""

import argparse
import asyncio
import contextlib
import pathlib
import random
import re
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import faults
from callers import Caller
from http_io import call
from ledger import Ledger
from operators import Operators
from proxy import Proxy
from system import CONTROL, DIRECTORY, READY, REQUESTS, ZONES, System
from upstream import Upstream

CONTROLS = 5
MAX_CONTROL_OUTAGES = 2  # control hosts that may be unavailable at the same time
HANG_LIMIT_S = 120  # limit of each wait for service; far above what a busy machine needs
PORT_OFFSET = 1000  # from the port of a host to the port of its relay
CATCH_UP_S = 4  # after the restart of a control host, before the next outage


class Soak:
    def __init__(self, options, folder):
        self.options = options
        self.ledger = Ledger()
        self.system = System(folder, options.build, CONTROLS, options.entries)
        self.proxies = []
        self.callers = []
        self.upstreams = []
        self.directory_endpoints = []
        self.control_endpoints = []
        self._entry_proxies = {}
        self._outage_slots = asyncio.Semaphore(MAX_CONTROL_OUTAGES)
        self._host_locks = {host.name: asyncio.Lock() for host in self.system.hosts()}
        self._active_faults = 0
        self._last_fault_end = 0.0
        self._end = 0.0
        self._is_shutting_down = False
        self._next_upstream = 0
        self._upstream_proxies = {}

    # ---- Interface for callers, operators and faults

    def is_over(self):
        return time.monotonic() > self._end

    def is_shutting_down(self):
        return self._is_shutting_down

    def is_fault_free_since(self, moment):
        return self._active_faults == 0 and self._last_fault_end < moment

    def entry_proxy(self, name):
        return self._entry_proxies[name].listen

    def entry_by_address(self, text):
        address = text.split(":")[0]
        return next(entry.name for entry in self.system.entries if entry.address == address)

    def control_by_location(self, location):
        address = re.search(r"//([0-9.]+)", location).group(1)
        for host, endpoint in zip(self.system.controls, self.control_endpoints):
            if host.address == address:
                return endpoint
        return None  # the host was replaced

    @contextlib.asynccontextmanager
    async def locked(self, host):
        """Holds the lock of the host, so that one fault at a time affects its process."""
        async with self._host_locks[host.name]:
            yield

    @contextlib.asynccontextmanager
    async def control_outage(self, host):
        async with self._outage_slots, self.locked(host):
            yield
            await asyncio.sleep(CATCH_UP_S)

    @contextlib.asynccontextmanager
    async def all_controls_locked(self):
        async with contextlib.AsyncExitStack() as stack:
            # A host may be replaced while the locks of the others are taken.
            locked = set()
            while missing := [host for host in self.system.controls if host.name not in locked]:
                await stack.enter_async_context(self.locked(missing[0]))
                locked.add(missing[0].name)
            yield

    async def start_successor(self, old):
        """Starts the successor of a control host, which takes its place in all lists."""
        new = self.system.make_successor(old)
        self._host_locks[new.name] = asyncio.Lock()
        index = self.system.controls.index(old)
        for port, endpoints in ((CONTROL, self.control_endpoints),
                                (DIRECTORY, self.directory_endpoints)):
            proxy = await self._add_proxy((new.address, port + PORT_OFFSET), (new.address, port))
            endpoints[index] = proxy.listen
        new.start(False)
        self.system.controls[index] = new
        self.system.seeds = self.system.controls[:3]
        self.system.removed.append(old)
        return new

    async def find_leader(self):
        """The control host that answers a read itself instead of naming another one."""
        for host in list(self.system.controls):
            answer = await call((host.address, CONTROL), "GET /document", {})
            if answer is not None and answer.status == 200:
                return host
        return None

    async def wait_until_member(self, host):
        """Waits until the host answers directory look-ups, the time limit or the end of the run."""
        deadline = time.monotonic() + HANG_LIMIT_S
        while time.monotonic() < deadline and not self.is_over():
            answer = await call((host.address, DIRECTORY), "GET /entry-hosts?zone=z-a", {})
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.2)

    async def replace(self, upstream, keep_address):
        if self.is_over() or upstream not in self.upstreams:
            return
        self.upstreams.remove(upstream)
        await self.add_upstream(upstream.zone, upstream.listen if keep_address else None)

    async def add_upstream(self, zone, listen=None):
        index = self._next_upstream
        self._next_upstream += 1
        if listen is None:
            # Addresses are reused after 100 upstreams, as the platform reuses them.
            listen = (self.system.address(100 + index % 100), 8080)
        proxy = self._upstream_proxies.get(listen)
        if proxy is None:
            proxy = await self._add_proxy((listen[0], 8081), listen)
            self._upstream_proxies[listen] = proxy
        upstream = Upstream(f"i-{index}", zone, "s", listen, proxy.listen, self.control_endpoints,
                            self.ledger, self.options.seed * 1000 + index)
        await upstream.start()
        self.upstreams.append(upstream)

    async def _add_proxy(self, listen, target):
        proxy = Proxy(listen, target)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    # ---- The run

    async def run(self):
        self.system.start()
        try:
            await self._set_up()
            await self._run_workload()
            await self._recover()
            if not self.options.planned_only:
                await self._lose_disks()
            self._check_leader_per_term()
        finally:
            self._is_shutting_down = True
            for caller in self.callers:
                caller.close()
            for upstream in self.upstreams:
                upstream.crash()
            for proxy in self.proxies:
                await proxy.stop()
            await self.system.stop()
            # Gives the tasks of the connections time to end.
            await asyncio.sleep(0.2)

    async def _set_up(self):
        for host in self.system.controls:
            for port, endpoints in ((CONTROL, self.control_endpoints),
                                    (DIRECTORY, self.directory_endpoints)):
                proxy = await self._add_proxy((host.address, port + PORT_OFFSET),
                                              (host.address, port))
                endpoints.append(proxy.listen)
        for host in self.system.entries:
            self._entry_proxies[host.name] = await self._add_proxy(
                (host.address, REQUESTS + PORT_OFFSET), (host.address, REQUESTS))
        self._end = time.monotonic() + HANG_LIMIT_S
        self.operators = Operators(self, self.options.seed)
        if await self.operators.put(1, 0, "a") != 200:
            raise RuntimeError("the first document was not accepted")
        self.ledger.acknowledged = 1
        for index in range(self.options.upstreams):
            await self.add_upstream(list(ZONES)[index % len(ZONES)])
        await self._wait_until_served("initial service")

    async def _wait_until_served(self, description):
        deadline = time.monotonic() + HANG_LIMIT_S
        for entry in self.system.entries:
            while True:
                request_id = f"check-{entry.name}-{time.monotonic_ns()}"
                self.ledger.record_request(request_id, "repeatable")
                answer = await call((entry.address, REQUESTS), "GET /p/x",
                                    {"Attempt-Id": request_id, "Deadline-Ms": "2000"})
                ready = await call((entry.address, READY), "GET /ready", {})
                if answer is not None and answer.status == 200 and \
                        ready is not None and ready.status == 200:
                    break
                if time.monotonic() > deadline:
                    self.ledger.report("no recovery", f"{description} at {entry.name}")
                    return
                await asyncio.sleep(0.1)

    async def _run_workload(self):
        self._end = time.monotonic() + self.options.seconds
        self.callers = [Caller(f"c{i}", self, self.options.seed * 100 + i)
                        for i in range(self.options.callers)]
        work = [asyncio.create_task(caller.run()) for caller in self.callers]
        work.append(asyncio.create_task(self.operators.run()))
        fault_tasks = [asyncio.create_task(self._inject_faults(lane))
                   for lane in range(self.options.lanes)]
        while not self.is_over():
            self.system.check_exits(self.ledger)
            await asyncio.sleep(0.2)
        await asyncio.gather(*fault_tasks)
        await asyncio.gather(*work)

    async def _inject_faults(self, lane):
        rng = random.Random(f"{self.options.seed}/{lane}")
        kinds = faults.PLANNED if self.options.planned_only else \
            faults.PLANNED + faults.UNPLANNED
        while not self.is_over():
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            fault = rng.choice(kinds)
            print(f"{self.options.seconds - (self._end - time.monotonic()):7.2f} s "
                  f"{fault.__name__}", flush=True)
            is_planned = fault in faults.PLANNED
            self._active_faults += 0 if is_planned else 1
            try:
                await fault(self, rng)
            finally:
                if not is_planned:
                    self._active_faults -= 1
                    self._last_fault_end = time.monotonic()

    async def _recover(self):
        """Ends all faults and checks that the service and the newest configuration are back."""
        for proxy in self.proxies:
            proxy.set_mode("pass")
        for host in self.system.hosts():
            host.resume()
            if not host.is_running():
                host.start(False)
        await self._wait_until_served("service")
        deadline = time.monotonic() + HANG_LIMIT_S
        while not await self.operators.is_newest_read_back():
            if time.monotonic() > deadline:
                self.ledger.report("lost configuration", self.ledger.acknowledged)
                return
            await asyncio.sleep(0.2)

    async def _lose_disks(self):
        """As many disks as may be lost at once are lost right after an acknowledgement."""
        await asyncio.sleep(CATCH_UP_S)
        await self.operators.apply_next()
        rng = random.Random(f"{self.options.seed}/disks")
        lost = rng.sample(self.system.controls, MAX_CONTROL_OUTAGES)
        for host in lost:
            await host.kill()
            host.delete_data()
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        for host in lost:
            host.start(False)
        deadline = time.monotonic() + HANG_LIMIT_S
        while not await self.operators.is_newest_read_back():
            if time.monotonic() > deadline:
                self.ledger.report("lost configuration after the loss of disks",
                                   self.ledger.acknowledged)
                return
            await asyncio.sleep(0.2)

    def _check_leader_per_term(self):
        """Checks in the logs of the control hosts that each term has at most one leader."""
        leaders = {}
        for host in self.system.controls + self.system.removed:
            log = (self.system.folder / f"{host.name}.log").read_text(errors="replace")
            for term in re.findall(r" BecameLeader .*?term=(\d+)", log):
                leaders.setdefault(int(term), set()).add(host.name)
        for term, hosts in leaders.items():
            if len(hosts) > 1:
                self.ledger.report("two leaders in a term", f"{term}: {sorted(hosts)}")
        self.ledger.counts["terms with a leader"] = len(leaders)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--upstreams", type=int, default=6)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--lanes", type=int, default=3, help="number of concurrent fault series")
    parser.add_argument("--planned-only", action="store_true",
                        help="inject planned work only; no request may then fail")
    parser.add_argument("--keep", action="store_true", help="keep the logs of a successful run too")
    parser.add_argument("--build", type=pathlib.Path, default=pathlib.Path("build"),
                        help="folder with the built programs")
    options = parser.parse_args()
    options.build = options.build.resolve()
    return options


def main():
    options = parse_options()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"jujube-soak-{options.seed}-"))
    soak = Soak(options, folder)
    asyncio.run(soak.run())
    print(f"seed {options.seed}:", ", ".join(
        f"{name}: {count}" for name, count in sorted(soak.ledger.counts.items())))
    if options.keep:
        print(f"logs in {folder}")
    if not soak.ledger.violations:
        if not options.keep:
            shutil.rmtree(folder)
        print(f"seed {options.seed}: every promise was kept")
        return 0
    for violation in soak.ledger.violations[:20]:
        print(f"BROKEN {violation}")
    print(f"seed {options.seed}: {len(soak.ledger.violations)} broken; logs in {folder}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
