"""Steps that the cases about the core machines share."""

import asyncio

from harness import BOUNDS, CONTROL, ZONES, call, document, route, start_system

CONFIG = document([route("r", "/r/", "repeatable", "s", 2)], ["s"])


async def start_core(deployment):
    """Five core machines and an entry machine, with the first configuration; the operator."""
    zones = list(ZONES)
    cores = [deployment.add_host("control", 11 + i, zones[i], 256) for i in range(5)]
    entries = [deployment.add_host("entry", 31, zones[0], 260)]
    operator = await start_system(deployment, cores, entries, CONFIG)
    await asyncio.sleep(4)
    return operator


def seeds(operator):
    return [host.address for host in operator.cores[:3]]


async def find_leader(operator):
    """The core machine that answers a read itself instead of naming another one."""
    for host in operator.cores:
        answer = await call((host.address, CONTROL), "GET /document")
        if answer is not None and answer[0] == 200:
            return host
    return None


def start_successor(operator, old, number):
    """Starts an empty machine at another address, with the roles of `old`."""
    new = old.deployment.add_host("control", number, old.zone, old.memory_mb)
    new.start(False, seeds(operator))
    operator.cores.remove(old)
    operator.cores.append(new)


async def lose_disks(operator, lost, down_s):
    """The machines lose power at the same time and come back with empty disks."""
    await asyncio.gather(*[host.kill() for host in lost])
    for host in lost:
        host.delete_data()
    await asyncio.sleep(down_s)
    for host in lost:
        host.start(False, seeds(operator))


async def read_back(deployment, operator, expected):
    """What broke the rule, recovery_s after all machines are back."""
    running = [host.name for host in operator.cores if host.is_running()]
    deployment.record.write(f"running core machines: {running}")
    await asyncio.sleep(BOUNDS["recovery_s"])
    number = await operator.get(10)
    return [] if number == expected else [
        f"version {expected} was acknowledged; read back: {number}"]
